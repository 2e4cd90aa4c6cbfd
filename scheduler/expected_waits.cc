#include "scheduler/expected_waits.h"

#include <algorithm>
#include <optional>
#include <tuple>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

// A job waits for nothing noticeable if the free cores can do the work ahead
// within this time.
constexpr double kUnnoticedSeconds = 1.0;

// Far above the time after which any job is of no use to its caller; keeps the
// figure of a pool with hardly any cores within the range of its type.
constexpr double kMaxWaitSeconds = 3600.0;

// Shorter waits are not reported: a pass of placement and a plan of boxes take
// as long.
constexpr base::Micros kMinReportedWait = std::chrono::milliseconds(250);

// A takeover loads all jobs at once, while the workers' reports arrive one
// after the other, and the inherited jobs have just been counted against their
// organisations' rates.
constexpr base::Micros kUnknownLoadPeriod = std::chrono::seconds(1);

double CoresOf(std::int64_t cpu_millis) {
  return static_cast<double>(cpu_millis) / 1000.0;
}

// Empty if the pool has no cores for the work, now or by the plan: a box may
// come, and the wait for it is not known.
std::optional<double> RateOf(const PoolWork& pool) {
  const double cores = std::max(pool.usable_cores, pool.allocated_cores) -
                       pool.long_running_cores;
  return cores > 0.0 ? std::optional(cores) : std::nullopt;
}

// Tasks that take fewer cores than are free are placed in the next pass, and a
// new job with them, however long they run.
base::Micros WaitFor(const Work& ahead, double cores, const PoolWork& pool) {
  if (ahead.core_seconds < kUnnoticedSeconds * pool.free_cores ||
      ahead.ready_cores < pool.free_cores)
    return {};
  const double wait = std::min(kMaxWaitSeconds, ahead.core_seconds / cores);
  return base::Micros(static_cast<std::int64_t>(1e6 * wait));
}

ExpectedWait WaitOf(int priority, double cores, const PoolWork& pool) {
  Work within_rate;
  Work over_rate;
  for (const auto& [other, work] : pool.waiting) {
    if (other > priority)
      break;
    within_rate += work.on_time;
    if (other < priority)
      within_rate += work.late_or_over_rate;
    over_rate += work.on_time;
    over_rate += work.late_or_over_rate;
  }
  return {.within_rate = WaitFor(within_rate, cores, pool),
          .over_rate = WaitFor(over_rate, cores, pool)};
}

}  // namespace

// Tasks that more boxes do not help to start take no cores from others while
// they wait, and long-running ones have no end to wait for.
bool WaitsForCores(const ReadyTask& task) {
  const jobs::Step& step = StepOf(*task.job, task.position);
  const Task& waiting = TaskAt(*task.job, task.position);
  return !task.job->finished() && waiting.state == TaskState::kReady &&
         MoreBoxesMayHelp(waiting.wait_reason) && !step.long_running &&
         !step.fills;
}

std::optional<base::Micros> ComputeExpectedWait(const Work& ahead,
                                                const PoolWork& pool) {
  const std::optional<double> cores = RateOf(pool);
  return cores ? std::optional(WaitFor(ahead, *cores, pool)) : std::nullopt;
}

Work& Work::operator+=(const Work& other) {
  this->core_seconds += other.core_seconds;
  this->ready_cores += other.ready_cores;
  return *this;
}

void PoolWork::Add(int priority,
                   SchedulingClass scheduling_class,
                   const Work& work) {
  if (scheduling_class == SchedulingClass::kExpired)
    return;
  const bool follows_new_jobs = scheduling_class == SchedulingClass::kLate ||
                                scheduling_class == SchedulingClass::kOverRate;
  WaitingWork& sum = this->waiting[priority];
  (follows_new_jobs ? sum.late_or_over_rate : sum.on_time) += work;
}

std::map<std::string, ExpectedWait> ComputeExpectedWaits(
    const std::vector<jobs::Queue>& queues,
    const std::map<std::string, PoolWork>& pools) {
  std::map<std::string, ExpectedWait> waits;
  for (const jobs::Queue& queue : queues) {
    const auto pool = pools.find(queue.service);
    if (pool == pools.end())
      continue;
    if (const std::optional<double> cores = RateOf(pool->second))
      waits[queue.name] = WaitOf(queue.priority, *cores, pool->second);
  }
  return waits;
}

