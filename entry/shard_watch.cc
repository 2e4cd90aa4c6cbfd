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
  const std::vector<int> ranked = RankShards(id, shards);
  const int further = static_cast<int>(cores / kCoresPerFurtherShard);
  const auto homes = std::min(ranked.begin() + 1 + further, ranked.end());
  this->home_shards.assign(ranked.begin(), homes);
  this->other_shards.assign(homes, ranked.end());
  std::mt19937_64 random(seed);
  std::shuffle(this->other_shards.begin(), this->other_shards.end(), random);
}

bool ShardWatch::IsHome(int shard) const {
  return std::find(this->home_shards.begin(), this->home_shards.end(), shard) !=
         this->home_shards.end();
}

void ShardWatch::BeginVisit(base::Micros now) {
  if (this->other_shards.empty())
    return;
  this->visited_shard = this->other_shards[this->next_visit];
  this->next_visit = (this->next_visit + 1) % this->other_shards.size();
  this->found_unsettled = false;
  this->visit_begun = now;
  this->next_visit_at = now + kVisitPeriod;
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
