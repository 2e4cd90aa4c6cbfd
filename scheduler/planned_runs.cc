// Runs from their placement until their start command: a run is planned, its
// placement is recorded, and only then the worker is contacted.

#include <algorithm>
#include <utility>

#include "jobs/progress_size.h"
#include "scheduler/scheduler.h"
#include "scheduler/start_constraints.h"
#include "scheduler/task_suspicion.h"

namespace quartzhoist::scheduler {

namespace {

// Upper bound on the time a start command waits to be sent. Until then the run
// counts as covered by a lease.
constexpr base::Micros kMaxCommandQueueTime = std::chrono::seconds(1);

// False if the worker's capacity has shrunk below what its current and planned
// runs take.
bool FitsItsCapacity(const Worker& worker) {
  return jobs::Fits(jobs::Resources(), worker.free_capacity());
}

}  // namespace

Run Scheduler::MakeRun(const Job& job,
                       const jobs::Step& step,
                       int number,
                       RunState state) {
  Run run{.number = number, .state = state};
  run.reserved = ReservedBy(step);
  run.quota_usage = step.task_resources;
  run.organisation_usage = &this->quotas.UsageOf(job.organisation);
  run.image = step.image;
  run.is_long_running = step.long_running;
  run.fills = step.fills;
  run.target_ms = step.target_ms;
  return run;
}

void Scheduler::PlanRun(Job& job,
                        const Assignment& choice,
                        int run_number,
                        base::Micros now) {
  const jobs::Step& step = StepOf(job, choice.position);
  Task& task = TaskAt(job, choice.position);
  Worker& worker = *choice.worker;
  JobTimings& timings = job.timings;
  if (!timings.first_placed)
    timings.first_placed = now - job.accepted_at;
  timings.longest_wait = std::max(timings.longest_wait, now - task.ready_since);
  ++timings.runs;
  task.state = TaskState::kPlaced;
  task.worker = worker.info.incarnation;
  task.run = run_number;
  task.latest_run = run_number;
  task.is_serving = false;
  StepAt(job, choice.position).advice.NoteUse();
  Run run = this->MakeRun(job, step, run_number, RunState::kPlanned);
  run.decided_at = now;
  run.suspicion = SuspicionOf(job, choice.position, now);
  RecordLastTry(job, choice.position, run_number);
  const jobs::TaskId id = IdOf(job, choice.position);
  AddRun(worker, id, std::move(run));
  this->KeepReplacedStart(job, choice.position);
  job.row.bytes += jobs::kMaxRunBytes;
  job.progress.placed[KeyOf(choice.position)] = {
      .worker = worker.info.incarnation, .run = run_number};
  this->MarkChanged(job);
  this->save_immediately = true;
  job.pending_starts.push_back(
      {.position = choice.position,
       .run = run_number,
       .change = job.change,
       .checkpoint = CheckpointFor(job, choice.position)});
}

void Scheduler::StartSavedPlacements(Job& job, base::Micros now) {
  std::vector<PendingStart> not_yet_saved;
  for (const PendingStart& start : std::exchange(job.pending_starts, {})) {
    if (start.change > job.saved_change) {
      not_yet_saved.push_back(start);
      continue;
    }
    const Task& task = TaskAt(job, start.position);
    const auto found = this->workers.find(task.worker);
    if (task.state != TaskState::kPlaced || task.run != start.run ||
        found == this->workers.end())
      continue;
    Worker& worker = found->second;
    const jobs::TaskId id = IdOf(job, start.position);
    const auto run = worker.runs.find(id);
    if (run == worker.runs.end() || run->second.state != RunState::kPlanned)
      continue;
    const bool may_take =
        this->IsUsable(worker, now) ||
        (run->second.is_long_running && this->IsOperational(worker, now) &&
         this->fleet.MayTakeWorkInWave(worker.info.box, now));
    // The worker may have begun to drain, been lost or shrunk since the task
    // was planned, or the queue may have been given to another pool.
    if (!may_take || !FitsItsCapacity(worker) ||
        !IsSuitable(worker, job, start.position)) {
      RemoveRun(worker, id);
      this->HandleLostRun(id, start.run, now);
      continue;
    }
    run->second.state = RunState::kStarting;
    run->second.decided_at = now;
    // The start command grants a lease when it is sent.
    worker.latest_lease_end =
        std::max(worker.latest_lease_end, now + kMaxCommandQueueTime);
    worker.next_poll_at = std::min(worker.next_poll_at, now);
    this->actions.emplace_back(StartRun{
        .worker = worker.info.incarnation,
        .task = id,
        .run = start.run,
        .text = job.spec.text,
        .checkpoint = start.checkpoint,
        .ticket = StepAt(job, start.position).advice.TicketFor(task.worker)});
  }
  job.pending_starts = std::move(not_yet_saved);
}

// A start waits in its worker's queue, so what it was decided on may be
// outdated when its turn comes.
bool Scheduler::IsStartStillValid(const StartRun& command,
                                  base::Micros now) const {
  const Worker* worker = this->FindWorker(command.worker);
  if (!worker || worker->info.draining || !FitsItsCapacity(*worker) ||
      !this->HasCurrentAnnouncement(*worker, now) ||
      this->fleet.IsEvacuated(worker->info.zone))
    return false;
  const auto job = this->jobs.find(command.task.job);
  const TaskPosition position = PositionOf(command.task);
  if (job == this->jobs.end() || !HasTask(job->second, position) ||
      !IsSuitable(*worker, job->second, position))
    return false;
  const auto run = worker->runs.find(command.task);
  return run != worker->runs.end() && run->second.number == command.run &&
         run->second.state == RunState::kStarting;
}

}  // namespace quartzhoist::scheduler
