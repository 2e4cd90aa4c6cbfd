#include "entry/shards.h"

#include <cstdint>

#include <xxhash.h>

namespace quartzhoist::entry {

namespace {

int ShardOfBox(std::string_view box, int count) {
  return static_cast<int>(XXH32(box.data(), box.size(), 0) %
                          static_cast<unsigned>(count));
}

// How many boxes of the wave each shard holds.
std::vector<int> BoxesByShard(const scheduler::Wave& wave, int count) {
  std::vector<int> boxes(static_cast<std::size_t>(count));
  for (const std::string& box : wave.boxes)
    ++boxes[static_cast<std::size_t>(ShardOfBox(box, count))];
  return boxes;
}

// What may be away at once, shared out in proportion to the boxes: the shares
// add up to the whole, and every daemon works out the same ones.
std::vector<int> FirstShares(const std::vector<int>& boxes, int most_at_once) {
  std::int64_t all = 0;
  for (const int held : boxes)
    all += held;
  std::vector<int> shares;
  std::int64_t before = 0;
  std::int64_t given = 0;
  for (const int held : boxes) {
    before += held;
    const std::int64_t up_to_here = all == 0 ? 0 : most_at_once * before / all;
    shares.push_back(static_cast<int>(up_to_here - given));
    given = up_to_here;
  }
  return shares;
}

}  // namespace

int ShardCountFor(std::size_t workers, std::size_t workers_an_owner) {
  int count = 1;
  while (count < kMostShards &&
         static_cast<std::size_t>(count) * workers_an_owner < workers)
    count *= 2;
  return count;
}

bool HoldsBox(const Shard& shard, std::string_view box) {
  return ShardOfBox(box, shard.count) == shard.number;
}

// A shard that is done leaves its share to the next one, in a ring, that is
// not. Done is final, and a share has one heir at a time: daemons that have not
// heard of the same ends still never use one share twice.
scheduler::Wave ShareOf(const scheduler::Wave& wave,
                        const Shard& shard,
                        const std::set<int>& done) {
  const std::vector<int> boxes = BoxesByShard(wave, shard.count);
  const std::vector<int> shares = FirstShares(boxes, wave.max_concurrent);
  const auto is_done = [&](int other) {
    return done.contains(other) || boxes[static_cast<std::size_t>(other)] == 0;
  };
  scheduler::Wave own = wave;
  own.boxes.clear();
  for (const std::string& box : wave.boxes) {
    if (HoldsBox(shard, box))
      own.boxes.push_back(box);
  }
  own.max_concurrent = shares[static_cast<std::size_t>(shard.number)];
  for (int back = 1; back < shard.count; ++back) {
    const int before = (shard.number - back + shard.count) % shard.count;
    if (!is_done(before))
      break;
    own.max_concurrent += shares[static_cast<std::size_t>(before)];
  }
  return own;
}

}  // namespace quartzhoist::entry
