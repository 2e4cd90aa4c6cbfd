// The operators' commands.

#ifndef CLIENT_COMMANDS_H_
#define CLIENT_COMMANDS_H_

#include <string>
#include <vector>

namespace quartzhoist::client {

// Each prints its result and throws CommandError, or base::TextError for a
// file, if it cannot.

// Checks a table file, without any daemon.
void Check(const std::string& file, bool json);
// A line for each daemon, by its metrics address: what it schedules.
void Status(const std::vector<std::string>& daemons, bool json);
// One daemon's whole state, as JSON.
void Dump(const std::string& daemon, bool json);
// Prints a daemon's explanation why a job's tasks wait. `key_file` holds the
// access key,
// "-" is the standard input; empty: no key is sent.
void Explain(const std::string& job,
             const std::string& daemon,
             const std::string& key_file,
             bool json);

}  // namespace quartzhoist::client

#endif  // CLIENT_COMMANDS_H_
