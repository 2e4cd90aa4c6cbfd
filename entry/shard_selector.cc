#include "entry/shard_selector.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <optional>

#include <xxhash.h>

#include "entry/admission.h"
#include "entry/shard_watch.h"
#include "scheduler/fleet.h"

namespace quartzhoist::entry {

namespace {

// Loads that differ by less count as equal: reported loads are up to 0.6 s old,
// and all daemons that read the same ones would choose the same shard.
constexpr int kMinLoadDifference = 15;  // percent
// A lasting job is not assigned to its pool's preferred shard at this load or
// above: its tasks would wait, or displace others.
constexpr int kMaxPreferredLoad = 150;  // percent
// Random shards among which a job's shard is chosen by load.
constexpr std::size_t kRandomCandidates = 2;

bool IsLasting(const jobs::JobSpec& job) {
  return std::any_of(job.steps.begin(), job.steps.end(),
                     [](const jobs::Step& step) { return step.long_running; });
}

// Returns nothing while the shard's owner has not reported the pool.
std::optional<int> ReportedLoad(const ShardLoad& load,
                                const std::string& pool) {
  const auto found = load.load_percent_by_pool.find(pool);
  return found == load.load_percent_by_pool.end()
             ? std::nullopt
             : std::optional<int>(found->second);
}

bool Contains(const std::vector<std::string>& box_kinds,
              const std::string& kind) {
  return std::find(box_kinds.begin(), box_kinds.end(), kind) != box_kinds.end();
}

// Labels of racks are in no list of kinds: each shard has boxes of all racks.
bool HasBoxKinds(const ShardLoad& load,
                 const jobs::JobSpec& job,
                 const std::vector<std::string>& all_kinds) {
  return std::all_of(
      job.steps.begin(), job.steps.end(), [&](const jobs::Step& step) {
        return step.label.empty() || !Contains(all_kinds, step.label) ||
               Contains(load.box_kinds, step.label);
      });
}

std::vector<std::string> AllKinds(const std::vector<ShardLoad>& loads) {
  std::vector<std::string> kinds;
  for (const ShardLoad& load : loads)
    kinds.insert(kinds.end(), load.box_kinds.begin(), load.box_kinds.end());
  return kinds;
}

// Returns the candidates that have the kinds of boxes the job requires, or all
// candidates if none has them.
std::vector<int> EligibleShards(const jobs::JobSpec& job,
                                const std::vector<int>& candidates,
                                const std::vector<ShardLoad>& loads) {
  const std::vector<std::string> all_kinds = AllKinds(loads);
  std::vector<int> eligible;
  for (const int shard : candidates) {
    if (HasBoxKinds(loads[static_cast<std::size_t>(shard)], job, all_kinds))
      eligible.push_back(shard);
  }
  return eligible.empty() ? candidates : eligible;
}

// A pool without cores is reported at the maximum load, like one with ten times
// the work it can do. So counts one that its owner has not reported yet.
int LoadOf(const ShardLoad& load, const std::string& pool) {
  return ReportedLoad(load, pool).value_or(scheduler::kMaxLoadPercent);
}

bool HasCores(const ShardLoad& load, const std::string& pool) {
  return LoadOf(load, pool) < scheduler::kMaxLoadPercent;
}

// Returns the shards that have cores for the pool, or all if none has.
std::vector<int> ShardsWithCores(const std::string& pool,
                                 const std::vector<int>& shards,
                                 const std::vector<ShardLoad>& loads) {
  std::vector<int> with_cores;
  for (const int shard : shards) {
    if (HasCores(loads[static_cast<std::size_t>(shard)], pool))
      with_cores.push_back(shard);
  }
  return with_cores.empty() ? shards : with_cores;
}

// Returns the shards that an owner schedules, or all if none is. A new job in a
// shard that lost its owner would wait for a takeover, which takes 1.5 s and
// more, and with a lost zone several shards are without one at once.
std::vector<int> ShardsWithOwner(const std::vector<int>& shards,
                                 const std::vector<ShardLoad>& loads) {
  std::vector<int> owned;
  for (const int shard : shards) {
    if (!loads[static_cast<std::size_t>(shard)].is_stalled)
      owned.push_back(shard);
  }
  return owned.empty() ? shards : owned;
}

// Cores of all tasks that are ready as soon as the job is accepted.
double CoresAtOnce(const jobs::JobSpec& job) {
  std::int64_t cpu_millis = 0;
  for (const jobs::Step& step : job.steps) {
    if (step.depends_on.empty() && !step.fills)
      cpu_millis += step.tasks * step.task_resources.cpu_millis;
  }
  return static_cast<double>(cpu_millis) / 1000.0;
}

// Returns the shards that can start all of the job's first tasks at once, or
// all if none can. A shard's part of a pool may be a few boxes that one job
// fills, while the others' parts are idle: its load counts boxes that would
// first have to move there.
std::vector<int> ShardsWithRoom(const std::string& pool,
                                const jobs::JobSpec& job,
                                const std::vector<int>& shards,
                                const std::vector<ShardLoad>& loads) {
  const double cores = CoresAtOnce(job);
  std::vector<int> with_room;
  for (const int shard : shards) {
    const auto& free =
        loads[static_cast<std::size_t>(shard)].free_cores_by_pool;
    const auto found = free.find(pool);
    if (found != free.end() && found->second >= cores)
      with_room.push_back(shard);
  }
  return with_room.empty() ? shards : with_room;
}

// Returns the shards in which the job would be done on time; if there are none,
// those in which it would at least be useful when done, or else all.
std::vector<int> ShardsInTime(const AdmissionRequest& request,
                              const std::vector<int>& shards,
                              const std::vector<ShardLoad>& loads) {
  std::vector<int> on_time;
  std::vector<int> useful;
  for (const int shard : shards) {
    const Timeliness timeliness =
        TimelinessIn(request, loads[static_cast<std::size_t>(shard)]);
    if (timeliness == Timeliness::kOnTime)
      on_time.push_back(shard);
    if (timeliness != Timeliness::kUseless)
      useful.push_back(shard);
  }
  if (!on_time.empty())
    return on_time;
  return useful.empty() ? shards : useful;
}

// Whether no known shard lists a label that the job requires.
bool RequiresUnknownKind(const jobs::JobSpec& job,
                         const std::vector<ShardLoad>& known) {
  const std::vector<std::string> kinds = AllKinds(known);
  return std::any_of(
      job.steps.begin(), job.steps.end(), [&](const jobs::Step& step) {
        return !step.label.empty() && !Contains(kinds, step.label);
      });
}

// Assigns the pools that run jobs to shards in the order of the pools' names,
// each to a different shard as far as there are enough.
int PreferredShard(const jobs::Config& config,
                   const std::string& pool,
                   int shards) {
  int earlier_pools = 0;
  for (const jobs::Service& service : config.services)
    earlier_pools += !service.spare && service.name < pool;
  return earlier_pools % shards;
}

// Number of jobs that an equal share of a quota must fit.
constexpr std::int64_t kMinJobsPerShare = 4;

bool ExceedsQuotaShare(std::int64_t task_amount,
                       std::int64_t tasks,
                       std::int64_t quota,
                       int shards) {
  return quota > 0 && task_amount * tasks * kMinJobsPerShare * shards > quota;
}

}  // namespace

std::vector<int> AllShards(std::size_t count) {
  std::vector<int> all(count);
  std::iota(all.begin(), all.end(), 0);
  return all;
}

// With sixteen shards, a sixteenth of a small quota fits no job: each job would
// first have to borrow from the other shards, which all write to the same row.
// In a single shard the organisation's jobs borrow only once.
std::optional<int> HomeShardFor(const jobs::Organisation& organisation,
                                const jobs::JobSpec& job,
                                int shards) {
  if (shards == 1)
    return std::nullopt;
  const jobs::Resources& quota = organisation.quota;
  const bool exceeds_share = std::any_of(
      job.steps.begin(), job.steps.end(), [&](const jobs::Step& step) {
        return ExceedsQuotaShare(step.task_resources.cpu_millis, step.tasks,
                                 quota.cpu_millis, shards) ||
               ExceedsQuotaShare(step.task_resources.memory_mb, step.tasks,
                                 quota.memory_mb, shards) ||
               ExceedsQuotaShare(step.task_resources.gpus, step.tasks,
                                 quota.gpus, shards);
      });
  // A job that requires a kind of box goes to a shard that has it.
  const bool requires_box_kind =
      std::any_of(job.steps.begin(), job.steps.end(),
                  [](const jobs::Step& step) { return !step.label.empty(); });
  if (!exceeds_share || requires_box_kind)
    return std::nullopt;
  const std::string& name = organisation.name;
  return static_cast<int>(XXH32(name.data(), name.size(), 0) %
                          static_cast<unsigned>(shards));
}

ShardSelector::ShardSelector(std::uint64_t seed) : random(seed) {}

// With few shards their loads are known anyway, and all are candidates. With
// many, a job that requires a kind of box goes to shards that are known to have
// it; a label that none lists may be a kind whose shards have not been read
// yet.
std::vector<int> ShardSelector::DrawCandidates(
    const jobs::Config& config,
    const jobs::Queue& queue,
    const jobs::JobSpec& job,
    const std::vector<ShardLoad>& known) {
  std::vector<int> all = AllShards(known.size());
  if (known.size() <= kMaxFollowedShards || RequiresUnknownKind(job, known))
    return all;
  const std::vector<int> eligible = EligibleShards(job, all, known);
  std::vector<int> candidates;
  if (IsLasting(job))
    candidates.push_back(
        PreferredShard(config, queue.service, static_cast<int>(known.size())));
  std::sample(eligible.begin(), eligible.end(), std::back_inserter(candidates),
              kRandomCandidates, this->random);
  return candidates;
}

bool ShardSelector::HaveCores(const std::string& pool,
                              const std::vector<int>& shards,
                              const std::vector<ShardLoad>& loads) {
  return std::any_of(shards.begin(), shards.end(), [&](int shard) {
    return HasCores(loads[static_cast<std::size_t>(shard)], pool);
  });
}

// Lasting tasks of a job (about 30) that must not share a box each pin one to
// their pool. Spread over four shards, such jobs pinned 243 of 540 boxes on a
// calm day, and one shard could not follow a pool's demand (waits of 10 s). In
// one shard they share the same boxes.
int ShardSelector::Select(const jobs::Config& config,
                          const jobs::Queue& queue,
                          const jobs::JobSpec& job,
                          const std::vector<int>& candidates,
                          const std::vector<ShardLoad>& loads,
                          const std::string& organisation) {
  if (loads.size() == 1)
    return 0;
  const std::string& pool = queue.service;
  const std::vector<int> capable =
      ShardsWithCores(pool, EligibleShards(job, candidates, loads), loads);
  const std::vector<int> eligible = ShardsWithOwner(capable, loads);
  if (!IsLasting(job)) {
    std::vector<int> selected = ShardsWithRoom(pool, job, eligible, loads);
    if (IsAdmissionInForce(config))
      selected =
          ShardsInTime(MakeAdmissionRequest(config, queue, job, organisation),
                       selected, loads);
    return this->SelectByLoad(pool, loads, selected);
  }
  const int preferred =
      PreferredShard(config, pool, static_cast<int>(loads.size()));
  const std::optional<int> load =
      ReportedLoad(loads[static_cast<std::size_t>(preferred)], pool);
  const bool is_eligible =
      std::find(eligible.begin(), eligible.end(), preferred) != eligible.end();
  const bool is_full = load && *load >= kMaxPreferredLoad;
  return is_eligible && !is_full ? preferred
                                 : this->SelectByLoad(pool, loads, eligible);
}

// Selects the less loaded of two random shards (power of two choices). This
// balances the queues without all daemons choosing the shard that was the least
// loaded in their outdated figures.
int ShardSelector::SelectByLoad(const std::string& pool,
                                const std::vector<ShardLoad>& loads,
                                const std::vector<int>& eligible) {
  const std::uint64_t count = eligible.size();
  if (count == 1)
    return eligible.front();
  const std::uint64_t first = this->random() % count;
  const std::uint64_t second =
      (first + 1 + this->random() % (count - 1)) % count;
  const auto load = [&](std::uint64_t at) {
    return LoadOf(loads[static_cast<std::size_t>(eligible[at])], pool);
  };
  const bool second_is_less_loaded =
      load(second) + kMinLoadDifference <= load(first);
  return eligible[second_is_less_loaded ? second : first];
}

}  // namespace quartzhoist::entry
