#include "entry/shards.h"

#include <cstdint>

#include <xxhash.h>

namespace quartzhoist::entry {

namespace {

int ShardOfBox(std::string_view box, int count) {
  return static_cast<int>(XXH32(box.data(), box.size(), 0) %
                          static_cast<unsigned>(count));
}

// Returns the number of the wave's boxes in each shard.
std::vector<int> CountBoxesByShard(const scheduler::Wave& wave, int count) {
  std::vector<int> boxes(static_cast<std::size_t>(count));
  for (const std::string& box : wave.boxes)
    ++boxes[static_cast<std::size_t>(ShardOfBox(box, count))];
  return boxes;
}

// Divides the limit of boxes that may be away at once in proportion to the
// shards' boxes. The shares add up to the limit, and every daemon computes the
// same ones.
std::vector<int> InitialShares(const std::vector<int>& boxes,
                               int most_at_once) {
  std::int64_t total = 0;
  for (const int shard_boxes : boxes)
    total += shard_boxes;
  std::vector<int> shares;
  std::int64_t cumulative_boxes = 0;
  std::int64_t assigned = 0;
  for (const int shard_boxes : boxes) {
    cumulative_boxes += shard_boxes;
    const std::int64_t cumulative_share =
        total == 0 ? 0 : most_at_once * cumulative_boxes / total;
    shares.push_back(static_cast<int>(cumulative_share - assigned));
    assigned = cumulative_share;
  }
  return shares;
}

}  // namespace

int ShardCountFor(std::size_t workers, std::size_t workers_per_owner) {
  int count = 1;
  while (count < kMaxShards &&
         static_cast<std::size_t>(count) * workers_per_owner < workers)
    count *= 2;
  return count;
}

bool ShardContainsBox(const Shard& shard, std::string_view box) {
  return ShardOfBox(box, shard.count) == shard.number;
}

// The share of a completed shard passes to the next shard in ring order that is
// not complete. Completion is final and each share has one successor at a time,
// so no share is used twice even by daemons that know of different completions.
scheduler::Wave WaveShareFor(const scheduler::Wave& wave,
                             const Shard& shard,
                             const std::set<int>& done) {
  const std::vector<int> boxes = CountBoxesByShard(wave, shard.count);
  const std::vector<int> shares = InitialShares(boxes, wave.max_concurrent);
  const auto is_done = [&](int other) {
    return done.contains(other) || boxes[static_cast<std::size_t>(other)] == 0;
  };
  scheduler::Wave own = wave;
  own.boxes.clear();
  for (const std::string& box : wave.boxes) {
    if (ShardContainsBox(shard, box))
      own.boxes.push_back(box);
  }
  own.max_concurrent = shares[static_cast<std::size_t>(shard.number)];
  for (int distance = 1; distance < shard.count; ++distance) {
    const int previous = (shard.number - distance + shard.count) % shard.count;
    if (!is_done(previous))
      break;
    own.max_concurrent += shares[static_cast<std::size_t>(previous)];
  }
  return own;
}

}  // namespace quartzhoist::entry
