// Selects the shards whose owner rows a daemon reads, so that it can take them
// over. The number does not grow with the number of shards. Performs no I/O.

#ifndef ENTRY_SHARD_WATCH_H_
#define ENTRY_SHARD_WATCH_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"

namespace quartzhoist::entry {

// Up to this many shards, every daemon follows the rows of all owners through
// one feed of the owner table, which takes one call for each renewal time.
inline constexpr int kMaxFollowedShards = 4;

class ShardWatch {
 public:
  // `id` identifies the daemon; `cores` are the processor cores of its box.
  ShardWatch(const std::string& id,
             double cores,
             int shards,
             std::uint64_t seed);

  // Shards that this daemon watches all the time.
  const std::vector<int>& home() const { return this->home_shards; }
  bool IsHome(int shard) const;
  // The daemon holds this many shards. It watches more of the others then.
  void SetHeldShards(std::size_t held);

  // The shard that is visited now; nothing between two visits.
  std::optional<int> visited() const { return this->visited_shard; }
  // State of the visited shard, as far as it is known.
  enum class Finding {
    kRenewed,    // its owner is alive, as far as is known
    kUnsettled,  // it may have to be taken over
    kHeld,       // this daemon has taken it over
  };
  // Begins and ends visits as the time passes. `finding` is about the shard
  // that is visited, if any.
  void Advance(base::Micros now, Finding finding);
  // Begins a visit at once, unless one is in progress: a row of a home shard
  // cannot be read.
  void VisitNow(base::Micros now);

 private:
  void BeginVisit(base::Micros now);

  std::vector<int> ranked_shards;  // the home shards are the first of these
  std::size_t homes_without_shards = 0;
  std::vector<int> home_shards;
  std::vector<int> visit_order;  // all shards, again and again
  std::size_t next_visit = 0;    // index in visit_order
  std::optional<int> visited_shard;
  bool found_unsettled = false;  // in the current visit
  base::Micros visit_begun{};
  base::Micros next_visit_at{};
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_SHARD_WATCH_H_
