#include "entry/caller_api.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/event_log.h"
#include "entry/caller_rights.h"
#include "entry/caller_status.h"
#include "entry/outage_retry.h"
#include "entry/refusal.h"
#include "jobs/progress.h"
#include "platform/records.h"
#include "platform/table_reader.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kNoSuchJob = "there is no such job";
// Reads of progress rows before rejections. More would cost a store that serves
// 6,000 reads a second, shared by some 30 daemons, too much under overload.
constexpr std::size_t kMaxReadsBeforeRejectionPerSecond = 100;

std::string_view StripPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

CallerApi::CallerApi(
    base::Loop& loop,
    platform::Store& store,
    base::Counters& counters,
    std::function<void(const platform::Row& row)> on_config_row)
    : store(store),
      counters(counters),
      on_config_row(std::move(on_config_row)),
      hold_timer(loop, [this] { this->AnswerHeld(); }),
      reads_before_rejection(kMaxReadsBeforeRejectionPerSecond),
      retry_timer(loop, [this] { this->RetryWrites(); }),
      rejection_timer(loop, [this] { this->AdmitOverdue(); }) {}

void CallerApi::SetConfig(const jobs::Config& next) {
  this->config = next;
  this->config_confirmed = base::MonotonicNow();
  this->ScheduleHeld();
}

void CallerApi::SetShards(int count, ChooseShard choose) {
  this->shards = count;
  this->choose_shard = std::move(choose);
  this->ScheduleHeld();
}

void CallerApi::SetAdmission(LoadSource source, std::uint64_t seed) {
  this->loads = std::move(source);
  this->admission.emplace(seed);
  this->random.seed(seed + 1);
}

void CallerApi::BeginShutdown() {
  this->stopping = true;
}

// Refused submissions must not be written by a later turn of the loop.
void CallerApi::Shutdown() {
  constexpr std::string_view kReason = "this daemon leaves";
  this->is_shut_down = true;
  std::vector<Submission> unwritten;
  for (auto& [part, queue] : this->parts) {
    for (Submission& submission : std::exchange(queue.to_retry, {}))
      unwritten.push_back(std::move(submission));
    for (Submission& submission : std::exchange(queue.waiting, {}))
      unwritten.push_back(std::move(submission));
  }
  for (const Submission& submission : unwritten) {
    if (submission.may_be_written)
      this->unknown_outcomes.Add(submission.job, base::MonotonicNow());
  }
  for (auto& [choice, submission] : std::exchange(this->unassigned, {}))
    unwritten.push_back(std::move(submission));
  for (const Submission& submission : unwritten)
    this->Refuse(submission.exchange, kServiceUnavailable, submission.job,
                 kReason);
  std::vector<http::ExchangePtr> unserved =
      this->held_at_start.Take(base::Micros::max(), false);
  for (http::ExchangePtr& exchange : std::exchange(this->awaiting_config, {}))
    unserved.push_back(std::move(exchange));
  for (const http::ExchangePtr& exchange : unserved)
    this->Refuse(exchange, kServiceUnavailable, "", kReason);
  for (auto& [part, queue] : this->parts) {
    if (!queue.in_flight)
      continue;
    for (Submission& submission : *queue.in_flight) {
      this->Refuse(submission.exchange, kGatewayTimeout, submission.job,
                   "this daemon leaves; the write had no answer yet");
    }
  }
}

http::Response CallerApi::Finished(http::Response response) const {
  if (this->stopping)
    response.headers.push_back({.name = "Connection", .value = "close"});
  return response;
}

void CallerApi::Reply(const http::ExchangePtr& exchange,
                      http::Response response) const {
  exchange->Reply(this->Finished(std::move(response)));
}

// 503 and 429 say that the job never runs. Another submission of it may be
// pending, or may have been answered that its outcome is not known.
bool CallerApi::MayClaimNotRun(const http::Request& request) {
  if (request.method != "POST")
    return true;
  return !this->MayBeWritten(JobIdIn(request.path));
}

http::Response CallerApi::Refusal(const http::Request& request,
                                  int status,
                                  std::string_view job,
                                  std::string_view reason,
                                  std::chrono::seconds retry_after) {
  const bool claims_not_run =
      status == kServiceUnavailable || status == kTooManyRequests;
  if (claims_not_run && !this->MayClaimNotRun(request))
    status = kGatewayTimeout;
  this->counters.Add(status == kGatewayTimeout
                         ? base::Counter::kRefusedMayHaveRun
                         : base::Counter::kRefusedNotRun);
  // A request that is refused before its queue is looked up names its job too.
  base::Log(base::Event::kJobRefused,
            {{"job", job.empty() ? JobIdIn(request.path) : std::string(job)},
             {"status", status},
             {"reason", reason}});
  return this->Finished(MakeRefusal(status, reason, retry_after));
}

