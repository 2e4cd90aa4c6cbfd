// Takeover of placements and stops that an earlier owner recorded in a job's
// row, as it is read or as it comes with a refused save.

#include <optional>
#include <utility>
#include <vector>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

// Whether `worker` has reported the run as which the task is placed there.
bool IsReportedPlacement(const Task& task,
                         const Worker* worker,
                         const jobs::TaskId& id) {
  if (task.state != TaskState::kPlaced || !worker)
    return false;
  const auto run = worker->runs.find(id);
  return run != worker->runs.end() && run->second.number == task.run &&
         run->second.state != RunState::kPlanned &&
         run->second.state != RunState::kInherited;
}

}  // namespace

// A placement of an earlier owner is kept until its worker's reports show that
// the run is over, or the worker's lease has expired. A first report is not
// enough: the earlier owner may have been stopping the run.
void Scheduler::InheritRuns(Job& job, base::Micros now) {
  std::vector<std::pair<TaskPosition, jobs::Placement>> lost;
  for (const auto& [key, placement] : job.progress.placed) {
    const TaskPosition position = PositionOf(key);
    if (!HasTask(job, position))
      continue;
    Task& task = TaskAt(job, position);
    if (EpochOf(placement.run) < this->limits.epoch)
      task.inherited_run = std::max(task.inherited_run, placement.run);
    if (task.state == TaskState::kDone || task.state == TaskState::kPlaced)
      continue;
    task.latest_run = std::max(task.latest_run, placement.run);
    Worker* worker = this->FindHolder(placement.worker);
    // A worker that is in no owner's list of lease holders has no lease.
    if (!worker) {
      if (EpochOf(placement.run) < this->limits.epoch)
        lost.push_back({position, placement});
      continue;
    }
    const bool is_settled =
        worker->has_reported &&
        (EpochOf(placement.run) == this->limits.epoch ||
         worker->runs.contains(IdOf(job, position)) ||
         !MayHideRuns(*worker, this->limits.max_stop_time, now));
    if (is_settled)
      continue;
    task.state = TaskState::kPlaced;
    task.run = placement.run;
    task.worker = worker->info.incarnation;
    this->InheritRun(job, position, placement.run, *worker, now);
  }
  for (const auto& [position, placement] : lost)
    this->RecordUnobservedLoss(job, position, placement, now);
  this->InheritStops(job, now);
}

void Scheduler::InheritRun(Job& job,
                           const TaskPosition& position,
                           int number,
                           Worker& worker,
                           base::Micros now) {
  Run run =
      this->MakeRun(job, StepOf(job, position), number, RunState::kInherited);
  run.decided_at = now;
  run.adopted = true;
  AddRun(worker, IdOf(job, position), std::move(run));
}

// A run that an earlier owner was stopping uses resources until it ends,
// although reports do not show it. Ignoring it led to a start beyond the
// worker's capacity.
void Scheduler::InheritStops(Job& job, base::Micros now) {
  const auto stopping = job.progress.stopping;
  for (const auto& [key, placements] : stopping) {
    const TaskPosition position = PositionOf(key);
    for (const jobs::Placement& placement : placements) {
      if (this->InheritStop(job, position, placement, now))
        continue;
      job.progress.MarkStopEnded(key, placement.run);
      this->MarkChanged(job);
    }
  }
}

// Returns false if the run is over, or if its worker has another run of the
// task, for which the task waits there.
bool Scheduler::InheritStop(Job& job,
                            const TaskPosition& position,
                            const jobs::Placement& placement,
                            base::Micros now) {
  // The row names it for the case that it is carried out late.
  if (this->open_starts.Contains(IdOf(job, position), placement.run))
    return true;
  Worker* worker = this->FindHolder(placement.worker);
  if (!worker || !HasTask(job, position))
    return false;
  const auto known = worker->runs.find(IdOf(job, position));
  if (known != worker->runs.end())
    return known->second.number == placement.run;
  if (!MayHideRuns(*worker, this->limits.max_stop_time, now))
    return false;
  this->InheritRun(job, position, placement.run, *worker, now);
  TaskAt(job, position).has_other_run = true;
  this->HoldForOtherRun(job, position, now);
  return true;
}

// Makes a task that is not placed, or whose start has not been sent, wait for
// its other run. The recorded placement may be over before the row is read.
void Scheduler::HoldForOtherRun(Job& job,
                                const TaskPosition& position,
                                base::Micros now) {
  Task& task = TaskAt(job, position);
  if (job.finished())
    return;
  if (task.state == TaskState::kBlocked || task.state == TaskState::kReady) {
    task.state = TaskState::kPlaced;
    this->WaitForOtherRun(job, position);
    return;
  }
  const jobs::TaskId id = IdOf(job, position);
  Worker* placed_on = this->FindIncarnation(task.worker);
  if (task.state != TaskState::kPlaced || !placed_on)
    return;
  const auto run = placed_on->runs.find(id);
  if (run != placed_on->runs.end() && run->second.state == RunState::kPlanned)
    this->Stop(*placed_on, id, now);
}

