// Partition of the fleet into shards. A shard is a subset of the boxes of every
// pool together with the jobs assigned to it. One daemon at a time owns it,
// under an epoch of its own. A small fleet is a single shard.

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

// Returns the smallest power of two of shards, up to kMaxShards, with at most
// `workers_per_owner` workers per shard on average.
int ShardCountFor(std::size_t workers, std::size_t workers_per_owner);

// Gives the same result in every daemon and version: a box never changes its
// shard.
bool ShardContainsBox(const Shard& shard, std::string_view box);

// Returns the shard's share of a wave: its own boxes, and how many of them may
// be away at once. `done` lists the shards that have completed their share.
scheduler::Wave WaveShareFor(const scheduler::Wave& wave,
                             const Shard& shard,
                             const std::set<int>& done);

}  // namespace quartzhoist::entry

#endif  // ENTRY_SHARDS_H_