std::map<std::string, ExpectedWait> Scheduler::ExpectedWaits(
    base::Micros now) const {
  // 1. Capacities of the pools, and the jobs that run there.
  std::map<std::string, PoolWork> pools;
  this->AddWorkerCapacities(pools, now);
  BegunOccurrences begun = this->OccurrencesWithRuns();
  // 2. Ready tasks. The tasks of a step are mostly neighbours, and need the
  // same. Their classes are of the last placement pass, which leaves out pools
  // without usable workers, hence ClassAt().
  for (const auto& [service, tasks] : this->ready) {
    PoolWork& pool = pools[service];
    const jobs::Step* latest = nullptr;
    Work of_one;
    std::set<std::tuple<const Job*, int, int>> gangs;
    for (const ReadyTask& task : tasks) {
      const jobs::Step& step = StepOf(*task.job, task.position);
      if (!WaitsForCores(task))
        continue;
      if (&step != latest) {
        latest = &step;
        of_one = this->WorkOf(*task.job, step);
      }
      const int occurrence = task.position.occurrence;
      if (task.job->has_started || task.position.step > 0)
        begun.emplace(task.job, occurrence);
      if (!step.gang) {
        pool.Add(task.priority, task.ClassAt(now), of_one);
        continue;
      }
      // The entry of any member stands for the whole gang.
      const bool is_first =
          !IsGangWithPlacedMember(*task.job, task.position) &&
          gangs.emplace(task.job, occurrence, task.position.step).second;
      const auto members = static_cast<double>(step.tasks);
      if (is_first)
        pool.Add(task.priority, task.ClassAt(now),
                 {.core_seconds = members * of_one.core_seconds,
                  .ready_cores = members * of_one.ready_cores});
    }
  }
  // 3. What the jobs that have begun will still release.
  this->AddWorkOfBegunJobs(pools, begun, now);
  return ComputeExpectedWaits(this->config.queues, pools);
}

bool Scheduler::KnowsLoad(base::Micros now) const {
  return this->first_pass_at &&
         now - *this->first_pass_at >= kUnknownLoadPeriod;
}

std::map<std::string, ExpectedWait> Scheduler::ReportableWaits(
    base::Micros now) const {
  if (!this->KnowsLoad(now))
    return {};
  std::map<std::string, ExpectedWait> waits = this->ExpectedWaits(now);
  std::erase_if(waits, [](const auto& entry) {
    const ExpectedWait& wait = entry.second;
    return std::max(wait.within_rate, wait.over_rate) < kMinReportedWait;
  });
  return waits;
}

BegunOccurrences Scheduler::OccurrencesWithRuns() const {
  BegunOccurrences begun;
  for (const auto& [id, worker] : this->workers) {
    // Runs are sorted by job, so each job is looked up once per worker.
    const std::string* name = nullptr;
    const Job* job = nullptr;
    for (const auto& [task, run] : worker.runs) {
      if (run.is_long_running || run.fills)
        continue;
      if (!name || *name != task.job) {
        const auto found = this->jobs.find(task.job);
        job = found == this->jobs.end() ? nullptr : &found->second;
        name = &task.job;
      }
      if (job && HasTask(*job, PositionOf(task)))
        begun.emplace(job, task.occurrence);
    }
  }
  return begun;
}

void Scheduler::AddWorkerCapacities(std::map<std::string, PoolWork>& pools,
                                    base::Micros now) const {
  for (const auto& [name, cores] : this->fleet.AllocatedCores())
    pools[name].allocated_cores = cores;
  for (const auto& [id, worker] : this->workers) {
    PoolWork& pool = pools[worker.info.service];
    if (this->IsUsable(worker, now)) {
      pool.usable_cores += CoresOf(worker.info.capacity.cpu_millis);
      pool.free_cores +=
          std::max(0.0, CoresOf(worker.free_capacity().cpu_millis));
    }
    if (worker.long_running_tasks == 0)
      continue;
    for (const auto& [task, run] : worker.runs) {
      if (run.is_long_running)
        pool.long_running_cores += CoresOf(run.reserved.cpu_millis);
    }
  }
}

// The steps that follow are released in class kStarted, and are late or expired
// as soon as their job is.
void Scheduler::AddWorkOfBegunJobs(std::map<std::string, PoolWork>& pools,
                                   const BegunOccurrences& begun,
                                   base::Micros now) const {
  for (const auto& [job, number] : begun) {
    if (job->finished())
      continue;
    const Occurrence& occurrence =
        job->occurrences[static_cast<std::size_t>(number)];
    double core_seconds = 0.0;
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      const jobs::Step& step = job->spec.steps[s];
      if (!occurrence.steps[s].released && !step.long_running && !step.fills)
        core_seconds += static_cast<double>(step.tasks) *
                        this->WorkOf(*job, step).core_seconds;
    }
    if (core_seconds <= 0.0)
      continue;
    const base::Micros since =
        job->spec.repeat_count > 0 ? occurrence.due : job->accepted_at;
    const base::Micros objective = this->ObjectiveOf(*job);
    const SchedulingClass scheduling_class =
        now <= since + objective                   ? SchedulingClass::kStarted
        : now <= since + kExpiryFactor * objective ? SchedulingClass::kLate
                                                   : SchedulingClass::kExpired;
    pools[job->queue.service].Add(job->queue.priority, scheduling_class,
                                  {.core_seconds = core_seconds});
  }
}

// Work of one task of the step.
Work Scheduler::WorkOf(const Job& job, const jobs::Step& step) const {
  const double cores = CoresOf(ReservedBy(step).cpu_millis);
  return {.core_seconds = cores * base::Seconds(this->ExpectedRun(job, step)),
          .ready_cores = cores};
}

}  // namespace quartzhoist::scheduler
