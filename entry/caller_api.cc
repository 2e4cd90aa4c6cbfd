#include "entry/caller_api.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/event_log.h"
#include "entry/caller_rights.h"
#include "entry/caller_status.h"
#include "jobs/progress.h"
#include "platform/records.h"
#include "platform/table_reader.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

constexpr int kCancelTries = 3;
// A queue or a key is called unknown by a view that is at most so old; else the
// store is asked, some ms. Bounds what a flood of such requests costs: four
// reads a second.
constexpr base::Micros kFreshView = milliseconds(250);

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

// A job's id: 16 hex digits.
bool IsJobId(std::string_view text) {
  constexpr std::size_t kDigits = 16;
  return text.size() == kDigits &&
         text.find_first_not_of("0123456789abcdefABCDEF") ==
             std::string_view::npos;
}

}  // namespace

CallerApi::CallerApi(base::Loop& loop,
                     platform::Store& on,
                     base::Counters& count,
                     std::function<void(const platform::Row& row)> on_row)
    : store(on),
      counters(count),
      on_config_row(std::move(on_row)),
      retry(loop, [this] { this->WriteAgain(); }) {}

void CallerApi::SetConfig(const jobs::Config& next) {
  this->config = next;
  this->ConfigSeen(base::MonotonicNow());
}

void CallerApi::SetShards(int count, ChooseShard choose) {
  this->shards = count;
  this->choose_shard = std::move(choose);
}

void CallerApi::ConfigSeen(base::Micros seen) {
  this->config_seen = std::max(this->config_seen, seen);
}

void CallerApi::Stop() {
  this->stopping = true;
}

void CallerApi::End() {
  for (auto& [part, queue] : this->parts) {
    for (Submission& submission : queue.again)
      queue.waiting.push_back(std::move(submission));
    for (Submission& submission : queue.waiting) {
      const int status = submission.uncertain ? kUnknownFate : kUnavailable;
      this->Refuse(submission.exchange, status, submission.job,
                   "this daemon leaves");
    }
    if (!queue.sent)
      continue;
    for (Submission& submission : *queue.sent) {
      this->Refuse(submission.exchange, kUnknownFate, submission.job,
                   "this daemon leaves; the write had no answer yet");
    }
  }
}

void CallerApi::Reply(const http::ExchangePtr& exchange,
                      http::Response response) const {
  if (this->stopping)
    response.headers.push_back({.name = "Connection", .value = "close"});
  exchange->Reply(std::move(response));
}

void CallerApi::Refuse(const http::ExchangePtr& exchange,
                       int status,
                       std::string_view job,
                       std::string_view reason) const {
  http::Response response =
      http::JsonResponse(status, platform::ProblemBody(reason));
  if (status == kUnavailable)
    response.headers.push_back({.name = "Retry-After", .value = "1"});
  if (status == kNoKey)
    response.headers.push_back({.name = "WWW-Authenticate", .value = "Token"});
  this->counters.Add(status == kUnknownFate ? base::Counter::kRefusedMayHaveRun
                                            : base::Counter::kRefusedNotRun);
  base::Log(base::Event::kJobRefused,
            {{"job", job}, {"status", status}, {"reason", reason}});
  this->Reply(exchange, std::move(response));
}

void CallerApi::Handle(const http::ExchangePtr& exchange) {
  this->counters.Add(base::Counter::kRequests);
  if (!this->config || this->shards == 0) {
    this->Refuse(exchange, kUnavailable, "", "no configuration yet");
    return;
  }
  // What is known to fail is not tried: feeds find out when the store is back.
  if (this->store.SeemsAway()) {
    this->Refuse(exchange, kUnavailable, "", "the store is away");
    return;
  }
  // A view that the feed has not renewed for half of the time in which a change
  // must be in force may be a dropped queue's, or lack a new one.
  const base::Micros age = base::MonotonicNow() - this->config_seen;
  if (age > this->store.deployment().config_in_force / 2)
    this->AskForConfig(exchange);
  else
    this->Dispatch(exchange, ConfigView::kFollowed);
}

// Requests that come while the store is asked share its answer.
void CallerApi::AskForConfig(const http::ExchangePtr& exchange) {
  this->asking.push_back(exchange);
  if (this->asking.size() > 1)
    return;
  const platform::ReadQuery query{
      .table = std::string(platform::kOperatorTable),
      .part = "",
      .from = std::string(platform::kConfigKey),
      .to = {},
      .limit = 1,
      .fresh_connection = true};
  const base::Micros asked = base::MonotonicNow();
  this->store.Read(
      query, [this, asked](const std::optional<platform::ReadResult>& result) {
        this->TakeConfigRow(result, asked);
      });
}

void CallerApi::TakeConfigRow(const std::optional<platform::ReadResult>& result,
                              base::Micros asked) {
  const bool is_there = result && !result->rows.empty() &&
                        result->rows.front().at.key == platform::kConfigKey;
  if (is_there)
    this->on_config_row(result->rows.front());
  if (result)
    this->ConfigSeen(asked);
  for (const http::ExchangePtr& exchange : std::exchange(this->asking, {})) {
    if (result)
      this->Dispatch(exchange, ConfigView::kAsked);
    else
      this->Refuse(exchange, kUnavailable, "",
                   "it is not known which configuration is in force");
  }
}

