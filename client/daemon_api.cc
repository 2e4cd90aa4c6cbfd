#include "client/daemon_api.h"

#include <optional>
#include <utility>

#include <fmt/format.h>

#include "base/ip_address.h"

namespace quartzhoist::client {

namespace {

using nlohmann::json;

// A daemon on a small box may take a second for its whole state.
constexpr base::Micros kTimeout = std::chrono::seconds(5);
constexpr int kOk = 200;

}  // namespace

CommandError::CommandError(ExitCode exit_code, const std::string& message)
    : std::runtime_error(message), code(exit_code) {}

DaemonApi::DaemonApi(std::string daemon)
    : address(std::move(daemon)), http(this->loop) {
  if (!base::ParseIpAddress(this->address))
    throw CommandError(
        ExitCode::kUsage,
        fmt::format("'{}' is not an IP number and port", this->address));
}

json DaemonApi::Get(const std::string& path) {
  http::ClientRequest request{.method = "GET",
                              .url = "http://" + this->address + path};
  request.timeout = kTimeout;
  std::optional<http::ClientResult> result;
  this->http.Send(std::move(request), [&](http::ClientResult got) {
    result = std::move(got);
    this->loop.Stop();
  });
  this->loop.Run();
  if (result->verdict != base::Verdict::kRan)
    throw CommandError(ExitCode::kUnavailable,
                       fmt::format("the daemon at {} cannot be asked: {}",
                                   this->address, result->error));
  const int status = result->response.status;
  json answer = json::parse(result->response.body, nullptr, false);
  if (status != kOk || answer.is_discarded())
    throw CommandError(
        ExitCode::kFailed,
        fmt::format("the daemon at {} answered {}; is it its metrics address?",
                    this->address, status));
  return answer;
}

}  // namespace quartzhoist::client
