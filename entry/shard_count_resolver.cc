#include "entry/shard_count_resolver.h"

#include <utility>

#include "base/event_log.h"
#include "entry/tables.h"
#include "entry/timing.h"
#include "platform/records.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

constexpr base::Micros kReadRetryDelay = milliseconds(150);
// Delay of the next look while another daemon counts.
constexpr base::Micros kWaitForCounter = milliseconds(400);
// Workers register within a few heartbeats (1 to 1.5 s on the sites) of a
// fleet's start. The count is final when two reads, kRecountDelay apart, find
// the same number of workers, or after kMaxCountDuration.
constexpr base::Micros kRecountDelay = milliseconds(600);
constexpr base::Micros kMaxCountDuration = milliseconds(5000);

// The counter is presumed dead this long after its claim was seen without a
// count: it takes kMaxCountDuration and another read at most.
constexpr base::Micros kClaimTimeout = milliseconds(6500);

base::Micros CountDelay(double cores, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  return FirstClaimDelay(cores) + milliseconds(random() % kClaimJitterMillis);
}

}  // namespace

ShardCountResolver::ShardCountResolver(base::Loop& loop,
                                       platform::Store& on,
                                       double cores,
                                       std::size_t max_workers,
                                       std::uint64_t seed,
                                       std::function<void(int count)> then)
    : store(on),
      workers_per_owner(max_workers),
      on_resolved(std::move(then)),
      count_delay(CountDelay(cores, seed)),
      claim_text(std::to_string(seed)),
      timer(loop, [this] { this->ReadCountRow(); }),
      alive(std::make_shared<bool>(true)) {
  this->ReadCountRow();
}

ShardCountResolver::~ShardCountResolver() {
  *this->alive = false;
}

void ShardCountResolver::ReadCountRow() {
  platform::ReadTable(
      this->store, std::string(kShardCountTable), {ShardCountRow().part},
      [this, is_alive = this->alive](
          const std::optional<platform::TableContent>& content) {
        if (*is_alive)
          this->OnCountRow(content);
      });
}

void ShardCountResolver::OnCountRow(
    const std::optional<platform::TableContent>& content) {
  const base::Micros now = base::MonotonicNow();
  this->timer.StartOnce(kReadRetryDelay);
  if (!content)
    return;
  for (const platform::Row& row : content->rows) {
    const std::optional<int> count = DecodeShardCount(row.value);
    if (row.at == ShardCountRow() && count) {
      this->Resolve(*count);
      return;
    }
    base::Log(base::Event::kRowMalformed, {{"row", row.at.key}});
    return;
  }
  if (!this->missing_since)
    this->missing_since = now;
  if (now - *this->missing_since < this->count_delay)
    return;
  if (this->is_counter)
    this->CountWorkers();
  else
    this->ReadClaim();
}

void ShardCountResolver::ReadClaim() {
  this->timer.Stop();
  platform::ReadTable(
      this->store, std::string(kShardCountTable), {ShardCountClaimRow().part},
      [this, is_alive = this->alive](
          const std::optional<platform::TableContent>& content) {
        if (*is_alive)
          this->OnClaim(content);
      });
}

void ShardCountResolver::OnClaim(
    const std::optional<platform::TableContent>& content) {
  if (!content) {
    this->timer.StartOnce(kReadRetryDelay);
    return;
  }
  // The answer to the write of the claim was lost.
  if (!content->rows.empty() &&
      content->rows.front().value == this->claim_text) {
    this->is_counter = true;
    this->CountWorkers();
    return;
  }
  const base::Micros now = base::MonotonicNow();
  const std::uint64_t version =
      content->rows.empty() ? 0 : content->rows.front().version;
  if (version != this->claim_version) {
    this->claim_version = version;
    this->claim_seen = now;
  }
  const bool is_claimed = version > 0 && now - this->claim_seen < kClaimTimeout;
  if (is_claimed)
    this->timer.StartOnce(kWaitForCounter);
  else
    this->WriteClaim();
}

// One of several daemons that saw the same claim, or none, succeeds.
void ShardCountResolver::WriteClaim() {
  const platform::WriteBatch batch{
      .conditions = {{.at = ShardCountClaimRow(),
                      .version = this->claim_version}},
      .puts = {{.at = ShardCountClaimRow(), .value = this->claim_text}},
      .removes = {}};
  this->store.Write(batch, [this, is_alive = this->alive](
                               const platform::WriteResult& result) {
    if (!*is_alive)
      return;
    this->is_counter = result.outcome == platform::WriteOutcome::kDone;
    if (this->is_counter)
      this->CountWorkers();
    else
      this->timer.StartOnce(kReadRetryDelay);
  });
}

void ShardCountResolver::CountWorkers() {
  this->timer.Stop();
  platform::ReadTable(
      this->store, std::string(platform::kWorkerTable), {""},
      [this, is_alive = this->alive](
          const std::optional<platform::TableContent>& content) {
        if (!*is_alive)
          return;
        this->timer.StartOnce(kRecountDelay);
        if (content)
          this->OnWorkerCount(content->rows.size());
      });
}

// A single count of a fleet that is still starting would be too small.
void ShardCountResolver::OnWorkerCount(std::size_t workers) {
  const bool is_steady = workers > 0 && this->last_count == workers;
  const bool is_timed_out =
      base::MonotonicNow() - *this->missing_since > kMaxCountDuration;
  this->last_count = workers;
  if (is_steady || is_timed_out)
    this->WriteCount(ShardCountFor(workers, this->workers_per_owner));
}

// The condition fails if another daemon has written the row; its count is then
// read.
void ShardCountResolver::WriteCount(int count) {
  const platform::WriteBatch batch{
      .conditions = {{.at = ShardCountRow(), .version = 0}},
      .puts = {{.at = ShardCountRow(), .value = EncodeShardCount(count)}},
      .removes = {}};
  this->store.Write(batch, [this, count, is_alive = this->alive](
                               const platform::WriteResult& result) {
    if (!*is_alive)
      return;
    if (result.outcome == platform::WriteOutcome::kDone)
      this->Resolve(count);
    else
      this->timer.StartOnce(kReadRetryDelay);
  });
}

void ShardCountResolver::Resolve(int count) {
  this->timer.Stop();
  if (std::exchange(this->is_resolved, true))
    return;
  base::Log(base::Event::kShardsKnown, {{"shards", count}});
  this->on_resolved(count);
}

}  // namespace quartzhoist::entry