void CallerApi::Dispatch(const http::ExchangePtr& exchange, ConfigView view) {
  const http::Request& request = exchange->request();
  // 1. The queue, by host and path.
  const std::string_view path =
      std::string_view(request.path).substr(0, request.path.find('?'));
  const std::string* host = http::FindHeader(request.headers, "Host");
  const jobs::Queue* queue =
      this->config->Route(host ? WithoutPort(*host) : "", path);
  // 2. The caller, by its key.
  const std::optional<std::string> organisation =
      queue ? CallerOf(*this->config, *queue, request.headers) : std::nullopt;
  const base::Micros age = base::MonotonicNow() - this->config_seen;
  if (!organisation && view == ConfigView::kFollowed && age > kFreshView) {
    this->AskForConfig(exchange);
    return;
  }
  if (!queue) {
    this->Refuse(exchange, kNoQueue, "", "there is no such queue");
    return;
  }
  if (!organisation) {
    this->Refuse(exchange, kNoKey, "", "the access key is not known");
    return;
  }
  // 3. The queue itself, or one of its jobs.
  const std::string job(path.substr(queue->path_prefix.size()));
  if (job.empty() && request.method == "GET") {
    this->AnswerCount(exchange, queue->name);
    return;
  }
  if (!IsJobId(job)) {
    this->Refuse(exchange, kBadRequest, job, "a job's id is 16 hex digits");
    return;
  }
  if (request.method == "POST")
    this->Submit(exchange, *queue, *organisation, job);
  else if (request.method == "GET")
    this->AnswerState(exchange, job);
  else if (request.method == "DELETE")
    this->Cancel(exchange, job);
  else
    this->Refuse(exchange, kNoMethod, job, "POST, GET or DELETE");
}

// --- Asking, cancelling, counting ---

// `found` gets what the job's row holds; a caller whose job is not there, or
// cannot be looked for now, is answered here.
void CallerApi::ReadProgress(
    const http::ExchangePtr& exchange,
    const std::string& job,
    std::function<void(const ProgressRecord& kept)> found) {
  const platform::RowKey at = ProgressRow(job);
  const platform::ReadQuery query{
      .table = at.table, .part = at.part, .from = job, .to = {}, .limit = 1};
  this->store.Read(query, [this, exchange, job, found = std::move(found)](
                              std::optional<platform::ReadResult> result) {
    if (!result) {
      this->Refuse(exchange, kUnavailable, job, "the store does not answer");
      return;
    }
    if (result->rows.empty() || result->rows.front().at.key != job) {
      this->Refuse(exchange, kNoJob, job, "there is no such job");
      return;
    }
    const auto kept = DecodeProgressRecord(result->rows.front().value);
    if (!kept) {
      base::Log(base::Event::kRowMalformed, {{"row", job}});
      this->Refuse(exchange, kUnavailable, job, "its state cannot be read");
      return;
    }
    found(*kept);
  });
}

void CallerApi::AnswerState(const http::ExchangePtr& exchange,
                            const std::string& job) {
  this->ReadProgress(
      exchange, job, [this, exchange, job](const ProgressRecord& kept) {
        const auto progress = jobs::DecodeProgress(kept.text);
        if (!progress) {
          base::Log(base::Event::kRowMalformed, {{"row", job}});
          this->Refuse(exchange, kUnavailable, job, "its state cannot be read");
          return;
        }
        this->Reply(exchange, http::JsonResponse(
                                  kOk, platform::StateBody(progress->state)));
      });
}

void CallerApi::Cancel(const http::ExchangePtr& exchange,
                       const std::string& job) {
  this->ReadProgress(
      exchange, job, [this, exchange, job](const ProgressRecord& kept) {
        const Shard shard{.number = kept.shard, .count = this->shards};
        this->WriteCancel({.exchange = exchange,
                           .job = job,
                           .shard = shard,
                           .tries = kCancelTries});
      });
}

void CallerApi::WriteCancel(const Cancellation& cancel) {
  // Nothing else writes this row, so that this can be done twice or late, also
  // after the job is over.
  const platform::WriteBatch write{
      .conditions = {},
      .puts = {{.at = CancelRow(cancel.job, cancel.shard), .value = "1"}},
      .removes = {}};
  this->store.Write(write, [this, cancel](const platform::WriteResult& result) {
    if (result.outcome == platform::WriteOutcome::kDone) {
      base::Log(base::Event::kJobCancelled, {{"job", cancel.job}});
      this->Reply(cancel.exchange, http::JsonResponse(kOk, "{}"));
      return;
    }
    Cancellation next = cancel;
    --next.tries;
    if (result.outcome == platform::WriteOutcome::kUnknown)
      next.uncertain = true;
    if (next.tries > 0)
      this->WriteCancel(next);
    else if (next.uncertain)
      this->Refuse(cancel.exchange, kUnknownFate, cancel.job,
                   "it is not known whether the job is cancelled: ask again");
    else
      this->Refuse(cancel.exchange, kUnavailable, cancel.job,
                   "the store does not take writes now");
  });
}

void CallerApi::AnswerCount(const http::ExchangePtr& exchange,
                            const std::string& queue) {
  platform::ReadTable(
      this->store, std::string(kQueueLengthTable), {QueueLengthRow({}).part},
      [this, exchange,
       queue](const std::optional<platform::TableContent>& content) {
        if (!content) {
          this->Refuse(exchange, kUnavailable, "", "the store does not answer");
          return;
        }
        // A queue that is new has no count yet.
        std::int64_t count = 0;
        for (const platform::Row& row : content->rows)
          count += QueueLengthOf(row.value, queue);
        this->Reply(exchange,
                    http::JsonResponse(kOk, platform::CountBody(count)));
      });
}

}  // namespace quartzhoist::entry
