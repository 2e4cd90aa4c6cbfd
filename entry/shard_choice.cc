#include "entry/shard_choice.h"

#include <algorithm>
#include <optional>

#include <xxhash.h>

namespace quartzhoist::entry {

namespace {

// Shards whose loads differ by less are taken as equal: the figures are up to
// 0.6 s old, and all daemons that read the same ones would crowd into one.
constexpr int kClearlyLess = 15;  // percent
// A lasting job stays away from its pool's shard while that is fuller than
// this: its tasks would wait, or push others out.
constexpr int kTooFull = 150;  // percent
// Of a shard whose owner has not spoken of the pool yet: others go first.
constexpr int kUnknownLoad = 300;  // percent

bool IsLasting(const jobs::JobSpec& job) {
  return std::any_of(job.steps.begin(), job.steps.end(),
                     [](const jobs::Step& step) { return step.long_running; });
}

// Nothing while the shard's owner has not spoken of the pool.
std::optional<int> SaidLoad(const ShardLoad& load, const std::string& pool) {
  const auto found = load.pools.find(pool);
  return found == load.pools.end() ? std::nullopt
                                   : std::optional<int>(found->second);
}

bool Has(const std::vector<std::string>& kinds, const std::string& kind) {
  return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

// A rack's label stands in no list of kinds: each shard has boxes of all racks.
bool HasKinds(const ShardLoad& load,
              const jobs::JobSpec& job,
              const std::vector<std::string>& all_kinds) {
  return std::all_of(
      job.steps.begin(), job.steps.end(), [&](const jobs::Step& step) {
        return step.label.empty() || !Has(all_kinds, step.label) ||
               Has(load.kinds, step.label);
      });
}

// Shards that have the kinds of boxes which the job asks for; all, if none has.
std::vector<int> FitShards(const jobs::JobSpec& job,
                           const std::vector<ShardLoad>& loads) {
  std::vector<std::string> all_kinds;
  for (const ShardLoad& load : loads)
    all_kinds.insert(all_kinds.end(), load.kinds.begin(), load.kinds.end());
  std::vector<int> fit;
  std::vector<int> all;
  for (std::size_t shard = 0; shard < loads.size(); ++shard) {
    all.push_back(static_cast<int>(shard));
    if (HasKinds(loads[shard], job, all_kinds))
      fit.push_back(static_cast<int>(shard));
  }
  return fit.empty() ? all : fit;
}

// The pools that run jobs, each in a shard of its own as far as there are
// enough, in the order of their names.
int PreferredShard(const jobs::Config& config,
                   const std::string& pool,
                   int shards) {
  int before = 0;
  for (const jobs::Service& service : config.services)
    before += !service.spare && service.name < pool;
  return before % shards;
}

// An equal share of a quota is to hold so many jobs at least.
constexpr std::int64_t kJobsAShare = 4;

bool IsTooLarge(std::int64_t each,
                std::int64_t tasks,
                std::int64_t quota,
                int shards) {
  return quota > 0 && each * tasks * kJobsAShare * shards > quota;
}

}  // namespace

// With sixteen shards a sixteenth of a small quota holds no job: each one would
// first have to borrow from the other shards, by writes that all of them make
// to one row. Its jobs together need one shard's share, which is lent once.
std::optional<int> HomeShard(const jobs::Organisation& organisation,
                             const jobs::JobSpec& job,
                             int shards) {
  if (shards == 1)
    return std::nullopt;
  const jobs::Resources& quota = organisation.quota;
  const bool is_too_large = std::any_of(
      job.steps.begin(), job.steps.end(), [&](const jobs::Step& step) {
        return IsTooLarge(step.task_resources.cpu_millis, step.tasks,
                          quota.cpu_millis, shards) ||
               IsTooLarge(step.task_resources.memory_mb, step.tasks,
                          quota.memory_mb, shards) ||
               IsTooLarge(step.task_resources.gpus, step.tasks, quota.gpus,
                          shards);
      });
  // A job that asks for a kind of box goes where there is one.
  const bool asks_for_kind =
      std::any_of(job.steps.begin(), job.steps.end(),
                  [](const jobs::Step& step) { return !step.label.empty(); });
  if (!is_too_large || asks_for_kind)
    return std::nullopt;
  const std::string& name = organisation.name;
  return static_cast<int>(XXH32(name.data(), name.size(), 0) %
                          static_cast<unsigned>(shards));
}

ShardChoice::ShardChoice(std::uint64_t seed) : random(seed) {}

// Lasting tasks that may not share a box pin one each to their pool, some 30 of
// a job: spread over four shards they pinned 243 of 540 boxes on a calm day,
// and one shard could not follow a pool's demand (waits of 10 s). Kept together
// they share the same boxes.
int ShardChoice::Choose(const jobs::Config& config,
                        const jobs::Queue& queue,
                        const jobs::JobSpec& job,
                        const std::vector<ShardLoad>& loads) {
  if (loads.size() == 1)
    return 0;
  const std::string& pool = queue.service;
  const std::vector<int> fit = FitShards(job, loads);
  if (!IsLasting(job))
    return this->ChooseByLoad(pool, loads, fit);
  const int preferred =
      PreferredShard(config, pool, static_cast<int>(loads.size()));
  const std::optional<int> load =
      SaidLoad(loads[static_cast<std::size_t>(preferred)], pool);
  const bool is_fit = std::find(fit.begin(), fit.end(), preferred) != fit.end();
  const bool is_full = load && *load >= kTooFull;
  return is_fit && !is_full ? preferred : this->ChooseByLoad(pool, loads, fit);
}

// Of two shards drawn at random the less loaded one: what waits evens out,
// without a rush of all daemons to the one that was least loaded a moment ago.
int ShardChoice::ChooseByLoad(const std::string& pool,
                              const std::vector<ShardLoad>& loads,
                              const std::vector<int>& fit) {
  const std::uint64_t count = fit.size();
  if (count == 1)
    return fit.front();
  const std::uint64_t first = this->random() % count;
  const std::uint64_t second =
      (first + 1 + this->random() % (count - 1)) % count;
  const auto load = [&](std::uint64_t at) {
    return SaidLoad(loads[static_cast<std::size_t>(fit[at])], pool)
        .value_or(kUnknownLoad);
  };
  const bool second_is_better = load(second) + kClearlyLess <= load(first);
  return fit[second_is_better ? second : first];
}

}  // namespace quartzhoist::entry
