// Decides which shard takes a new job: the load there, as its owners last said,
// and where lasting tasks of the same pool are. Pure.

#ifndef ENTRY_SHARD_SELECTOR_H_
#define ENTRY_SHARD_SELECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "jobs/job.h"
#include "jobs/organisation.h"
#include "jobs/queue.h"

namespace quartzhoist::entry {

// How a shard stands, as its owner says with each beat.
struct ShardLoad {
  // By pool: the cores that its work takes or waits for, in percent of those
  // that the shard could give it.
  std::map<std::string, int> load_percent_by_pool;
  // Kinds of boxes that the shard has.
  std::vector<std::string> box_kinds;
};

// The shard that takes all such jobs of an organisation, where its quota is too
// small to be shared out; nothing where any shard may take them.
std::optional<int> HomeShardFor(const jobs::Organisation& organisation,
                                const jobs::JobSpec& job,
                                int shards);

class ShardSelector {
 public:
  explicit ShardSelector(std::uint64_t seed);

  // The number of one of the shards, which are at least one.
  int Select(const jobs::Config& config,
             const jobs::Queue& queue,
             const jobs::JobSpec& job,
             const std::vector<ShardLoad>& loads);

 private:
  int SelectByLoad(const std::string& pool,
                   const std::vector<ShardLoad>& loads,
                   const std::vector<int>& eligible);

  std::mt19937_64 random;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_SHARD_SELECTOR_H_
