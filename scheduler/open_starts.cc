// Starts that got no answer and may still be carried out, also by the next
// incarnation of their worker.
//
// The earlier incarnation refuses the late start of a run that was stopped
// there; the next one does not know of the stop, so it is sent again. A run
// that is being stopped is in no report of its worker, so a later owner learns
// of it from the job's row alone: the row names the run until it can no longer
// begin.

#include "scheduler/open_starts.h"

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

// Longest delay after which a call that got no answer may still be carried out.
// The platform's documentation says seconds; 2 to 12 s were seen on the sites.
constexpr base::Micros kMaxCommandDelay = std::chrono::seconds(12);

}  // namespace

void OpenStarts::Record(const StartRun& command, base::Micros now) {
  this->by_run[{command.task, command.run}] = {.worker = command.worker.id,
                                               .until = now + kMaxCommandDelay};
}

void OpenStarts::MarkCarriedOut(const jobs::TaskId& task, int run) {
  const auto found = this->by_run.find({task, run});
  if (found != this->by_run.end())
    found->second.was_carried_out = true;
}

bool OpenStarts::Contains(const jobs::TaskId& task, int run) const {
  const auto found = this->by_run.find({task, run});
  return found != this->by_run.end() && !found->second.was_carried_out;
}

void Scheduler::KeepReplacedStart(Job& job, const TaskPosition& position) {
  const auto placed = job.progress.placed.find(KeyOf(position));
  if (placed != job.progress.placed.end() &&
      this->open_starts.Contains(IdOf(job, position), placed->second.run))
    job.progress.stopping[KeyOf(position)].insert(placed->second);
}

// Called when the worker has restarted as `next`.
void Scheduler::StopOpenStarts(Worker& next, base::Micros now) {
  for (const auto& [run, start] : this->open_starts) {
    const auto& [id, number] = run;
    if (start.worker != next.info.incarnation.id || start.was_carried_out)
      continue;
    // The earlier incarnation's unconfirmed run of the task, which is waited
    // for.
    const auto known = next.runs.find(id);
    if (known != next.runs.end() && !known->second.is_late_start)
      continue;
    this->StopOpenStart(next, id, number, now);
  }
}

// The run may be active, so it takes up resources until a report that was
// requested after the stop does not show it, and its task waits for it. Of
// several late starts of a task, the latest one stands for all.
void Scheduler::StopOpenStart(Worker& next,
                              const jobs::TaskId& id,
                              int number,
                              base::Micros now) {
  Job* job = this->FindJob(id.job);
  const TaskPosition position = PositionOf(id);
  if (!job || !HasTask(*job, position)) {
    this->actions.emplace_back(
        StopRun{.worker = next.info.incarnation, .task = id, .run = number});
    return;
  }
  Run run =
      this->MakeRun(*job, StepOf(*job, position), number, RunState::kUnsettled);
  run.decided_at = now;
  run.adopted = true;
  run.is_late_start = true;
  AddRun(next, id, std::move(run));
  TaskAt(*job, position).has_other_run = true;
  const auto placed = job->progress.placed.find(KeyOf(position));
  const bool is_named =
      job->progress.IsStopping(KeyOf(position), number) ||
      (placed != job->progress.placed.end() && placed->second.run == number);
  if (!is_named)
    this->RecordStop(*job, next, id);
  this->Stop(next, id, now);
  this->HoldForOtherRun(*job, position, now);
}

// A start that is too old to be carried out needs no record. A run that its
// worker has is named until it is over.
void Scheduler::ExpireOpenStarts(base::Micros now) {
  for (auto it = this->open_starts.begin(); it != this->open_starts.end();) {
    if (now <= it->second.until) {
      ++it;
      continue;
    }
    const auto& [id, number] = it->first;
    const Worker* worker = this->CurrentIncarnation(it->second.worker);
    const bool is_known = worker && worker->runs.contains(id) &&
                          worker->runs.at(id).number == number;
    Job* job = this->FindJob(id.job);
    if (!is_known && job && HasTask(*job, PositionOf(id)) &&
        job->progress.MarkStopEnded(KeyOf(PositionOf(id)), number))
      this->MarkChanged(*job);
    it = this->open_starts.Erase(it);
  }
}

}  // namespace quartzhoist::scheduler
