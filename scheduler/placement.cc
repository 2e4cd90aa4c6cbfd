// Placement: which ready task starts next, and on which worker.

#include <algorithm>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "scheduler/scheduler.h"
#include "scheduler/start_constraints.h"
#include "scheduler/task_suspicion.h"

namespace quartzhoist::scheduler {

namespace {

// A long-running task that has waited this long for capacity gets a worker
// reserved. Longer than the wait for a task that is about to end; short enough
// for it to run again within the required 6 s.
constexpr base::Micros kReserveAfter = std::chrono::milliseconds(1000);

// How long it counts as known whether any worker suits a step, while none comes
// or goes.
constexpr base::Micros kSuitableWorkerCheckPeriod = std::chrono::seconds(1);

// The quota needed to place a task of the step. The tasks of a gang are placed
// together, so they need it all at once.
jobs::Resources QuotaNeededBy(const jobs::Step& step) {
  if (!step.gang)
    return step.task_resources;
  return {.cpu_millis = step.task_resources.cpu_millis * step.tasks,
          .memory_mb = step.task_resources.memory_mb * step.tasks,
          .gpus = step.task_resources.gpus * step.tasks};
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

// Visits all workers once, whatever the number of pools.
std::unordered_map<std::string_view, PlacementPass> Scheduler::BeginPasses(
    base::Micros now) {
  ++this->placement_passes;
  std::unordered_map<std::string_view, PlacementPass> passes;
  for (const auto& [service, tasks] : this->ready) {
    if (!tasks.empty())
      passes[service].number = this->placement_passes;
  }
  for (auto& [id, worker] : this->workers) {
    const auto found = passes.find(worker.info.service);
    if (found == passes.end())
      continue;
    const bool is_operational = this->IsOperational(worker, now);
    const bool is_leaving = this->fleet.IsLeaving(worker.info.box);
    if (is_operational && !is_leaving)
      found->second.candidates.Add(&worker);
    else if (is_operational &&
             this->fleet.MayTakeWorkInWave(worker.info.box, now))
      found->second.stalled.Add(&worker);
    else
      worker.last_view = {};
  }
  return passes;
}

void Scheduler::PlaceTasks(base::Micros now) {
  this->quotas.ResetRefused();
  auto passes = this->BeginPasses(now);
  for (auto& [service, tasks] : this->ready) {
    const auto pass = passes.find(service);
    if (pass != passes.end())
      this->PlacePool(service, tasks, pass->second, now);
  }
}

void Scheduler::PlacePool(const std::string& service,
                          ReadyTasks& tasks,
                          PlacementPass& pass,
                          base::Micros now) {
  this->reservations.DropObsolete(service, pass.candidates.all());
  pass.NoteOpenedWorkers(this->reservations);
  if (pass.candidates.all().empty() && pass.stalled.all().empty())
    return;
  tasks.TryInOrder(now, [&](const ReadyTask& task) {
    return this->TryPlace(task, pass, now);
  });
  PlacementEffort& effort = this->placement_effort[service];
  effort.vain_visits += pass.visits;
  effort.spent_passes += pass.IsSpent();
}

ReadyTasks::AttemptResult Scheduler::TryPlace(const ReadyTask& task,
                                              PlacementPass& pass,
                                              base::Micros now) {
  using AttemptResult = ReadyTasks::AttemptResult;
  if (pass.IsSpent())
    return AttemptResult::kStop;
  Job& job = *task.job;
  // A gang is placed as a whole; it is queued again once no member is placed.
  const bool is_startable =
      !job.finished() &&
      TaskAt(job, task.position).state == TaskState::kReady &&
      !IsGangWithPlacedMember(job, task.position);
  if (!is_startable)
    return AttemptResult::kObsolete;
  StepSearches& searches = StepAt(job, task.position).searches;
  Task& waiting = TaskAt(job, task.position);
  if (searches.unplaced_in == pass.number) {
    waiting.wait_reason = searches.unplaced_reason;
    return AttemptResult::kKept;
  }
  const Suspicion suspicion = SuspicionOfStart(job, task.position, now);
  if (suspicion == Suspicion::kGiveUp) {
    this->GiveUpCrashingTasks(job, now);
    return AttemptResult::kObsolete;
  }
  const std::optional<WaitReason> reason =
      this->PlaceTask(task, suspicion, pass, now);
  if (!reason)
    return AttemptResult::kPlaced;
  waiting.wait_reason = *reason;
  // A task that waits for quota, for an idle worker because it is a suspect, or
  // for room in its job's row, says nothing about the others of its step.
  const bool blocks_only_itself = *reason == WaitReason::kQuota ||
                                  *reason == WaitReason::kSuspect ||
                                  *reason == WaitReason::kRow;
  if (blocks_only_itself)
    return AttemptResult::kKept;
  if (*reason == WaitReason::kCapacity)
    this->ReserveIfStarved(task, pass, now);
  searches.unplaced_in = pass.number;
  searches.unplaced_reason = *reason;
  return AttemptResult::kKept;
}

// Returns why the task was not placed, or nullopt if it was.
std::optional<WaitReason> Scheduler::PlaceTask(const ReadyTask& ready_task,
                                               Suspicion suspicion,
                                               PlacementPass& pass,
                                               base::Micros now) {
  Job& job = *ready_task.job;
  const TaskPosition& position = ready_task.position;
  const jobs::Step& step = StepOf(job, position);
  if (suspicion >= Suspicion::kDeferred)
    return WaitReason::kSuspect;
  if (!pass.HasLabelOf(step))
    return this->ReasonForNoWorker(job, position, now);
  if (!this->HasRowRoom(job, position, now))
    return WaitReason::kRow;
  if (!this->quotas.Allows(job.organisation, QuotaNeededBy(step)))
    return WaitReason::kQuota;
  if (LeaseMayHaveBeenRenewed(job, position, this->confirmed_at))
    return WaitReason::kLease;
  if (job.queue.advice.required &&
      this->CandidatesWithTickets(job, position, now).empty()) {
    this->RequestAdviceFor(job, position, pass, now);
    return WaitReason::kAdvice;
  }
  const std::vector<Assignment> choices =
      this->FindWorkers(job, position, suspicion, pass, now);
  if (choices.empty() && suspicion == Suspicion::kProbe)
    return WaitReason::kSuspect;
  if (choices.empty())
    return this->ReasonForNoWorker(job, position, now);
  const int run = this->NextRunNumber(job, position);
  for (const Assignment& choice : choices)
    this->PlanRun(job, choice, run, now);
  return std::nullopt;
}

WaitReason Scheduler::ReasonForNoWorker(Job& job,
                                        const TaskPosition& position,
                                        base::Micros now) const {
  StepSearches& searches = StepAt(job, position).searches;
  const bool is_known =
      searches.suitable_at_change == this->worker_change_count &&
      now < searches.suitable_checked_at + kSuitableWorkerCheckPeriod;
  if (!is_known) {
    searches.has_suitable = this->HasSuitableWorker(StepOf(job, position));
    searches.suitable_at_change = this->worker_change_count;
    searches.suitable_checked_at = now;
  }
  return searches.has_suitable ? WaitReason::kCapacity
                               : WaitReason::kNoSuitableWorker;
}

// Small tasks take each slot that becomes free. Without a reservation a
// long-running task that needs several slots of one worker would wait as long
// as the pool is full, although it has precedence.
void Scheduler::ReserveIfStarved(const ReadyTask& task,
                                 PlacementPass& pass,
                                 base::Micros now) {
  const jobs::Step& step = StepOf(*task.job, task.position);
  const Task& waiting = TaskAt(*task.job, task.position);
  const bool is_starved = step.long_running && !step.gang &&
                          !task.job->queue.advice.required &&
                          now - waiting.ready_since > kReserveAfter;
  if (!is_starved)
    return;
  StepSearches& searches = StepAt(*task.job, task.position).searches;
  const std::vector<Worker*> visited =
      searches.unreservable_in > 0
          ? pass.candidates.OpenedAfter(searches.unreservable_in)
          : pass.candidates.all();
  const Reservations::Outcome outcome = this->reservations.Reserve(
      task.job->queue.service, task, visited, pass.candidates.all().size());
  if (outcome != Reservations::Outcome::kNoneEligible)
    return;
  pass.visits += visited.size();
  searches.unreservable_in = pass.number;
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

}  // namespace quartzhoist::scheduler
