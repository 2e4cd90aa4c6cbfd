// One daemon's metrics address, asked one request at a time.

#ifndef CLIENT_DAEMON_API_H_
#define CLIENT_DAEMON_API_H_

#include <stdexcept>
#include <string>

#include <nlohmann/json.hpp>

#include "base/loop.h"
#include "client/exit_code.h"
#include "http/client.h"

namespace quartzhoist::client {

// A command ends here: what to tell the operator, and the exit code.
class CommandError : public std::runtime_error {
 public:
  CommandError(ExitCode exit_code, const std::string& message);

  ExitCode code;
};

class DaemonApi {
 public:
  // `address` is "ip:port"; else this throws CommandError.
  explicit DaemonApi(std::string address);

  // Throws CommandError unless the daemon answers with JSON.
  nlohmann::json Get(const std::string& path);
  // As Get, with an access key if `key` is not empty. The error quotes the
  // reason that the daemon gives.
  nlohmann::json GetWithKey(const std::string& path, const std::string& key);

 private:
  http::Response Send(const std::string& path, http::Headers headers);

  std::string address;
  base::Loop loop;
  http::Client http;
};

}  // namespace quartzhoist::client

#endif  // CLIENT_DAEMON_API_H_