void Scheduler::MergeStoredProgress(Job& job,
                                    const jobs::Progress& stored,
                                    base::Micros now) {
  std::vector<TaskPosition> cancelled_plans;
  for (const auto& [key, placement] : stored.placed) {
    const TaskPosition position = PositionOf(key);
    if (!HasTask(job, position))
      continue;
    const std::uint64_t epoch = EpochOf(placement.run);
    // A later owner has loaded the job and continues it.
    if (epoch > this->limits.epoch) {
      this->is_fenced = true;
      return;
    }
    const bool is_new = epoch < this->limits.epoch &&
                        placement.run > TaskAt(job, position).inherited_run;
    if (is_new && this->ApplyLatePlacement(job, position, placement, now))
      cancelled_plans.push_back(position);
    if (is_new && !this->FindHolder(placement.worker))
      this->RecordUnobservedLoss(job, position, placement, now);
  }
  const bool was_final = job.finished();
  job.progress = jobs::Merge(job.progress, stored);
  // The failure in the row is the one that is reported, also if this owner has
  // found it too.
  if (stored.state == jobs::JobState::kFailed)
    job.progress.failure_epoch = stored.failure_epoch;
  // The row names the run that its worker reports, also where the other writer
  // has placed a later one: that one is over.
  for (const auto& [key, placement] : stored.placed) {
    const TaskPosition position = PositionOf(key);
    if (!HasTask(job, position))
      continue;
    const Task& task = TaskAt(job, position);
    if (IsReportedPlacement(task, this->FindIncarnation(task.worker),
                            IdOf(job, position)))
      job.progress.placed[key] = {.worker = task.worker, .run = task.run};
  }
  for (const auto& [step, bits] : job.progress.done) {
    for (std::size_t i = 0; i < bits.size(); ++i) {
      const TaskPosition position{.occurrence = step.occurrence,
                                  .step = step.step,
                                  .index = static_cast<int>(i)};
      if (bits[i] && HasTask(job, position) &&
          TaskAt(job, position).state != TaskState::kDone)
        this->MarkTaskDone(job, position, now);
    }
  }
  if (job.finished() && !was_final)
    this->StopAllRuns(job, now);
  // The merged failures may have used up a task's attempts.
  const std::optional<jobs::TaskKey> exhausted = FindExhaustedTask(job);
  if (!job.finished() && exhausted)
    this->FailJob(job, *exhausted, FailureCause::kAttempts, now);
  this->InheritLosses(job, now);
  for (const TaskPosition& position :
       this->CancelSuspectPlans(job, stored, now))
    cancelled_plans.push_back(position);
  this->InheritRuns(job, now);
  for (const TaskPosition& position : cancelled_plans) {
    if (TaskAt(job, position).state == TaskState::kReady && !job.finished())
      this->Enqueue(job, position, now);
  }
}

// Handles a placement that an earlier owner wrote after this owner had read the
// job. Returns true if this cancels the run planned by this owner, so that the
// task is ready again.
bool Scheduler::ApplyLatePlacement(Job& job,
                                   const TaskPosition& position,
                                   const jobs::Placement& placement,
                                   base::Micros now) {
  Task& task = TaskAt(job, position);
  task.inherited_run = placement.run;
  const Worker* worker = this->FindHolder(placement.worker);
  if (!worker || task.state == TaskState::kDone)
    return false;
  // A worker that has reported under this epoch has included the run, is
  // stopping it, or will reject its start, since it comes with a lower epoch.
  const bool is_settled =
      worker->has_reported &&
      (worker->runs.contains(IdOf(job, position)) ||
       !MayHideRuns(*worker, this->limits.max_stop_time, now));
  if (is_settled)
    return false;
  if (IsReportedPlacement(task, this->FindIncarnation(task.worker),
                          IdOf(job, position))) {
    if (task.run > placement.run)
      return false;
    this->StopReplacedRun(job, position, now);
  } else {
    this->CancelPlan(job, position);
  }
  this->KeepReplacedStart(job, position);
  job.progress.placed[KeyOf(position)] = placement;
  return task.state == TaskState::kReady;
}

// Another placement takes the place of a reported run. The run goes on until
// the row that records it as stopping is saved.
void Scheduler::StopReplacedRun(Job& job,
                                const TaskPosition& position,
                                base::Micros now) {
  Task& task = TaskAt(job, position);
  Worker& worker = this->workers.at(task.worker);
  task.state = TaskState::kReady;
  task.worker = {};
  task.has_other_run = true;
  const jobs::TaskId id = IdOf(job, position);
  this->RecordStop(job, worker, id);
  this->Stop(worker, id, now);
}

}  // namespace quartzhoist::scheduler
