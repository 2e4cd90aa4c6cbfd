#include "daemon/problem.h"

#include <chrono>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace quartzhoist::daemon {

namespace {

using dispatch::Reason;

struct ReasonText {
  Reason reason;
  int status;
  const char* detail;
};

constexpr std::array<ReasonText, 7> kReasonTexts{{
    {Reason::kUnknownService, 404, "the table has no such service"},
    {Reason::kNoTarget, 503, "no target of the service's pool can be used"},
    {Reason::kQueueFull, 503, "the service's queue is full"},
    {Reason::kDeadline, 503, "it could not be answered before its deadline"},
    {Reason::kTargetsRefuse, 503, "the targets tried did not take it"},
    {Reason::kLost, 502, "the target's answer did not come back whole"},
    {Reason::kStopping, 503, "this entry box is stopping"},
}};

std::int64_t CeilSeconds(base::Micros span) {
  return std::chrono::ceil<std::chrono::seconds>(span).count();
}

}  // namespace

http::Response ToResponse(const Problem& problem) {
  const bool come_back = problem.retry_after.count() > 0;
  nlohmann::json body{
      {"type", "about:blank"},
      {"title", problem.reason},
      {"status", problem.status},
      {"detail", problem.detail},
      {"verdict", std::string(base::Name(problem.verdict))},
  };
  http::Response response{.status = problem.status, .headers = {}, .body = {}};
  response.headers.push_back(
      {.name = "Content-Type", .value = std::string(http::kProblemJson)});
  if (come_back) {
    body["retry_after_ms"] = problem.retry_after.count() / 1000;
    response.headers.push_back(
        {.name = "Retry-After",
         .value = fmt::format("{}", CeilSeconds(problem.retry_after))});
  }
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

Problem ToProblem(const dispatch::Refuse& refusal) {
  Problem problem{
      .reason =
          std::string(base::NameOf(dispatch::kReasonNames, refusal.reason)),
      .verdict = refusal.verdict,
      .retry_after = refusal.retry_after,
  };
  for (const ReasonText& text : kReasonTexts) {
    if (text.reason != refusal.reason)
      continue;
    problem.status = text.status;
    problem.detail = text.detail;
  }
  return problem;
}

}  // namespace quartzhoist::daemon
