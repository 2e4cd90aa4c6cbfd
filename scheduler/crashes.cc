// Crash-loop detection: finds tasks that crash their workers and stops
// starting them.
//
// When a worker is lost, every task that ran on it becomes a suspect. The loss
// is written to the job's row before the next start of the task is sent, so
// that later owners know of it. After one loss, suspects are only placed apart
// from each other; after two, a task is started alone on a worker. Three
// crashes on more than one box, one of them soon after the task was started
// alone, are unlikely to be a coincidence: the task is given up.

#include <algorithm>

#include "scheduler/scheduler.h"
#include "scheduler/task_suspicion.h"

namespace quartzhoist::scheduler {

namespace {

// True if more than one run may have caused the loss: several are suspected, or
// an earlier owner placed one and what that owner knew of it is lost.
bool HasOtherSuspects(const std::map<jobs::TaskId, Run>& runs) {
  int suspected = 0;
  for (const auto& [task, run] : runs) {
    if (run.state == RunState::kInherited)
      return true;
    suspected += run.suspicion != Suspicion::kNone;
  }
  return suspected > 1;
}

// Lower bound on how long the run has been on the worker, from the worker's
// reports. Uses the time at which the report was requested, since an owner that
// was paused may read an old report late.
base::Micros ConfirmedRunTime(const Run& run, const Worker& worker) {
  if (run.start_answered_at == base::Micros::zero())
    return {};
  return std::max(worker.report_requested_at - run.start_answered_at,
                  base::Micros::zero());
}

// True if the worker reported the run. A run placed by an earlier owner counts
// as reported unless a loss is recorded for it: that owner may have been
// replaced before it recorded the report.
bool WasReported(const Job& job,
                 const TaskPosition& position,
                 const Worker& worker,
                 const Run& run) {
  if (run.start_answered_at > base::Micros::zero())
    return true;
  const auto known = job.progress.losses.find(KeyOf(position));
  const bool is_recorded = known != job.progress.losses.end() &&
                           known->second.contains(worker.info.incarnation);
  return run.state == RunState::kInherited && !is_recorded;
}

bool HasLongRunningStep(const Job& job) {
  return std::any_of(job.spec.steps.begin(), job.spec.steps.end(),
                     [](const jobs::Step& step) { return step.long_running; });
}

}  // namespace

// Returns the loss to record for each task that may have caused it.
std::map<jobs::TaskId, jobs::WorkerLoss> Scheduler::CollectLosses(
    const Worker& worker,
    const std::map<jobs::TaskId, Run>& runs,
    LossReason reason) {
  std::map<jobs::TaskId, jobs::WorkerLoss> losses;
  const bool was_planned = reason == LossReason::kBoxReclaimed ||
                           reason == LossReason::kDeregistered ||
                           worker.info.draining;
  if (was_planned)
    return losses;
  // A worker that withdrew its announcement left on purpose; another
  // incarnation at its address afterwards doesn't indicate a crash.
  const bool has_crashed = (reason == LossReason::kOtherIncarnation ||
                            reason == LossReason::kRestarted) &&
                           !worker.has_withdrawn();
  const bool has_other_suspects = HasOtherSuspects(runs);
  for (const auto& [id, run] : runs) {
    const Job* job = this->FindJob(id.job);
    const base::Micros ran = ConfirmedRunTime(run, worker);
    // A long-running task that outlived the startup window is not a suspect,
    // and neither is a run whose start was given up and that no report showed.
    const bool has_not_begun = run.is_late_start && !run.is_confirmed;
    const bool may_be_cause =
        run.state != RunState::kPlanned && !has_not_begun &&
        !(run.is_long_running && ran >= kStartupCrashWindow);
    if (!may_be_cause || !job || !HasTask(*job, PositionOf(id)))
      continue;
    const bool was_alone =
        ran < kStartupCrashWindow &&
        (runs.size() == 1 ||
         (run.suspicion >= Suspicion::kProbe && !has_other_suspects));
    losses[id] = {
        .run = run.number,
        .box = worker.info.box,
        .has_crashed = has_crashed,
        .was_sole_suspect = was_alone,
        .start_confirmed = WasReported(*job, PositionOf(id), worker, run)};
  }
  return losses;
}

void Scheduler::RecordLoss(Job& job,
                           const TaskPosition& position,
                           const jobs::WorkerIncarnation& incarnation,
                           const jobs::WorkerLoss& loss,
                           base::Micros now) {
  if (job.finished() || TaskAt(job, position).state == TaskState::kDone)
    return;
  job.progress.MarkLost(KeyOf(position), incarnation, loss);
  TaskAt(job, position).latest_loss_at = now;
  if (loss.has_crashed)
    this->GiveUpCrashingTasks(job, now);
  else if (!loss.box.empty())
    this->unresolved_losses.Add(incarnation, loss.box, job.id);
}

// Records the loss of a worker that is no longer known, on which an earlier
// owner placed the task. That owner may have known the outcome but been
// replaced before it recorded it.
void Scheduler::RecordUnobservedLoss(Job& job,
                                     const TaskPosition& position,
                                     const jobs::Placement& placement,
                                     base::Micros now) {
  this->RecordLoss(job, position, placement.worker, {.run = placement.run},
                   now);
}

// Cancels planned starts that were decided without losses that another owner
// has stored: the save of the plan was refused and the stored row raised the
// suspicion. Returns the positions of the cancelled starts.
std::vector<TaskPosition> Scheduler::CancelSuspectPlans(
    Job& job,
    const jobs::Progress& stored,
    base::Micros now) {
  std::vector<TaskPosition> cancelled;
  const std::vector<PendingStart> pending = job.pending_starts;
  for (const PendingStart& start : pending) {
    const auto worker = this->workers.find(TaskAt(job, start.position).worker);
    if (worker == this->workers.end())
      continue;
    const auto run = worker->second.runs.find(IdOf(job, start.position));
    const bool is_outdated =
        run != worker->second.runs.end() &&
        run->second.suspicion < SuspicionOf(job, start.position, now);
    if (!is_outdated)
      continue;
    this->CancelPlan(job, start.position);
    const jobs::TaskKey key = KeyOf(start.position);
    const auto recorded = stored.placed.find(key);
    if (recorded != stored.placed.end())
      job.progress.placed[key] = recorded->second;
    else
      job.progress.placed.erase(key);
    cancelled.push_back(start.position);
  }
  return cancelled;
}

// Takes over the losses stored in the job's row.
void Scheduler::InheritLosses(Job& job, base::Micros now) {
  for (const auto& [key, losses] : job.progress.losses) {
    const TaskPosition position = PositionOf(key);
    if (!HasTask(job, position))
      continue;
    TaskAt(job, position).latest_loss_at = now;
    for (const auto& [incarnation, loss] : losses) {
      if (!loss.has_crashed && !loss.box.empty())
        this->unresolved_losses.Add(incarnation, loss.box, job.id);
    }
  }
  this->GiveUpCrashingTasks(job, now);
}

// Called when a worker answers. It has not crashed, so its unresolved losses
// are dropped; those of other incarnations on the same box are confirmed as
// crashes.
void Scheduler::ResolveLosses(const Worker& worker, base::Micros now) {
  const jobs::WorkerIncarnation& incarnation = worker.info.incarnation;
  for (const std::string& id : this->unresolved_losses.Remove(incarnation)) {
    Job* job = this->FindJob(id);
    if (!job)
      continue;
    for (auto& [task, losses] : job->progress.losses)
      losses.erase(incarnation);
    std::erase_if(job->progress.losses,
                  [](const auto& entry) { return entry.second.empty(); });
  }
  for (const jobs::WorkerIncarnation& other :
       this->unresolved_losses.OtherIncarnationsOn(worker.info.box,
                                                   incarnation)) {
    for (const std::string& id : this->unresolved_losses.Remove(other)) {
      Job* job = this->FindJob(id);
      if (!job)
        continue;
      for (auto& [task, losses] : job->progress.losses) {
        const auto found = losses.find(other);
        if (found != losses.end())
          found->second.has_crashed = true;
      }
      this->GiveUpCrashingTasks(*job, now);
    }
  }
}

// Fails a job with a task that crashes its workers. In a job with a
// long-running step only the task itself is given up: stopping all long-running
// tasks at once would exceed the number that may be away. If that task is
// placed or running, it is given up once its run has ended.
void Scheduler::GiveUpCrashingTasks(Job& job, base::Micros now) {
  if (job.finished())
    return;
  const bool keeps_running = HasLongRunningStep(job);
  for (const auto& [key, losses] : job.progress.losses) {
    const TaskPosition position = PositionOf(key);
    if (!HasTask(job, position))
      continue;
    Task& task = TaskAt(job, position);
    const bool may_start =
        task.state == TaskState::kReady || task.state == TaskState::kBlocked;
    if ((keeps_running && !may_start) || task.state == TaskState::kGivenUp ||
        SuspicionOf(job, position, now) != Suspicion::kGiveUp)
      continue;
    this->actions.emplace_back(
        TaskGivenUp{.job = job.id, .task = key, .losses = losses});
    if (keeps_running) {
      task.state = TaskState::kGivenUp;
      continue;
    }
    this->FailJob(job, key, FailureCause::kGivenUp, now);
    return;
  }
}

// Called when the worker reports the run as running. A run that has been
// running for long enough has not crashed its worker: its suspicion is cleared,
// and so are the recorded losses of a long-running task.
void Scheduler::UpdateSuspicion(Worker& worker,
                                const jobs::TaskId& id,
                                Run& run) {
  const base::Micros ran = ConfirmedRunTime(run, worker);
  if (run.suspicion != Suspicion::kNone && ran >= kSuspectWatchTime)
    ClearSuspicion(worker, run);
  if (!run.is_long_running || ran < kStartupCrashWindow)
    return;
  Job* job = this->FindJob(id.job);
  if (!job || job->progress.losses.empty())
    return;
  job->progress.losses.erase(KeyOf(PositionOf(id)));
  job->progress.last_tries.erase(KeyOf(PositionOf(id)));
}

}  // namespace quartzhoist::scheduler
