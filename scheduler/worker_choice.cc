// Choice of the worker that a task starts on, among those that can take it.

#include <algorithm>
#include <map>
#include <string>

#include "scheduler/scheduler.h"
#include "scheduler/start_constraints.h"
#include "scheduler/task_suspicion.h"

namespace quartzhoist::scheduler {

namespace {

// Weights of a worker's cost for a task; the worker with the lowest sum is
// chosen. A task that failed on a worker goes elsewhere if any other worker has
// capacity.
constexpr double kFailedHereCost = 100.0;
// The task's data is on another rack, so the run takes longer.
constexpr double kOtherRackCost = 4.0;
// Each other task of the same long-running step on the rack: spreads them, so
// that losing a rack stops few of them.
constexpr double kSameStepOnRackCost = 3.0;
// Multiplied by the worker's recent failure rate.
constexpr double kFailureRateCost = 6.0;
constexpr double kPinnedBoxBonusForLongRunning = 10.0;
constexpr double kPinnedBoxBonusForOthers = 2.0;
// The worker's runs progress slowly.
constexpr double kSlowWorkerCost = 5.0;
// A run that may crash the worker is already there; prefer any other worker.
constexpr double kBesideSuspectCost = 3.0;
// Suspects are kept apart, so that a second crash tells the cause from runs
// that only shared the worker, and are placed beside few other runs, which a
// crash would lose.
constexpr double kSuspectBesideSuspectCost = 12.0;
constexpr double kRunBesideSuspectCost = 0.5;
// Multiplied by the worker's utilization (0 to 1). The fullest worker that fits
// is preferred, so that other boxes become idle and can move to pools with
// waiting work.
constexpr double kUtilizationCost = -1.0;

double Utilization(const Worker& worker) {
  const auto& has = worker.info.capacity;
  if (has.cpu_millis <= 0)
    return 1.0;
  return static_cast<double>(worker.used.cpu_millis) /
         static_cast<double>(has.cpu_millis);
}

// Number of a step's placed tasks per worker and per rack. Filled only for
// long-running steps, which are spread over racks.
class StepDistribution {
 public:
  StepDistribution(const jobs::Step& step,
                   const StepState& step_state,
                   const std::map<jobs::WorkerIncarnation, Worker>& workers) {
    if (!step.long_running)
      return;
    for (const Task& task : step_state.tasks) {
      if (task.state != TaskState::kPlaced)
        continue;
      ++this->per_worker[task.worker];
      const auto worker = workers.find(task.worker);
      if (worker != workers.end())
        ++this->per_rack[worker->second.info.rack];
    }
  }

  // Tasks on other workers of the same rack.
  int CountElsewhereOnRack(const Worker& worker) const {
    return Count(this->per_rack, worker.info.rack) -
           Count(this->per_worker, worker.info.incarnation);
  }

 private:
  template <typename Name>
  static int Count(const std::map<Name, int>& counts, const Name& name) {
    const auto found = counts.find(name);
    return found == counts.end() ? 0 : found->second;
  }

