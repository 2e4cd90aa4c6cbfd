#include "entry/shard_watch.h"

#include <algorithm>

#include <fmt/format.h>
#include <xxhash.h>

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

// A daemon watches one shard, and one more for each of these cores. The owner
// should be on a strong box: with 60 boxes of a whole core among 585, five or
// six of them watch each of 32 shards.
constexpr double kCoresPerFurtherShard = 0.5;
// A daemon that holds a shard watches this many more: that most daemons hold
// one is the sign of a fleet with few daemons for each shard, where some shards
// would be watched by none. Adds two readers for each shard, whatever the
// number of daemons.
constexpr std::size_t kFurtherShardsOfHolder = 2;
// Covers two reads of the row that are kOwnerSilence apart, which tell a silent
// owner from one that renews.
constexpr base::Micros kVisitDuration = milliseconds(1500);
// Covers a takeover from a silent or much weaker owner, with its delays.
constexpr base::Micros kMaxVisitDuration = milliseconds(4500);
// Visits matter only for a shard whose watching daemons are all gone. With as
// many daemons as shards it is visited every five seconds.
constexpr base::Micros kVisitPeriod = milliseconds(5000);

// Rendezvous hashing: each daemon ranks the shards in an order of its own.
std::vector<int> RankShards(const std::string& id, int shards) {
  std::vector<std::pair<std::uint64_t, int>> ranked;
  for (int shard = 0; shard < shards; ++shard) {
    const std::string text = fmt::format("{}/{}", id, shard);
    ranked.emplace_back(XXH64(text.data(), text.size(), 0), shard);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<int> order;
  for (const auto& [hash, shard] : ranked)
    order.push_back(shard);
  return order;
}

}  // namespace

ShardWatch::ShardWatch(const std::string& id,
                       double cores,
                       int shards,
                       std::uint64_t seed) {
  this->ranked_shards = RankShards(id, shards);
  this->homes_without_shards =
      1 + static_cast<std::size_t>(cores / kCoresPerFurtherShard);
  this->visit_order = this->ranked_shards;
  std::mt19937_64 random(seed);
  std::shuffle(this->visit_order.begin(), this->visit_order.end(), random);
  this->SetHeldShards(0);
}

// With fewer daemons than shards, daemons hold several: each of them then
// watches all shards, since the others may be held by few daemons that go down
// together.
void ShardWatch::SetHeldShards(std::size_t held) {
  const std::size_t all = this->ranked_shards.size();
  std::size_t homes = all;
  if (held < 2)
    homes = std::min(
        all, this->homes_without_shards + held * kFurtherShardsOfHolder);
  this->home_shards.assign(
      this->ranked_shards.begin(),
      this->ranked_shards.begin() + static_cast<std::ptrdiff_t>(homes));
}

bool ShardWatch::IsHome(int shard) const {
  return std::find(this->home_shards.begin(), this->home_shards.end(), shard) !=
         this->home_shards.end();
}

void ShardWatch::BeginVisit(base::Micros now) {
  this->next_visit_at = now + kVisitPeriod;
  for (std::size_t i = 0; i < this->visit_order.size(); ++i) {
    const int shard = this->visit_order[this->next_visit];
    this->next_visit = (this->next_visit + 1) % this->visit_order.size();
    if (this->IsHome(shard))
      continue;
    this->visited_shard = shard;
    this->found_unsettled = false;
    this->visit_begun = now;
    return;
  }
}

// After a visit to a shard without a live owner, there may be more of them: the
// next visit begins at once.
void ShardWatch::Advance(base::Micros now, Finding finding) {
  if (!this->visited_shard) {
    if (now >= this->next_visit_at)
      this->BeginVisit(now);
    return;
  }
  const bool is_unsettled = finding == Finding::kUnsettled;
  this->found_unsettled = this->found_unsettled || finding != Finding::kRenewed;
  const base::Micros limit = is_unsettled ? kMaxVisitDuration : kVisitDuration;
  if (finding != Finding::kHeld && now < this->visit_begun + limit)
    return;
  this->visited_shard.reset();
  if (this->found_unsettled)
    this->BeginVisit(now);
}

void ShardWatch::VisitNow(base::Micros now) {
  if (!this->visited_shard)
    this->BeginVisit(now);
}

}  // namespace quartzhoist::entry
