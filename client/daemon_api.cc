#include "client/daemon_api.h"

#include <optional>
#include <utility>

#include <fmt/format.h>

namespace quartzhoist::client {

namespace {

using base::Verdict;
using nlohmann::json;

// Longer than a daemon takes to settle a lost reply of the platform.
constexpr base::Micros kTimeout = std::chrono::seconds(15);

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kFaults = 422;

std::string FaultLines(const json& answer) {
  std::string text = "the table would not hold together:";
  for (const json& fault : answer.at("faults"))
    text += fmt::format("\n  {}.{}: {}", fault.value("row", ""),
                        fault.value("cell", ""), fault.value("problem", ""));
  return text + "\nNothing was changed.";
}

std::string ConflictLines(const json& answer) {
  const std::string theirs = answer.value("theirs", "");
  return fmt::format(
      "{} was changed by somebody else meanwhile:\n  theirs: {}\n  yours:  "
      "{}\nNothing was changed. Look at it with 'quartzhoist show' and edit "
      "again.",
      answer.value("row", ""), theirs.empty() ? "(erased)" : theirs,
      answer.value("yours", ""));
}

[[noreturn]] void ThrowProblem(const http::Response& response) {
  const json answer = json::parse(response.body, nullptr, false);
  if (!answer.is_object())
    throw CommandError(ExitCode::kFailed,
                       fmt::format("the daemon answered {}", response.status));
  if (response.status == kFaults && answer.contains("faults"))
    throw CommandError(ExitCode::kRejected, FaultLines(answer));
  if (response.status == kConflict && answer.contains("theirs"))
    throw CommandError(ExitCode::kConflict, ConflictLines(answer));
  const bool may_have_run =
      answer.value("verdict", "") == base::Name(Verdict::kMayHaveRun);
  const std::string detail = fmt::format("{} ({})", answer.value("detail", ""),
                                         answer.value("title", ""));
  if (may_have_run)
    throw CommandError(ExitCode::kMayHaveRun,
                       detail +
                           "\nThe change may have been made: look with "
                           "'quartzhoist show' before you repeat it.");
  if (response.status == kConflict || response.status == kFaults)
    throw CommandError(response.status == kConflict ? ExitCode::kConflict
                                                    : ExitCode::kRejected,
                       detail + "\nNothing was changed.");
  const bool unavailable = response.status == 503;
  throw CommandError(
      unavailable ? ExitCode::kUnavailable : ExitCode::kFailed,
      detail + "\nNothing was changed." +
          (unavailable ? " Try again when the platform is back." : ""));
}

}  // namespace

CommandError::CommandError(ExitCode exit_code, const std::string& message)
    : std::runtime_error(message), code(exit_code) {}

DaemonApi::DaemonApi(std::string daemon)
    : address(std::move(daemon)), http(this->loop) {}

json DaemonApi::Get(const std::string& path) {
  return this->Call({.method = "GET", .url = "http://" + this->address + path});
}

json DaemonApi::Post(const std::string& path, const std::string& body) {
  http::ClientRequest request{.method = "POST",
                              .url = "http://" + this->address + path};
  request.headers.push_back(
      {.name = "Content-Type", .value = std::string(http::kJson)});
  request.body = body;
  // The library must not send a command twice by itself.
  request.fresh_connection = true;
  return this->Call(std::move(request));
}

json DaemonApi::Call(http::ClientRequest request) {
  request.timeout = kTimeout;
  const bool is_query = request.method == "GET";
  std::optional<http::ClientResult> result;
  this->http.Send(std::move(request), [&](http::ClientResult got) {
    result = std::move(got);
    this->loop.Stop();
  });
  this->loop.Run();
  if (result->verdict == Verdict::kRan && result->response.status == kOk) {
    json answer = json::parse(result->response.body, nullptr, false);
    if (answer.is_discarded())
      throw CommandError(ExitCode::kFailed, "the daemon's answer is not JSON");
    return answer;
  }
  if (result->verdict == Verdict::kRan)
    ThrowProblem(result->response);
  const bool safe = is_query || result->verdict == Verdict::kNotRun;
  throw CommandError(
      safe ? ExitCode::kUnavailable : ExitCode::kMayHaveRun,
      fmt::format("the daemon at {} cannot be asked: {}\n{}", this->address,
                  result->error,
                  safe ? "Nothing was changed. Name another daemon with "
                         "--daemon."
                       : "The change may have been made: look with "
                         "'quartzhoist show' at another daemon."));
}

}  // namespace quartzhoist::client
