#include "entry/explain_api.h"

#include <utility>

#include "entry/caller_rights.h"
#include "entry/caller_status.h"
#include "entry/refusal.h"
#include "entry/tables.h"

namespace quartzhoist::entry {

namespace {

constexpr std::string_view kNoSuchJob = "there is no such job";
constexpr std::string_view kStoreIsSilent = "the store does not answer";

platform::ReadQuery QueryOf(const platform::RowKey& at) {
  return {
      .table = at.table, .part = at.part, .from = at.key, .to = {}, .limit = 1};
}

// The row, or null if there is none.
const platform::Row* RowAt(const platform::ReadResult& result,
                           const platform::RowKey& at) {
  const bool exists =
      !result.rows.empty() && result.rows.front().at.key == at.key;
  return exists ? &result.rows.front() : nullptr;
}

}  // namespace

ExplainApi::ExplainApi(platform::Store& store, Sources sources)
    : store(store), sources(std::move(sources)) {}

void ExplainApi::Handle(const http::ExchangePtr& exchange) {
  const http::Request& request = exchange->request();
  const std::string_view path =
      std::string_view(request.path).substr(0, request.path.find('?'));
  const std::string job(path.substr(kPathPrefix.size()));
  if (request.method != "GET") {
    exchange->Reply(MakeRefusal(kMethodNotAllowed, "GET"));
    return;
  }
  if (!IsJobId(job)) {
    exchange->Reply(MakeRefusal(kBadRequest, "a job's id is 16 hex digits"));
    return;
  }
  const jobs::Config* config = this->sources.config();
  if (!config) {
    exchange->Reply(MakeRefusal(kServiceUnavailable, "no configuration yet"));
    return;
  }
  // No queue is open here: without organisations no key is needed, else every
  // request needs one.
  const std::optional<std::string> organisation =
      AuthenticateCaller(*config, jobs::Queue(), request.headers);
  if (!organisation) {
    exchange->Reply(MakeRefusal(kUnauthorized, "the access key is not known"));
    return;
  }
  if (this->sources.shards() == 0) {
    exchange->Reply(MakeRefusal(kServiceUnavailable,
                                "the number of shards is not known yet"));
    return;
  }
  const base::Micros now = base::MonotonicNow();
  if (!this->limit.Take(now)) {
    exchange->Reply(MakeRefusal(
        kTooManyRequests,
        "too many explanations are asked for: ask again in a second"));
    return;
  }
  const std::optional<OwnedJob> owned = this->sources.owned(job);
  if (!owned) {
    Request read{.exchange = exchange,
                 .organisation = *organisation,
                 .asked = now,
                 .stored = {},
                 .origin = {}};
    read.stored.job = job;
    this->ReadProgress(std::move(read));
    return;
  }
  const JobOrigin origin{.organisation = owned->job->organisation,
                         .queue = owned->job->queue.name};
  if (DecideExplainAccess(*config, *organisation, origin) !=
      JobAccess::kAllowed) {
    exchange->Reply(MakeRefusal(kGone, kNoSuchJob));
    return;
  }
  exchange->Reply(http::JsonResponse(kOk, ExplainOwnedJob(*owned)));
}

void ExplainApi::ReadProgress(Request request) {
  const platform::RowKey at = ProgressRow(request.stored.job);
  this->store.Read(
      QueryOf(at),
      [this, at, request = std::move(request)](
          const std::optional<platform::ReadResult>& result) mutable {
        if (!result) {
          request.exchange->Reply(
              MakeRefusal(kServiceUnavailable, kStoreIsSilent));
          return;
        }
        const platform::Row* row = RowAt(*result, at);
        if (!row) {
          request.exchange->Reply(MakeRefusal(kGone, kNoSuchJob));
          return;
        }
        const auto record = DecodeProgressRecord(row->value);
        auto progress = record ? jobs::DecodeProgress(record->text)
                               : std::optional<jobs::Progress>();
        if (!progress) {
          request.exchange->Reply(
              MakeRefusal(kServiceUnavailable, "its state cannot be read"));
          return;
        }
        request.origin = OriginOf(*progress);
        request.stored.shard = record->shard;
        request.stored.progress = std::move(*progress);
        // Rows of earlier versions name neither.
        if (!request.origin.organisation || request.origin.queue.empty())
          this->ReadOrigin(std::move(request));
        else
          this->ReadOwner(std::move(request));
      });
}

void ExplainApi::ReadOrigin(Request request) {
  const std::string job = request.stored.job;
  const Shard shard{.number = request.stored.shard,
                    .count = this->sources.shards()};
  ReadAcceptedOrigin(
      this->store, job, shard,
      [this,
       request = std::move(request)](const AcceptedOrigin& accepted) mutable {
        if (!accepted.is_known) {
          request.exchange->Reply(MakeRefusal(
              kServiceUnavailable, "it cannot be read whose job it is"));
          return;
        }
        if (accepted.origin)
          request.origin = *accepted.origin;
        this->ReadOwner(std::move(request));
      });
}

void ExplainApi::ReadOwner(Request request) {
  const jobs::Config* config = this->sources.config();
  // Without any row that names its organisation, any known key may ask.
  if (DecideExplainAccess(*config, request.organisation, request.origin) ==
      JobAccess::kDenied) {
    request.exchange->Reply(MakeRefusal(kGone, kNoSuchJob));
    return;
  }
  request.stored.queue = request.origin.queue;
  if (const jobs::Queue* queue = config->FindQueue(request.origin.queue))
    request.stored.priority = queue->priority;
  const platform::RowKey at = OwnerRow(
      {.number = request.stored.shard, .count = this->sources.shards()});
  this->store.Read(
      QueryOf(at),
      [at, request = std::move(request)](
          const std::optional<platform::ReadResult>& result) mutable {
        if (!result) {
          request.exchange->Reply(
              MakeRefusal(kServiceUnavailable, kStoreIsSilent));
          return;
        }
        const platform::Row* row = RowAt(*result, at);
        const auto owner =
            row ? DecodeOwner(row->value) : std::optional<OwnerRecord>();
        if (owner)
          request.stored.owner = owner->holder;
        request.stored.age = base::MonotonicNow() - request.asked;
        request.exchange->Reply(
            http::JsonResponse(kOk, ExplainStoredJob(request.stored)));
      });
}

}  // namespace quartzhoist::entry
