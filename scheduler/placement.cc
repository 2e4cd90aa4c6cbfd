// Placement: which ready task starts next, and on which worker.

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "scheduler/scheduler.h"
#include "scheduler/start_constraints.h"
#include "scheduler/task_suspicion.h"

namespace quartzhoist::scheduler {

namespace {

// After this many steps that cannot be placed the rest of the pool's queue
// waits for the next pass. This bounds a pass's duration under overload. Steps
// that take as much as one of them do not count: they cost no search.
constexpr int kMaxMissesPerPass = 24;

// A long-running task that has waited this long for capacity gets a worker
// reserved. Longer than the wait for a task that is about to end; short enough
// for it to run again within the required 6 s.
constexpr base::Micros kReserveAfter = std::chrono::milliseconds(1000);

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

// The quota needed to place a task of the step. The tasks of a gang are placed
// together, so they need it all at once.
jobs::Resources QuotaNeededBy(const jobs::Step& step) {
  if (!step.gang)
    return step.task_resources;
  return {.cpu_millis = step.task_resources.cpu_millis * step.tasks,
          .memory_mb = step.task_resources.memory_mb * step.tasks,
          .gpus = step.task_resources.gpus * step.tasks};
}

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

// A later owner may have renewed a lease that this owner sees as expired,
// unless the store has confirmed this ownership since.
bool LeaseMayHaveBeenRenewed(const Job& job,
                             const TaskPosition& position,
                             base::Micros confirmed_at) {
  const StepState& step_state = StepAt(job, position);
  const bool gang = StepOf(job, position).gang;
  for (std::size_t i = 0; i < step_state.tasks.size(); ++i) {
    const bool counts = gang || static_cast<int>(i) == position.index;
    if (counts && step_state.tasks[i].lease_expired_at > confirmed_at)
      return true;
  }
  return false;
}

}  // namespace

bool Scheduler::IsUsable(const Worker& worker, base::Micros now) const {
  return this->IsOperational(worker, now) &&
         !this->fleet.IsLeaving(worker.info.box);
}

bool Scheduler::IsOperational(const Worker& worker, base::Micros now) const {
  return worker.has_reported && worker.is_lease_recorded &&
         worker.is_announced && worker.is_described &&
         !worker.may_have_restarted && !worker.info.draining &&
         worker.failed_calls == 0 && now >= worker.quarantined_until &&
         worker.clock_ms > 0 && this->HasCurrentAnnouncement(worker, now) &&
         !this->zone_health.IsDoubtful(worker) &&
         !this->fleet.IsEvacuated(worker.info.zone);
}

bool Scheduler::HasCurrentAnnouncement(const Worker& worker,
                                       base::Micros now) const {
  return AnnouncementAge(worker, now) <= this->limits.max_announcement_age;
}

int Scheduler::NextRunNumber(const Job& job,
                             const TaskPosition& position) const {
  const StepState& step_state = StepAt(job, position);
  int newest = 0;
  // The members of a gang share the run number.
  if (StepOf(job, position).gang) {
    for (const Task& task : step_state.tasks)
      newest = std::max(newest, task.latest_run);
  } else {
    newest =
        step_state.tasks[static_cast<std::size_t>(position.index)].latest_run;
  }
  const auto first =
      static_cast<int>((this->limits.epoch - 1) * kRunsPerEpoch) + 1;
  return std::max(newest + 1, first);
}

void Scheduler::PlaceTasks(base::Micros now) {
  this->quotas.ResetRefused();
  for (auto& [service, tasks] : this->ready) {
    if (!tasks.empty())
      this->PlacePool(service, tasks, now);
  }
}

void Scheduler::PlacePool(const std::string& service,
                          ReadyTasks& tasks,
                          base::Micros now) {
  // 1. Collect the pool's usable workers.
  PlacementPass pass;
  for (auto& [id, worker] : this->workers) {
    if (worker.info.service != service || !this->IsOperational(worker, now))
      continue;
    if (!this->fleet.IsLeaving(worker.info.box))
      pass.candidates.push_back(&worker);
    else if (this->fleet.MayTakeWorkInWave(worker.info.box, now))
      pass.stalled.push_back(&worker);
  }
  this->reservations.DropObsolete(service, pass.candidates);
  if (pass.candidates.empty() && pass.stalled.empty())
    return;
  // 2. Attempt the pool's ready tasks in scheduling order.
  tasks.TryInOrder(now, [&](const ReadyTask& task) {
    return this->TryPlace(task, pass, now);
  });
}

ReadyTasks::AttemptResult Scheduler::TryPlace(const ReadyTask& task,
                                              PlacementPass& pass,
                                              base::Micros now) {
  using AttemptResult = ReadyTasks::AttemptResult;
  if (pass.misses >= kMaxMissesPerPass)
    return AttemptResult::kStop;
  Job& job = *task.job;
  // A gang is placed as a whole; it is queued again once no member is placed.
  const bool is_startable =
      !job.finished() &&
      TaskAt(job, task.position).state == TaskState::kReady &&
      !IsGangWithPlacedMember(job, task.position);
  if (!is_startable)
    return AttemptResult::kObsolete;
  const auto step = std::make_pair(&job, task.position.step);
  const auto nowhere = pass.unplaceable_steps.find(step);
  if (nowhere != pass.unplaceable_steps.end()) {
    TaskAt(job, task.position).wait_reason = nowhere->second;
    return AttemptResult::kKept;
  }
  const Suspicion suspicion = SuspicionOfStart(job, task.position, now);
  if (suspicion == Suspicion::kGiveUp) {
    this->GiveUpCrashingTasks(job, now);
    return AttemptResult::kObsolete;
  }
  // A step that no worker of the pool suits costs no search and says nothing
  // about capacity, so that it is no miss: many of them would end each pass.
  const jobs::Step& step_spec = StepOf(job, task.position);
  if (!pass.HasLabelOf(step_spec)) {
    const WaitReason unsuited = this->ReasonForNoWorker(step_spec);
    TaskAt(job, task.position).wait_reason = unsuited;
    pass.unplaceable_steps[step] = unsuited;
    return AttemptResult::kKept;
  }
  const std::optional<WaitReason> reason =
      this->PlaceTask(task, suspicion, pass, now);
  if (!reason)
    return AttemptResult::kPlaced;
  TaskAt(job, task.position).wait_reason = *reason;
  // A task that waits for quota, for an idle worker because it is a suspect, or
  // for room in its job's row, says nothing about other tasks: it neither
  // blocks its step nor counts as a miss.
  const bool blocks_only_itself = *reason == WaitReason::kQuota ||
                                  *reason == WaitReason::kSuspect ||
                                  *reason == WaitReason::kRow;
  if (blocks_only_itself)
    return AttemptResult::kKept;
  if (*reason == WaitReason::kCapacity)
    this->ReserveIfStarved(task, pass.candidates, now);
  pass.unplaceable_steps[step] = *reason;
  // Waiting for advice or for the end of an earlier lease costs no search and
  // says nothing about capacity.
  const bool is_miss = *reason == WaitReason::kCapacity ||
                       *reason == WaitReason::kNoSuitableWorker;
  if (!is_miss)
    return AttemptResult::kKept;
  const jobs::Resources takes = ReservedBy(StepOf(job, task.position));
  if (pass.IsExhausted(takes))
    return AttemptResult::kKept;
  pass.RecordIfExhausted(takes);
  ++pass.misses;
  return AttemptResult::kKept;
}

// Returns why the task was not placed, or nullopt if it was.
std::optional<WaitReason> Scheduler::PlaceTask(const ReadyTask& ready_task,
                                               Suspicion suspicion,
                                               const PlacementPass& pass,
                                               base::Micros now) {
  Job& job = *ready_task.job;
  const jobs::Step& step = StepOf(job, ready_task.position);
  if (suspicion >= Suspicion::kDeferred)
    return WaitReason::kSuspect;
  if (!this->HasRowRoom(job, ready_task.position, now))
    return WaitReason::kRow;
  if (!this->quotas.Allows(job.organisation, QuotaNeededBy(step)))
    return WaitReason::kQuota;
  if (LeaseMayHaveBeenRenewed(job, ready_task.position, this->confirmed_at))
    return WaitReason::kLease;
  const bool needs_advice = job.queue.advice.required;
  if (needs_advice &&
      !this->HasTicket(job, ready_task.position, pass.candidates, now)) {
    this->RequestAdviceFor(job, ready_task.position, pass.candidates, now);
    return WaitReason::kAdvice;
  }
  std::vector<Assignment> choices;
  if (!pass.IsExhausted(ReservedBy(step))) {
    choices =
        this->ChooseWorkers(job, ready_task.position, pass.candidates, now);
    // Workers that have not been asked for may have the room that those with a
    // ticket lack.
    if (choices.empty() && needs_advice)
      this->RequestAdviceFor(job, ready_task.position, pass.candidates, now);
  }
  // A box that a wave can't empty keeps its long-running tasks, so that another
  // one does not put the wave off any further.
  const bool may_use_stalled = suspicion == Suspicion::kNone &&
                               step.long_running && !step.gang && !needs_advice;
  if (choices.empty() && may_use_stalled)
    choices = this->ChooseWorkers(job, ready_task.position, pass.stalled, now);
  if (choices.empty() && suspicion == Suspicion::kProbe)
    return WaitReason::kSuspect;
  if (choices.empty())
    return this->ReasonForNoWorker(step);
  const int run = this->NextRunNumber(job, ready_task.position);
  for (const Assignment& choice : choices)
    this->PlanRun(job, choice, run, now);
  return std::nullopt;
}

WaitReason Scheduler::ReasonForNoWorker(const jobs::Step& step) const {
  return this->HasSuitableWorker(step) ? WaitReason::kCapacity
                                       : WaitReason::kNoSuitableWorker;
}

// Small tasks take each slot that becomes free. Without a reservation a
// long-running task that needs several slots of one worker would wait as long
// as the pool is full, although it has precedence.
void Scheduler::ReserveIfStarved(const ReadyTask& task,
                                 const std::vector<Worker*>& candidates,
                                 base::Micros now) {
  const jobs::Step& step = StepOf(*task.job, task.position);
  const Task& waiting = TaskAt(*task.job, task.position);
  const bool is_starved = step.long_running && !step.gang &&
                          !task.job->queue.advice.required &&
                          now - waiting.ready_since > kReserveAfter;
  if (is_starved)
    this->reservations.Reserve(task.job->queue.service, task, candidates);
}

// Whether a worker of any pool has the label and enough total capacity. Assumed
// true if there is a spare pool, because the capacity of boxes at rest is
// unknown.
bool Scheduler::HasSuitableWorker(const jobs::Step& step) const {
  const bool has_spare_pool =
      std::any_of(this->config.services.begin(), this->config.services.end(),
                  [](const jobs::Service& service) { return service.spare; });
  const jobs::Resources takes = ReservedBy(step);
  return has_spare_pool ||
         std::any_of(this->workers.begin(), this->workers.end(),
                     [&](const auto& entry) {
                       const Worker& worker = entry.second;
                       return HasRequiredLabel(worker, step) &&
                              jobs::Fits(takes, worker.info.capacity);
                     });
}

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
