// A daemon's endpoints for load balancers, metrics scrapers and operators.

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "base/event_log.h"
#include "entry/caller_status.h"
#include "entry/earlier_owner.h"
#include "entry/job_daemon.h"
#include "entry/refusal.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

// The daemon is not ready if the store has not responded for this long. The
// feed of the owner rows responds every 0.7 to 1.5 s.
constexpr base::Micros kStoreTimeout = milliseconds(2600);

}  // namespace

bool JobDaemon::IsReady() const {
  return this->has_config && this->ownerships &&
         this->stop_requested == base::Micros::zero() &&
         !this->store.SeemsAway() &&
         base::MonotonicNow() - this->last_store_answer < kStoreTimeout;
}

void JobDaemon::AnswerReadiness(const http::ExchangePtr& exchange) const {
  constexpr int kReady = 200;
  constexpr int kNotReady = 503;
  exchange->Reply(
      http::JsonResponse(this->IsReady() ? kReady : kNotReady, "{}"));
}

// JSON list with the state of each shard that this daemon owns.
std::string JobDaemon::Dump() const {
  std::string list;
  for (const auto& managed : this->managed_shards) {
    if (!managed->manager)
      continue;
    list += list.empty() ? "" : ",";
    list += managed->manager->Dump();
  }
  return "[" + list + "]";
}

ExplainApi::Sources JobDaemon::ExplainSources() const {
  return {
      .config = [this] { return this->has_config ? &this->config : nullptr; },
      .shards =
          [this] { return static_cast<int>(this->managed_shards.size()); },
      .owned =
          [this](const std::string& job) {
            std::optional<OwnedJob> owned;
            for (const auto& managed : this->managed_shards) {
              if (managed->manager && !owned)
                owned = managed->manager->Explain(job);
            }
            return owned;
          }};
}

// Once a shard is lost, its manager sends nothing more.
void JobDaemon::AnswerOwnerQuestion(const http::ExchangePtr& exchange) const {
  const auto question = ParseOwnerQuestion(exchange->request().path);
  const auto shards = static_cast<int>(this->managed_shards.size());
  const bool is_valid = question && question->shard >= 0 &&
                        (!this->ownerships || question->shard < shards);
  if (!is_valid) {
    exchange->Reply(MakeRefusal(kBadRequest, "shard=NUMBER&epoch=NUMBER"));
    return;
  }
  bool is_owner = false;
  if (this->ownerships) {
    const Ownership& ownership = this->ownerships->At(question->shard);
    is_owner = ownership.holds() && ownership.epoch() < question->epoch;
  }
  exchange->Reply(http::JsonResponse(kOk, FormatOwnerAnswer(is_owner)));
}

void JobDaemon::AnswerMetrics(const http::ExchangePtr& exchange) {
  if (exchange->request().path.starts_with(ExplainApi::kPathPrefix)) {
    this->explain.Handle(exchange);
    return;
  }
  if (exchange->request().path.starts_with(kOwnerPath)) {
    this->AnswerOwnerQuestion(exchange);
    return;
  }
  if (exchange->request().path == "/dump") {
    exchange->Reply(http::JsonResponse(200, this->Dump()));
    return;
  }
  int stalled_tasks = 0;
  for (const auto& managed : this->managed_shards) {
    if (managed->manager)
      stalled_tasks += managed->manager->CountStalledTasks();
  }
  http::Response response;
  response.headers.push_back(
      {.name = "Content-Type", .value = "text/plain; version=0.0.4"});
  response.body = base::PrometheusText(this->counters);
  response.body += fmt::format(
      "# HELP quartzhoist_owner Shards that this daemon schedules\n"
      "# TYPE quartzhoist_owner gauge\nquartzhoist_owner {}\n"
      "# HELP quartzhoist_long_running_stalled Long-running tasks that are "
      "stalled\n"
      "# TYPE quartzhoist_long_running_stalled gauge\n"
      "quartzhoist_long_running_stalled {}\n"
      "# HELP quartzhoist_log_lines_left_out_total Log lines left out\n"
      "# TYPE quartzhoist_log_lines_left_out_total counter\n"
      "quartzhoist_log_lines_left_out_total {}\n",
      this->ownerships ? this->ownerships->held().size() : 0, stalled_tasks,
      base::LinesLeftOut());
  response.body += this->store.traffic().PrometheusText();
  exchange->Reply(std::move(response));
}

void JobDaemon::LogTraffic() const {
  base::Log(base::Event::kStoreTraffic,
            {{"shards", this->ownerships ? this->ownerships->held().size() : 0},
             {"total", this->store.traffic().Summary()}});
}

}  // namespace quartzhoist::entry
