// How the fleet is shared out among owners. A shard is a share of the boxes of
// every pool, and the jobs that were given to it; one daemon at a time owns it,
// under an epoch of its own. A small fleet is one shard.

#ifndef ENTRY_SHARDS_H_
#define ENTRY_SHARDS_H_

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "scheduler/facts.h"

namespace quartzhoist::entry {

// One of `count` shards.
struct Shard {
  int number = 0;
  int count = 1;  // a power of two up to kMaxShards

  bool operator==(const Shard&) const = default;
};

inline constexpr int kMaxShards = 64;

// In how many shards a fleet of so many workers is scheduled, at most so many
// workers to a shard in the mean.
int ShardCountFor(std::size_t workers, std::size_t workers_per_owner);

// The same in every daemon, for good: a box does not change its shard.
bool ShardContainsBox(const Shard& shard, std::string_view box);

// The shard's share of a wave: its own boxes, and how many of them may be away.
// `done`: shards whose share of the wave is over.
scheduler::Wave WaveShareFor(const scheduler::Wave& wave,
                             const Shard& shard,
                             const std::set<int>& done);

}  // namespace quartzhoist::entry

#endif  // ENTRY_SHARDS_H_