void CallerApi::Refuse(const http::ExchangePtr& exchange,
                       int status,
                       std::string_view job,
                       std::string_view reason,
                       std::chrono::seconds retry_after) {
  exchange->Reply(
      this->Refusal(exchange->request(), status, job, reason, retry_after));
}

// Requests of handlers take the room until they are answered, within the time
// that their callers wait; the random part spreads those who come back.
http::Response CallerApi::RefuseForRoom(const http::Request& request) {
  this->counters.Add(base::Counter::kRequests);
  return this->Refusal(request, kServiceUnavailable, "",
                       "too many requests are in progress",
                       OutageRetryAfter(std::chrono::seconds(1), this->random));
}

void CallerApi::Handle(const http::ExchangePtr& exchange) {
  this->counters.Add(base::Counter::kRequests);
  const bool is_held = !this->CanServe() && !this->store.SeemsAway() &&
                       this->held_at_start.Add(exchange, base::MonotonicNow());
  if (!is_held) {
    this->Serve(exchange);
    return;
  }
  this->counters.Add(base::Counter::kHeldAtStart);
  this->ScheduleHeld();
}

// Held requests are served from the timer, after whoever called SetShards has
// set everything else.
void CallerApi::ScheduleHeld() {
  const std::optional<base::Micros> expiry = this->held_at_start.next_expiry();
  if (!expiry)
    return;
  const base::Micros delay =
      this->CanServe() ? base::Micros(1) : *expiry - base::MonotonicNow();
  this->hold_timer.StartOnce(std::max(delay, base::Micros(1)));
}

void CallerApi::AnswerHeld() {
  for (const http::ExchangePtr& exchange :
       this->held_at_start.Take(base::MonotonicNow(), this->CanServe()))
    this->Serve(exchange);
  this->ScheduleHeld();
}

void CallerApi::Serve(const http::ExchangePtr& exchange) {
  if (!this->config) {
    this->Refuse(exchange, kServiceUnavailable, "", "no configuration yet");
    return;
  }
  if (this->shards == 0) {
    this->Refuse(exchange, kServiceUnavailable, "",
                 "the number of shards is not known yet");
    return;
  }
  // Fails at once instead of starting a call that is expected to fail. The
  // store's probes and the feeds detect when it is back.
  if (this->store.SeemsAway()) {
    this->Refuse(exchange, kServiceUnavailable, "", "the store is away",
                 this->RetryAfterOutage());
    return;
  }
  // A configuration that the feed has not confirmed for half of the time in
  // which a change must be in force may still contain a removed queue or lack a
  // new one.
  const base::Micros age = base::MonotonicNow() - this->config_confirmed;
  if (age > this->store.deployment().config_in_force / 2)
    this->ReadConfig(exchange);
  else
    this->Dispatch(exchange, ConfigSource::kFeed);
}

void CallerApi::Dispatch(const http::ExchangePtr& exchange,
                         ConfigSource source) {
  const http::Request& request = exchange->request();
  if (this->is_shut_down) {
    this->Refuse(exchange, kServiceUnavailable, "", "this daemon leaves");
    return;
  }
  // 1. Find the queue by host and path.
  const std::string_view path =
      std::string_view(request.path).substr(0, request.path.find('?'));
  const std::string* host = http::FindHeader(request.headers, "Host");
  const jobs::Queue* queue =
      this->config->Route(host ? StripPort(*host) : "", path);
  // 2. Authenticate the caller by its access key.
  const std::optional<std::string> organisation =
      queue ? AuthenticateCaller(*this->config, *queue, request.headers)
            : std::nullopt;
  // An answer of the feed may have been on its way while a newer configuration
  // came into force, so that it counts from when it was asked for.
  if (!organisation && this->MayConfigBeOutdated(source, this->config_asked)) {
    this->ReadConfig(exchange);
    return;
  }
  if (!queue) {
    this->Refuse(exchange, kNotFound, "", "there is no such queue");
    return;
  }
  if (!organisation) {
    this->Refuse(exchange, kUnauthorized, "", "the access key is not known");
    return;
  }
  // 3. Serve the queue itself or one of its jobs.
  const std::string job(path.substr(queue->path_prefix.size()));
  if (job.empty() && request.method == "GET") {
    this->AnswerCount(exchange, queue->name);
    return;
  }
  if (!IsJobId(job)) {
    this->Refuse(exchange, kBadRequest, job, "a job's id is 16 hex digits");
    return;
  }
  const JobRequest job_request{.exchange = exchange,
                               .job = job,
                               .organisation = *organisation,
                               .config_source = source};
  if (request.method == "POST")
    this->Submit(job_request, *queue);
  else if (request.method == "GET")
    this->AnswerState(job_request);
  else if (request.method == "DELETE")
    this->Cancel(job_request);
  else
    this->Refuse(exchange, kMethodNotAllowed, job, "POST, GET or DELETE");
}

std::chrono::seconds CallerApi::RetryAfterOutage() {
  return OutageRetryAfter(this->store.OutageLength(), this->random);
}

// --- Queries, counts ---