  std::map<jobs::WorkerIncarnation, int> per_worker;
  std::map<std::string, int> per_rack;
};

// Whether a worker on this box was lost while it ran the task. The box may be
// the cause, which a run on another box shows.
bool WorkerWasLostOn(const jobs::Progress& progress,
                     const TaskPosition& position,
                     const std::string& box) {
  if (progress.losses.empty())
    return false;
  const auto found = progress.losses.find(KeyOf(position));
  return found != progress.losses.end() &&
         std::any_of(
             found->second.begin(), found->second.end(),
             [&box](const auto& entry) { return entry.second.box == box; });
}

// Cost of placing the task beside the worker's runs, when one of them may crash
// the worker.
double ColocationCost(const Worker& worker, Suspicion suspicion) {
  if (suspicion == Suspicion::kNone)
    return worker.suspect_runs > 0 ? kBesideSuspectCost : 0.0;
  return kSuspectBesideSuspectCost * worker.suspect_runs +
         kRunBesideSuspectCost * static_cast<double>(worker.runs.size());
}

// Allocated on a worker for a gang's members while workers for the
// other members are being chosen.
struct GangAllocation {
  jobs::Resources resources;
  int members = 0;
  bool has_probe = false;  // one of them must start alone
};

// The part of a worker's cost that does not depend on the task.
double WorkerCost(const Worker& worker, base::Micros now) {
  double cost = kUtilizationCost * Utilization(worker) +
                kFailureRateCost * worker.failure_rate;
  if (now < worker.slow_until)
    cost += kSlowWorkerCost;
  return cost;
}

}  // namespace

// Chooses one worker for the task, or one for each member of a gang. Returns
// nothing if the task or any member fits no worker.
std::vector<Assignment> Scheduler::ChooseWorkers(
    const Job& job,
    const TaskPosition& position,
    const std::vector<Worker*>& candidates,
    base::Micros now) const {
  const jobs::Step& step = StepOf(job, position);
  const StepState& step_state = StepAt(job, position);
  const jobs::Resources takes = ReservedBy(step);
  const StepDistribution distribution(step, step_state, this->workers);
  std::vector<Assignment> choices;
  // For the gang members chosen so far.
  std::map<const Worker*, GangAllocation> allocations;
  const int first = step.gang ? 0 : position.index;
  const int last = step.gang ? static_cast<int>(step_state.tasks.size()) - 1
                             : position.index;
  for (int i = first; i <= last; ++i) {
    const Task& task = step_state.tasks[static_cast<std::size_t>(i)];
    if (task.state != TaskState::kReady)
      continue;
    const TaskPosition member{
        .occurrence = position.occurrence, .step = position.step, .index = i};
    const Suspicion suspicion = SuspicionOf(job, member, now);
    const bool must_run_alone = suspicion == Suspicion::kProbe;
    const bool waits_for_idle =
        must_run_alone && now - task.ready_since < kIdleWorkerWait;
    Worker* best = nullptr;
    double best_cost = 0.0;
    for (Worker* worker : candidates) {
      // 1. Hard constraints: capacity, label, ticket and tasks of the step per
      // worker.
      const auto found = allocations.find(worker);
      const GangAllocation allocated =
          found == allocations.end() ? GangAllocation() : found->second;
      const jobs::Resources needed =
          takes + allocated.resources +
          this->reservations.HeldFrom(job, member, *worker);
      const bool fits = jobs::Fits(needed, worker->free_capacity()) &&
                        HasRequiredLabel(*worker, step) &&
                        now >= worker->quarantined_until;
      if (!fits)
        continue;
      // Nothing starts beside a suspect's probe run, which must run alone.
      const bool conflicts_with_probe =
          worker->probe_runs > 0 || allocated.has_probe ||
          (must_run_alone && allocated.members > 0) ||
          (waits_for_idle && !worker->idle());
      if (conflicts_with_probe)
        continue;
      if (job.queue.advice.required &&
          !step_state.advice.HasTicket(worker->info.incarnation, now))
        continue;
      if (!IsBelowStepLimit(*worker, job, member, allocated.members))
        continue;
      // 2. Cost of the worker for this task.
      double cost =
          WorkerCost(*worker, now) + ColocationCost(*worker, suspicion);
      if (std::find(task.failed_on.begin(), task.failed_on.end(),
                    worker->info.incarnation) != task.failed_on.end() ||
          WorkerWasLostOn(job.progress, member, worker->info.box))
        cost += kFailedHereCost;
      if (!step.rack.empty() && worker->info.rack != step.rack)
        cost += kOtherRackCost;
      // A gang that spans several racks is slower: prefer the first member's
      // rack.
      if (step.prefers_single_rack && !choices.empty() &&
          choices.front().worker->info.rack != worker->info.rack)
        cost += kOtherRackCost;
      if (step.long_running)
        cost +=
            kSameStepOnRackCost * distribution.CountElsewhereOnRack(*worker);
      // A long-running task pins its box to the pool. Concentrate such tasks on
      // few boxes and fill these first, so that the other boxes can move.
      if (worker->long_running_tasks > 0)
        cost -= step.long_running ? kPinnedBoxBonusForLongRunning
                                  : kPinnedBoxBonusForOthers;
      if (!best || cost < best_cost) {
        best = worker;
        best_cost = cost;
      }
    }
    if (!best)
      return {};
    if (step.gang) {
      GangAllocation& allocated = allocations[best];
      allocated.resources = allocated.resources + takes;
      ++allocated.members;
      allocated.has_probe = must_run_alone;
    }
    choices.push_back({.position = member, .worker = best});
  }
  return choices;
}

}  // namespace quartzhoist::scheduler
