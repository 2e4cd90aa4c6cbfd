#include "entry/shard_plan.h"

#include <utility>

#include "base/event_log.h"
#include "entry/tables.h"
#include "entry/timing.h"
#include "platform/records.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

constexpr base::Micros kReadAgain = milliseconds(150);
// Workers announce themselves within some heartbeats (1 to 1.5 s on the sites)
// of a fleet's start. The count is settled when two looks, this long apart,
// found as many, or after the longest wait.
constexpr base::Micros kCountAgain = milliseconds(600);
constexpr base::Micros kLongestCount = milliseconds(5000);

base::Micros WaitOf(double cores, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  return FirstClaimDelay(cores) + milliseconds(random() % kClaimJitterMillis);
}

}  // namespace

ShardPlan::ShardPlan(base::Loop& loop,
                     platform::Store& on,
                     double cores,
                     std::size_t most_workers,
                     std::uint64_t seed,
                     std::function<void(int count)> then)
    : store(on),
      workers_an_owner(most_workers),
      on_known(std::move(then)),
      wait(WaitOf(cores, seed)),
      timer(loop, [this] { this->Read(); }),
      alive(std::make_shared<bool>(true)) {
  this->Read();
}

ShardPlan::~ShardPlan() {
  *this->alive = false;
}

void ShardPlan::Read() {
  platform::ReadTable(
      this->store, std::string(kShardCountTable), {ShardCountRow().part},
      [this, lives = this->alive](
          const std::optional<platform::TableContent>& content) {
        if (*lives)
          this->TakeRow(content);
      });
}

void ShardPlan::TakeRow(const std::optional<platform::TableContent>& content) {
  const base::Micros now = base::MonotonicNow();
  this->timer.StartOnce(kReadAgain);
  if (!content)
    return;
  for (const platform::Row& row : content->rows) {
    const std::optional<int> count = DecodeShardCount(row.value);
    if (row.at == ShardCountRow() && count) {
      this->Known(*count);
      return;
    }
    base::Log(base::Event::kRowMalformed, {{"row", row.at.key}});
    return;
  }
  if (!this->missing_since)
    this->missing_since = now;
  if (now - *this->missing_since >= this->wait)
    this->CountWorkers();
}

void ShardPlan::CountWorkers() {
  this->timer.Stop();
  platform::ReadTable(
      this->store, std::string(platform::kWorkerTable), {""},
      [this, lives = this->alive](
          const std::optional<platform::TableContent>& content) {
        if (!*lives)
          return;
        this->timer.StartOnce(kCountAgain);
        if (content)
          this->TakeWorkers(content->rows.size());
      });
}

// A fleet that is still starting up would be taken for a small one.
void ShardPlan::TakeWorkers(std::size_t workers) {
  const bool is_steady = workers > 0 && this->counted == workers;
  const bool is_late =
      base::MonotonicNow() - *this->missing_since > kLongestCount;
  this->counted = workers;
  if (is_steady || is_late)
    this->Write(ShardCountFor(workers, this->workers_an_owner));
}

// Whoever comes second finds the first one's row.
void ShardPlan::Write(int count) {
  const platform::WriteBatch batch{
      .conditions = {{.at = ShardCountRow(), .version = 0}},
      .puts = {{.at = ShardCountRow(), .value = EncodeShardCount(count)}},
      .removes = {}};
  this->store.Write(batch, [this, count, lives = this->alive](
                               const platform::WriteResult& result) {
    if (!*lives)
      return;
    if (result.outcome == platform::WriteOutcome::kDone)
      this->Known(count);
    else
      this->timer.StartOnce(kReadAgain);
  });
}

void ShardPlan::Known(int count) {
  this->timer.Stop();
  if (std::exchange(this->is_known, true))
    return;
  base::Log(base::Event::kShardsKnown, {{"shards", count}});
  this->on_known(count);
}

}  // namespace quartzhoist::entry