// Passes the job's progress row to `on_found`. Answers the caller itself if the
// row cannot be read or is malformed.
void CallerApi::ReadProgress(
    const http::ExchangePtr& exchange,
    const std::string& job,
    std::function<void(const ProgressRecord& stored)> on_found,
    std::function<void()> on_absent) {
  const platform::RowKey at = ProgressRow(job);
  const platform::ReadQuery query{
      .table = at.table, .part = at.part, .from = job, .to = {}, .limit = 1};
  this->store.Read(query, [this, exchange, job, on_found = std::move(on_found),
                           on_absent = std::move(on_absent)](
                              std::optional<platform::ReadResult> result) {
    if (!result) {
      this->Refuse(exchange, kServiceUnavailable, job,
                   "the store does not answer");
      return;
    }
    if (result->rows.empty() || result->rows.front().at.key != job) {
      on_absent();
      return;
    }
    const auto stored = DecodeProgressRecord(result->rows.front().value);
    if (!stored) {
      base::Log(base::Event::kRowMalformed, {{"row", job}});
      this->Refuse(exchange, kServiceUnavailable, job,
                   "its state cannot be read");
      return;
    }
    on_found(*stored);
  });
}

// Passes on whether the caller may access the job; kUndecided if the store does
// not answer the read that this takes. A key may have moved to another
// organisation: before access is denied under a configuration that may be
// outdated, the request is dispatched again under the one in the store.
void CallerApi::CheckAccess(const JobRequest& request,
                            const JobOrigin& origin,
                            int shard,
                            std::function<void(JobAccess)> on_decided) {
  const JobAccess access =
      DecideJobAccess(*this->config, request.organisation, origin);
  // Reading the configuration submits the job anew, which takes a write where
  // this decision takes none. An answer of the feed therefore counts from its
  // arrival here.
  if (access == JobAccess::kDenied &&
      this->MayConfigBeOutdated(request.config_source,
                                this->config_confirmed)) {
    this->ReadConfig(request.exchange);
    return;
  }
  if (access != JobAccess::kUndecided) {
    on_decided(access);
    return;
  }
  ReadAcceptedOrigin(
      this->store, request.job, {.number = shard, .count = this->shards},
      [this, request, shard,
       on_decided = std::move(on_decided)](const AcceptedOrigin& accepted) {
        if (accepted.origin)
          this->CheckAccess(request, *accepted.origin, shard, on_decided);
        else
          on_decided(accepted.is_known ? JobAccess::kAllowed
                                       : JobAccess::kUndecided);
      });
}

// Another organisation's job is answered like one that does not exist, so that
// the answer reveals nothing about it.
void CallerApi::IfAllowed(const JobRequest& request,
                          const JobOrigin& origin,
                          int shard,
                          std::function<void()> on_allowed) {
  this->CheckAccess(
      request, origin, shard,
      [this, request, on_allowed = std::move(on_allowed)](JobAccess access) {
        if (access == JobAccess::kAllowed)
          on_allowed();
        else if (access == JobAccess::kDenied)
          this->Refuse(request.exchange, kGone, request.job, kNoSuchJob);
        else
          this->Refuse(request.exchange, kServiceUnavailable, request.job,
                       "it cannot be read whose job it is");
      });
}

void CallerApi::AnswerState(const JobRequest& request) {
  this->ReadProgress(
      request.exchange, request.job,
      [this, request](const ProgressRecord& stored) {
        const auto progress = jobs::DecodeProgress(stored.text);
        if (!progress) {
          base::Log(base::Event::kRowMalformed, {{"row", request.job}});
          this->Refuse(request.exchange, kServiceUnavailable, request.job,
                       "its state cannot be read");
          return;
        }
        this->IfAllowed(
            request, OriginOf(*progress), stored.shard,
            [this, request, state = progress->state] {
              this->Reply(request.exchange,
                          http::JsonResponse(kOk, platform::StateBody(state)));
            });
      },
      [this, request] {
        this->RefuseUnknownJob(request.exchange, request.job);
      });
}

void CallerApi::RefuseUnknownJob(const http::ExchangePtr& exchange,
                                 const std::string& job) {
  this->Refuse(exchange, kGone, job, kNoSuchJob);
}

void CallerApi::AnswerCount(const http::ExchangePtr& exchange,
                            const std::string& queue) {
  platform::ReadTable(
      this->store, std::string(kQueueLengthTable), {QueueLengthRow({}).part},
      [this, exchange,
       queue](const std::optional<platform::TableContent>& content) {
        if (!content) {
          this->Refuse(exchange, kServiceUnavailable, "",
                       "the store does not answer");
          return;
        }
        // A new queue has no count yet and counts as 0.
        std::int64_t count = 0;
        for (const platform::Row& row : content->rows)
          count += QueueLengthOf(row.value, queue);
        this->Reply(exchange,
                    http::JsonResponse(kOk, platform::CountBody(count)));
      });
}

}  // namespace quartzhoist::entry
