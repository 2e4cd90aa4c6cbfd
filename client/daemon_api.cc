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

http::Response DaemonApi::Send(const std::string& path, http::Headers headers) {
  http::ClientRequest request{.method = "GET",
                              .url = "http://" + this->address + path,
                              .headers = std::move(headers)};
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
  return std::move(result->response);
}

json DaemonApi::Get(const std::string& path) {
  const http::Response response = this->Send(path, {});
  json answer = json::parse(response.body, nullptr, false);
  if (response.status != kOk || answer.is_discarded())
    throw CommandError(
        ExitCode::kFailed,
        fmt::format("the daemon at {} answered {}; is it its metrics address?",
                    this->address, response.status));
  return answer;
}

json DaemonApi::GetWithKey(const std::string& path, const std::string& key) {
  http::Headers headers;
  if (!key.empty())
    headers.push_back({.name = "Authorization", .value = "Token " + key});
  const http::Response response = this->Send(path, std::move(headers));
  json answer = json::parse(response.body, nullptr, false);
  if (response.status == kOk && answer.is_object())
    return answer;
  const bool has_reason = answer.is_object() && answer.contains("error") &&
                          answer["error"].is_string();
  throw CommandError(ExitCode::kFailed,
                     fmt::format("the daemon at {} answered {}: {}",
                                 this->address, response.status,
                                 has_reason ? answer["error"].get<std::string>()
                                            : "is it its metrics address?"));
}

}  // namespace quartzhoist::client
