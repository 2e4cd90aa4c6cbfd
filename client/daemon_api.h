// One daemon's operators' interface, called one request at a time.

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
  // `address` is "ip:port".
  explicit DaemonApi(std::string address);

  // Both throw CommandError unless the daemon says that it went well.
  nlohmann::json Get(const std::string& path);
  nlohmann::json Post(const std::string& path, const std::string& body);

 private:
  nlohmann::json Call(http::ClientRequest request);

  std::string address;
  base::Loop loop;
  http::Client http;
};

}  // namespace quartzhoist::client

#endif  // CLIENT_DAEMON_API_H_
