// Selects the shard for a new job by the loads that the shards' owners last
// reported and by where lasting tasks of the same pool run. Performs no I/O.

#ifndef ENTRY_SHARD_SELECTOR_H_
#define ENTRY_SHARD_SELECTOR_H_

#include <cstddef>
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

// Expected wait of a new job of a queue for its first start.
struct ReportedWait {
  int within_rate_ms = 0;  // of an organisation within its guaranteed rate
  int over_rate_ms = 0;    // of an organisation over it

  bool operator==(const ReportedWait&) const = default;
};

// Load of a shard, reported by its owner with each renewal.
struct ShardLoad {
  // By pool: cores used and queued for, in percent of the cores that the shard
  // can give to the pool.
  std::map<std::string, int> load_percent_by_pool;
  // By pool: cores that new tasks can use at once, without a box that moves.
  std::map<std::string, int> free_cores_by_pool;
  // Kinds of boxes in the shard.
  std::vector<std::string> box_kinds;
  // By queue; only queues whose jobs would wait.
  std::map<std::string, ReportedWait> waits;
  // Organisations that submit more than their guaranteed rate.
  std::vector<std::string> over_rate;
  // Nobody schedules the shard as far as the reader knows; not reported.
  bool is_stalled = false;
};

// Returns the numbers of all `count` shards.
std::vector<int> AllShards(std::size_t count);

// Returns the shard that takes all such jobs of an organisation if its quota is
// too small to be divided among the shards; nothing if any shard may take them.
std::optional<int> HomeShardFor(const jobs::Organisation& organisation,
                                const jobs::JobSpec& job,
                                int shards);

class ShardSelector {
 public:
  explicit ShardSelector(std::uint64_t seed);

  // Returns the shards among which Select() is to choose for the job, and whose
  // current loads should be known by then: a few, however many shards there
  // are. `known` has the last known load of each shard, of any age.
  std::vector<int> DrawCandidates(const jobs::Config& config,
                                  const jobs::Queue& queue,
                                  const jobs::JobSpec& job,
                                  const std::vector<ShardLoad>& known);
  // Whether the owner of one of the shards has reported cores within reach of
  // the pool.
  static bool HaveCores(const std::string& pool,
                        const std::vector<int>& shards,
                        const std::vector<ShardLoad>& loads);
  // Returns the number of the selected shard, one of `candidates`. `loads` has
  // an entry for each shard.
  int Select(const jobs::Config& config,
             const jobs::Queue& queue,
             const jobs::JobSpec& job,
             const std::vector<int>& candidates,
             const std::vector<ShardLoad>& loads);

 private:
  int SelectByLoad(const std::string& pool,
                   const std::vector<ShardLoad>& loads,
                   const std::vector<int>& eligible);

  std::mt19937_64 random;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_SHARD_SELECTOR_H_
