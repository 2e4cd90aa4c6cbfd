// Cancellations: of stored jobs, and of ids under which no job is stored yet.

#include <charconv>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include "base/event_log.h"
#include "entry/caller_api.h"
#include "entry/caller_status.h"
#include "jobs/progress.h"

namespace quartzhoist::entry {

namespace {

constexpr int kCancelAttempts = 3;
// A submission is not on its way for longer than this.
constexpr std::int64_t kCancelledIdLifetimeMs = 3'600'000;
// One in so many cancellations of unknown jobs lists some cancelled ids of its
// part. Each then removes more old ones in the mean than it adds.
constexpr std::uint64_t kCancelsPerListing = 4;
constexpr int kMaxListedCancelledIds = 32;

// `value`: when the row was written, on the store's clock; 0 if unknown.
bool IsCancelledIdOld(std::string_view value, std::int64_t now_ms) {
  std::int64_t written_ms = 0;
  const auto parsed =
      std::from_chars(value.data(), value.data() + value.size(), written_ms);
  return parsed.ec == std::errc() && written_ms > 0 &&
         now_ms - written_ms > kCancelledIdLifetimeMs;
}

}  // namespace

void CallerApi::Cancel(const JobRequest& request) {
  this->Cancel(request, kCancelAttempts);
}

// A job of which only the shard can be read can still be cancelled.
void CallerApi::Cancel(const JobRequest& request, int tries_left) {
  this->ReadProgress(
      request.exchange, request.job,
      [this, request](const ProgressRecord& stored) {
        const auto progress = jobs::DecodeProgress(stored.text);
        const int shard = stored.shard;
        this->IfAllowed(request, progress ? OriginOf(*progress) : JobOrigin(),
                        shard, [this, request, shard] {
                          this->WriteCancel({.exchange = request.exchange,
                                             .job = request.job,
                                             .shard = {.number = shard,
                                                       .count = this->shards},
                                             .tries_left = kCancelAttempts});
                        });
      },
      [this, request, tries_left] {
        this->CancelUnknownJob({.request = request, .tries_left = tries_left});
      });
}

// The answer says that the job is cancelled. Its submission may still lie in
// the socket of a daemon that stands still, or its write be on its way to the
// store: a row is left on which that write fails. Now and then a few old rows
// are listed, to be removed with the same write.
void CallerApi::CancelUnknownJob(const UnknownCancellation& cancel) {
  const bool lists_old = this->random() % kCancelsPerListing == 0;
  if (!lists_old) {
    this->WriteCancelledId(cancel, {});
    return;
  }
  const platform::RowKey at = CancelledIdRow(cancel.request.job, "");
  const platform::ReadQuery query{
      .table = at.table,
      .part = at.part,
      .from = fmt::format("{:016x}", this->random()),
      .to = {},
      .limit = kMaxListedCancelledIds};
  this->store.Read(
      query, [this, cancel](const std::optional<platform::ReadResult>& result) {
        this->WriteCancelledId(
            cancel, result ? result->rows : std::vector<platform::Row>());
      });
}

void CallerApi::WriteCancelledId(const UnknownCancellation& cancel,
                                 const std::vector<platform::Row>& listed) {
  const JobRequest& request = cancel.request;
  const platform::RowKey row =
      CancelledIdRow(request.job, request.organisation);
  const std::int64_t now_ms = this->store.StoreMillis(base::MonotonicNow());
  platform::WriteBatch write{
      .conditions = {{.at = ProgressRow(request.job), .version = 0}},
      .puts = {{.at = row, .value = std::to_string(now_ms)}},
      .removes = {}};
  for (const platform::Row& other : listed) {
    if (!(other.at == row) && IsCancelledIdOld(other.value, now_ms))
      write.removes.push_back(other.at);
  }
  this->store.Write(write, [this, cancel](const platform::WriteResult& result) {
    this->OnCancelledIdWritten(cancel, result);
  });
}

void CallerApi::OnCancelledIdWritten(UnknownCancellation cancel,
                                     const platform::WriteResult& result) {
  const JobRequest& request = cancel.request;
  if (result.outcome == platform::WriteOutcome::kDone) {
    this->RefuseUnknownJob(request.exchange, request.job);
    return;
  }
  --cancel.tries_left;
  if (result.outcome == platform::WriteOutcome::kUnknown)
    cancel.may_be_written = true;
  // The job has been stored meanwhile.
  const bool is_stored = result.outcome == platform::WriteOutcome::kConflict;
  if (cancel.tries_left > 0 && is_stored)
    this->Cancel(request, cancel.tries_left);
  else if (cancel.tries_left > 0)
    this->WriteCancelledId(cancel, {});
  else if (cancel.may_be_written || is_stored)
    this->Refuse(request.exchange, kGatewayTimeout, request.job,
                 "it is not known whether the job is cancelled: ask again");
  else
    this->Refuse(request.exchange, kServiceUnavailable, request.job,
                 "the store does not take writes now",
                 this->RetryAfterOutage());
}

void CallerApi::WriteCancel(const Cancellation& cancel) {
  // Unconditional: only cancellations write this row, so that the write may be
  // repeated or arrive late, even after the job has finished.
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
    --next.tries_left;
    if (result.outcome == platform::WriteOutcome::kUnknown)
      next.may_be_written = true;
    if (next.tries_left > 0)
      this->WriteCancel(next);
    else if (next.may_be_written)
      this->Refuse(cancel.exchange, kGatewayTimeout, cancel.job,
                   "it is not known whether the job is cancelled: ask again");
    else
      this->Refuse(cancel.exchange, kServiceUnavailable, cancel.job,
                   "the store does not take writes now",
                   this->RetryAfterOutage());
  });
}

}  // namespace quartzhoist::entry
