// The operators' commands.

#ifndef CLIENT_COMMANDS_H_
#define CLIENT_COMMANDS_H_

#include <optional>
#include <string>
#include <vector>

#include "client/daemon_api.h"
#include "client/exit_code.h"
#include "table/edit.h"

namespace quartzhoist::client {

// What the command line says besides the command.
struct Invocation {
  std::vector<std::string> words;  // after the command
  bool json = false;
  bool new_row = false;
  std::optional<std::string> file;
  std::optional<table::Version> base;
  std::optional<double> wait_seconds;
  std::string to_pool;
};

// Each prints its result and throws CommandError, or base::TextError for a
// file, if it cannot.

// Queries.
void Check(const Invocation& invocation);
void Show(DaemonApi& daemon, const Invocation& invocation);
void Plan(DaemonApi& daemon, const Invocation& invocation);
void Status(DaemonApi& daemon, const Invocation& invocation);
void Dump(DaemonApi& daemon, const Invocation& invocation);

// Commands.
void Edit(DaemonApi& daemon, const Invocation& invocation);
void Drain(DaemonApi& daemon, const Invocation& invocation);
void Cancel(DaemonApi& daemon, const Invocation& invocation);

}  // namespace quartzhoist::client

#endif  // CLIENT_COMMANDS_H_
