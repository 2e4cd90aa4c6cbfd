// What an earlier owner had placed, or was stopping, as a job's row tells it.

#include <utility>
#include <vector>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

// What an earlier owner placed stays placed until its worker has been listed,
// or its lease is over.
void Scheduler::InheritRuns(Job& job, base::Micros now) {
  std::vector<std::pair<TaskPosition, jobs::Placement>> lost;
  for (const auto& [key, placement] : job.progress.placed) {
    const TaskPosition place{.occurrence = key.step.occurrence,
                             .step = key.step.step,
                             .index = key.index};
    if (!HasTask(job, place))
      continue;
    Task& task = TaskAt(job, place);
    if (EpochOf(placement.run) < this->limits.epoch)
      task.inherited_run = std::max(task.inherited_run, placement.run);
    if (task.state == TaskState::kDone || task.state == TaskState::kPlaced)
      continue;
    task.latest_run = std::max(task.latest_run, placement.run);
    Worker* worker = this->FindHolder(placement.worker);
    // A worker that no owner has in its list has no lease any more.
    if (!worker) {
      if (EpochOf(placement.run) < this->limits.epoch)
        lost.push_back({place, placement});
      continue;
    }
    if (worker->listed)
      continue;
    task.state = TaskState::kPlaced;
    task.run = placement.run;
    task.worker = worker->info.life;
    this->InheritRun(job, place, placement.run, *worker, now);
  }
  for (const auto& [place, placement] : lost)
    this->RecordUnobservedLoss(job, place, placement, now);
  this->InheritStops(job, now);
}

void Scheduler::InheritRun(Job& job,
                           const TaskPosition& place,
                           int number,
                           Worker& worker,
                           base::Micros now) {
  Run run =
      this->MakeRun(job, StepOf(job, place), number, RunState::kInherited);
  run.since = now;
  run.adopted = true;
  AddRun(worker, IdOf(job, place), std::move(run));
}

// What an earlier owner told to stop takes room until it has ended, though no
// listing shows it: a start was over the room of its worker by that.
void Scheduler::InheritStops(Job& job, base::Micros now) {
  const auto stopping = job.progress.stopping;
  for (const auto& [key, placement] : stopping) {
    const TaskPosition place{.occurrence = key.step.occurrence,
                             .step = key.step.step,
                             .index = key.index};
    Worker* worker = this->FindHolder(placement.worker);
    const bool is_known = HasTask(job, place) && worker &&
                          worker->runs.contains(IdOf(job, place));
    if (is_known)
      continue;
    const bool may_run = HasTask(job, place) && worker && !worker->listed;
    if (may_run) {
      this->InheritRun(job, place, placement.run, *worker, now);
    } else {
      job.progress.stopping.erase(key);
      this->MarkChanged(job);
    }
  }
}

}  // namespace quartzhoist::scheduler
