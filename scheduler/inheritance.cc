// Takeover of placements and stops that an earlier owner recorded in a job's
// row.

#include <utility>
#include <vector>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

// A placement of an earlier owner is kept until its worker's reports show that
// the run is over, or the worker's lease has expired. A first report is not
// enough: the earlier owner may have been stopping the run.
void Scheduler::InheritRuns(Job& job, base::Micros now) {
  std::vector<std::pair<TaskPosition, jobs::Placement>> lost;
  for (const auto& [key, placement] : job.progress.placed) {
    const TaskPosition position{.occurrence = key.step.occurrence,
                                .step = key.step.step,
                                .index = key.index};
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
  for (const auto& [key, placement] : stopping) {
    const TaskPosition position{.occurrence = key.step.occurrence,
                                .step = key.step.step,
                                .index = key.index};
    Worker* worker = this->FindHolder(placement.worker);
    const bool is_known = HasTask(job, position) && worker &&
                          worker->runs.contains(IdOf(job, position));
    if (is_known)
      continue;
    const bool may_run = HasTask(job, position) && worker &&
                         MayHideRuns(*worker, this->limits.max_stop_time, now);
    if (may_run) {
      this->InheritRun(job, position, placement.run, *worker, now);
      TaskAt(job, position).has_other_run = true;
    } else {
      job.progress.stopping.erase(key);
      this->MarkChanged(job);
    }
  }
}

}  // namespace quartzhoist::scheduler
