#include "testing/target_standin.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace quartzhoist::testing {

namespace {

// 64 connections for 8 slots, and some for the bench's own questions.
unsigned ConnectionsFor(int slots) {
  constexpr int kConnectionsASlot = 8;
  constexpr int kForTheBench = 8;
  return static_cast<unsigned>(slots * kConnectionsASlot + kForTheBench);
}

std::string IdOf(const http::Request& request) {
  const std::string* id = http::FindHeader(request.headers, "X-Request-Id");
  return id ? *id : "";
}

}  // namespace

TargetStandin::TargetStandin(base::Loop& loop, const Options& options)
    : chosen(options),
      timer(loop,
            [this] {
              const base::Micros now = base::MonotonicNow();
              while (!this->jobs.empty() && this->jobs.front().due <= now) {
                const Job job = this->jobs.front();
                this->jobs.pop_front();
                this->Finish(job);
              }
              this->Arm();
            }),
      server(loop,
             {.address = options.address,
              .port = options.port,
              .max_connections = ConnectionsFor(options.slots)},
             [this](const http::ExchangePtr& exchange) {
               this->Handle(exchange);
             }) {}

void TargetStandin::Handle(const http::ExchangePtr& exchange) {
  const http::Request& request = exchange->request();
  if (request.path == "/bench/report")
    return exchange->Reply(this->Report());
  if (static_cast<int>(this->jobs.size()) >= this->chosen.slots) {
    ++this->refusals;
    return exchange->Reply({.status = 429, .headers = {}, .body = "full"});
  }
  this->Start(exchange);
}

void TargetStandin::Start(const http::ExchangePtr& exchange) {
  const std::string id = IdOf(exchange->request());
  if (!id.empty())
    ++this->run_counts[id];
  if (this->chosen.fail_all)
    return exchange->Reply({.status = 500, .headers = {}, .body = "failed"});
  const Job job{.due = base::MonotonicNow() + this->chosen.work,
                .exchange = exchange};
  if (this->chosen.work.count() == 0 && !this->chosen.cut_all)
    return this->Finish(job);
  exchange->OnAbandoned([this, exchange] {
    ++this->hang_ups;
    std::erase_if(this->jobs, [&exchange](const Job& waiting) {
      return waiting.exchange == exchange;
    });
  });
  this->jobs.push_back(job);
  this->peak = std::max(this->peak, static_cast<int>(this->jobs.size()));
  if (this->jobs.size() == 1)
    this->Arm();
}

void TargetStandin::Finish(const Job& job) {
  if (this->chosen.cut_all)
    return job.exchange->Cut();
  // The answer names its request, so that a caller can tell it is its own.
  const http::Request& request = job.exchange->request();
  http::Response response{.status = 200, .headers = {}, .body = {}};
  response.headers.push_back({.name = "X-Request-Id", .value = IdOf(request)});
  response.body = request.path;
  job.exchange->Reply(std::move(response));
}

void TargetStandin::Arm() {
  if (this->jobs.empty())
    return;
  this->timer.StartOnce(this->jobs.front().due - base::MonotonicNow());
}

http::Response TargetStandin::Report() const {
  return http::JsonResponse(200, nlohmann::json{{"runs", this->run_counts},
                                                {"refused", this->refusals},
                                                {"abandoned", this->hang_ups},
                                                {"most_at_once", this->peak}}
                                     .dump());
}

}  // namespace quartzhoist::testing
