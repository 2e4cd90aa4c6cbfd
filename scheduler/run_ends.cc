// Handling of ended runs: the results for their tasks, jobs and workers.

#include <algorithm>

#include <fmt/format.h>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;

// Weight of one more end in the moving average of failures. About the last five
// ends count, so a worker that fails every run is detected after two or three.
constexpr double kFailureWeight = 0.25;
// From this failure rate on, a worker is quarantined. The few tasks that fail
// on any worker stay below it.
constexpr double kMaxFailureRate = 0.4;
constexpr base::Micros kQuarantineTime = std::chrono::seconds(4);
// Failure rate after a quarantine, at which one more failure starts another.
constexpr double kFailureRateAfterQuarantine = 0.3;
// A run whose percent has not changed for this long has stalled. Tasks take 0.8
// to 5 s, and even at an eighth of its speed a task of 5 s makes 3% in this
// time.
constexpr base::Micros kStallTimeout = milliseconds(1800);
// A run is slow if it has taken, and its remaining work will take, more than
// this many times the expected run time (for the remainder, plus kSlowSlack).
constexpr int kSlowFactor = 2;
constexpr base::Micros kSlowSlack = milliseconds(500);
// Time for which other workers are preferred to one that had a slow run.
constexpr base::Micros kSlowWorkerPenalty = std::chrono::seconds(4);
// Maximum moves of a task off its worker, since the task itself may be the
// cause.
constexpr int kMaxMoves = 2;
// Number of workers kept in a task's list of those on which it failed.
constexpr std::size_t kMaxFailedWorkers = 4;

void RecordFailedWorker(Task& task, const jobs::WorkerIncarnation& worker) {
  task.failed_on.push_back(worker);
  if (task.failed_on.size() > kMaxFailedWorkers)
    task.failed_on.erase(task.failed_on.begin());
}

// Whether the run is so slow that it would end sooner if restarted elsewhere.
bool IsSlow(const RunTimes& run_times,
            const Job& job,
            const jobs::TaskId& id,
            const Run& run,
            base::Micros now) {
  const jobs::Step& step = StepOf(job, PositionOf(id));
  if (step.long_running || run.adopted || run.percent <= 0 ||
      run.percent >= 100)
    return false;
  const base::Micros expected = run_times.Estimate(
      step.image.empty() ? job.queue.name : step.image, base::Micros::zero());
  const base::Micros elapsed = now - run.decided_at;
  if (expected <= base::Micros::zero() || elapsed < kSlowFactor * expected)
    return false;
  const base::Micros left = elapsed * (100 - run.percent) / run.percent;
  return left > kSlowFactor * expected + kSlowSlack;
}

}  // namespace

void Scheduler::ProcessRunEnd(Worker& worker,
                              const ReportedEnd& end,
                              base::Micros now) {
  this->open_starts.MarkCarriedOut(end.task, end.run);
  // 1. Free the run's resources.
  const auto run = worker.runs.find(end.task);
  const bool is_current_run =
      run != worker.runs.end() && run->second.number == end.run;
  if (is_current_run) {
    const Run ended = run->second;
    RemoveRun(worker, end.task);
    Job* job = this->FindJob(end.task.job);
    if (job && !ended.is_long_running) {
      JobTimings& timings = job->timings;
      timings.longest_run =
          std::max(timings.longest_run, now - ended.decided_at);
    }
    if (job && end.reason == RunEndReason::kSucceeded && !ended.adopted &&
        !ended.is_long_running) {
      const jobs::Step& step = StepOf(*job, PositionOf(end.task));
      this->run_times.AddSample(
          step.image.empty() ? job->queue.name : step.image,
          now - ended.decided_at);
    }
  }
  // 2. Apply the result to the task.
  Job* job = this->FindJob(end.task.job);
  if (!job) {
    this->BufferRunEnd(worker, end);
    return;
  }
  if (!HasTask(*job, PositionOf(end.task)))
    return;
  this->ApplyRunEnd(*job, worker.info.incarnation, end, now);
  // 3. Acknowledge the end once the job's row records it.
  worker.pending_ends.push_back(
      {.number = end.sequence, .job = job->id, .change = job->change});
}

void Scheduler::ApplyRunEnd(Job& job,
                            const jobs::WorkerIncarnation& worker,
                            const ReportedEnd& end,
                            base::Micros now) {
  const TaskPosition position = PositionOf(end.task);
  job.has_started = true;
  Task& task = TaskAt(job, position);
  RecordCheckpoint(job, position, {.text = end.checkpoint, .run = end.run});
  const bool is_long_running = StepOf(job, position).long_running;
  const bool done = end.reason == RunEndReason::kSucceeded && !is_long_running;
  const bool failed = end.reason == RunEndReason::kFailed;
  if (done)
    this->MarkTaskDone(job, position, now);
  else if (failed && !is_long_running)
    this->RecordTaskFailure(job, position, end.run, worker, now);
  else if (failed)
    RecordFailedWorker(task, worker);
  const auto reporter = this->workers.find(worker);
  if ((done || failed) && reporter != this->workers.end())
    this->UpdateFailureRate(reporter->second, failed, now);
  this->HandleLostRun(end.task, end.run, now);
}

void Scheduler::MarkTaskDone(Job& job,
                             const TaskPosition& position,
                             base::Micros now) {
  const jobs::StepKey key{.occurrence = position.occurrence,
                          .step = position.step};
  const jobs::Step& step = StepOf(job, position);
  StepState& step_state = StepAt(job, position);
  // The completion of one gang member completes all of them.
  const int first = step.gang ? 0 : position.index;
  const int last = step.gang ? static_cast<int>(step_state.tasks.size()) - 1
                             : position.index;
  bool has_changed = false;
  for (int i = first; i <= last; ++i) {
    Task& task = step_state.tasks[static_cast<std::size_t>(i)];
    if (task.state == TaskState::kDone)
      continue;
    has_changed = true;
    // An earlier run completed behind a network partition after another run of
    // the task had started.
    const auto other = this->workers.find(task.worker);
    if (task.state == TaskState::kPlaced && other != this->workers.end()) {
      const TaskPosition member{
          .occurrence = position.occurrence, .step = position.step, .index = i};
      this->Stop(other->second, IdOf(job, member), now);
      if (other->second.runs.contains(IdOf(job, member)))
        job.progress.stopping[KeyOf(member)].insert(
            {.worker = task.worker, .run = task.run});
    }
    task.state = TaskState::kDone;
    ++step_state.tasks_done;
    job.progress.MarkDone(key, i);
  }
  if (!has_changed || job.finished())
    return;
  this->MarkChanged(job);
  if (AreAllTasksDone(job))
    this->FinishJob(job, jobs::JobState::kCompleted, now);
  else
    this->Release(job, now);
}

void Scheduler::RecordTaskFailure(Job& job,
                                  const TaskPosition& position,
                                  int run,
                                  const jobs::WorkerIncarnation& worker,
                                  base::Micros now) {
  const jobs::Step& step = StepOf(job, position);
  Task& task = TaskAt(job, position);
  RecordFailedWorker(task, worker);
  // A gang fails as a whole; failures are counted on its first task.
  const jobs::TaskKey key{
      .step = {.occurrence = position.occurrence, .step = position.step},
      .index = step.gang ? 0 : position.index};
  job.progress.MarkFailed(key, run);
  if (job.finished())
    return;
  this->MarkChanged(job);
  const int count = job.progress.FailureCount(key);
  this->actions.emplace_back(LogNote{
      job.id, fmt::format("task {}.{}.{} run {} failed on {}, {} of {}",
                          position.occurrence, position.step, position.index,
                          run, worker.id, count, job.queue.attempts)});
  if (count >= job.queue.attempts) {
    task.state = TaskState::kFailed;
    this->FailJob(job, key, FailureCause::kAttempts, now);
  }
}

// If another worker has a run of the task, which is being stopped, makes it the
// task's placement: the task starts again once that run is over.
bool Scheduler::WaitForOtherRun(Job& job, const TaskPosition& position) {
  Task& task = TaskAt(job, position);
  if (!task.has_other_run)
    return false;
  const jobs::TaskId id = IdOf(job, position);
  for (const auto& [incarnation, worker] : this->workers) {
    const auto run = worker.runs.find(id);
    if (run == worker.runs.end())
      continue;
    task.worker = incarnation;
    task.run = run->second.number;
    task.latest_run = std::max(task.latest_run, task.run);
    this->KeepReplacedStart(job, position);
    job.progress.placed[KeyOf(position)] = {.worker = incarnation,
                                            .run = task.run};
    // A run that has not been stopped yet goes on as the task's placement.
    if (run->second.state == RunState::kRunning) {
      job.progress.MarkStopEnded(KeyOf(position), task.run);
      std::erase_if(job.pending_stops, [&](const PendingStop& stop) {
        return stop.position == position && stop.run.run == task.run;
      });
    }
    this->MarkChanged(job);
    return true;
  }
  task.has_other_run = false;
  return false;
}

void Scheduler::HandleLostRun(const jobs::TaskId& id,
                              int run,
                              base::Micros now) {
  Job* job = this->FindJob(id.job);
  if (!job || !HasTask(*job, PositionOf(id)))
    return;
  const TaskPosition position = PositionOf(id);
  if (job->progress.MarkStopEnded(KeyOf(position), run))
    this->MarkChanged(*job);
  Task& task = TaskAt(*job, position);
  if (task.state != TaskState::kPlaced || task.run != run)
    return;
  task.worker = {};
  task.is_serving = false;
  ++job->timings.lost_runs;
  if (job->finished()) {
    task.state = TaskState::kBlocked;
    return;
  }
  const bool waits = this->WaitForOtherRun(*job, position);
  if (!waits)
    task.state = TaskState::kReady;
  const jobs::Step& step = StepOf(*job, position);
  if (!step.gang) {
    if (!waits)
      this->Enqueue(*job, position, now);
    return;
  }
  // A gang is placed again as a whole, once none of its members is placed.
  StepState& step_state = StepAt(*job, position);
  bool any_placed = false;
  for (std::size_t i = 0; i < step_state.tasks.size(); ++i) {
    if (step_state.tasks[i].state != TaskState::kPlaced)
      continue;
    any_placed = true;
    const auto worker = this->workers.find(step_state.tasks[i].worker);
    const jobs::TaskId member{.job = id.job,
                              .occurrence = id.occurrence,
                              .step = id.step,
                              .index = static_cast<int>(i)};
    if (worker != this->workers.end())
      this->Stop(worker->second, member, now);
  }
  if (any_placed)
    return;
  this->Enqueue(
      *job,
      {.occurrence = position.occurrence, .step = position.step, .index = 0},
      now);
}

void Scheduler::UpdateFailureRate(Worker& worker,
                                  bool failed,
                                  base::Micros now) {
  worker.failure_rate +=
      kFailureWeight * ((failed ? 1.0 : 0.0) - worker.failure_rate);
  if (!failed || worker.failure_rate < kMaxFailureRate)
    return;
  worker.quarantined_until = now + kQuarantineTime;
  this->actions.emplace_back(LogNote{
      worker.info.incarnation.id,
      fmt::format("failed {:.0f}% of its recent runs; "
                  "placing nothing on it for {:.0f} s",
                  worker.failure_rate * 100, base::Seconds(kQuarantineTime))});
  worker.failure_rate = kFailureRateAfterQuarantine;
}

// Restarts stalled and slow runs on other workers, from their checkpoints.
void Scheduler::MigrateOffUnhealthyWorker(Worker& worker, base::Micros now) {
  std::vector<jobs::TaskId> stalled;
  std::vector<jobs::TaskId> slow;
  for (const auto& [id, run] : worker.runs) {
    const Job* job = this->FindJob(id.job);
    // A run that the last report does not show is over, though its end may not
    // be listed yet.
    const bool unseen = run.progress_changed_at == base::Micros::zero() ||
                        run.missing_since > base::Micros::zero();
    if (run.state != RunState::kRunning || unseen || run.pace < 100 || !job ||
        !HasTask(*job, PositionOf(id)) || StepOf(*job, PositionOf(id)).gang)
      continue;
    if (run.percent < 100 && now - run.progress_changed_at > kStallTimeout)
      stalled.push_back(id);
    else if (IsSlow(this->run_times, *job, id, run, now))
      slow.push_back(id);
  }
  for (const jobs::TaskId& id : stalled) {
    this->UpdateFailureRate(worker, true, now);
    this->MigrateTask(worker, id, "has stalled", now);
  }
  for (const jobs::TaskId& id : slow) {
    worker.slow_until = now + kSlowWorkerPenalty;
    this->MigrateTask(worker, id, "crawls", now);
  }
}

void Scheduler::MigrateTask(Worker& worker,
                            const jobs::TaskId& id,
                            const char* why,
                            base::Micros now) {
  Job* job = this->FindJob(id.job);
  Task& task = TaskAt(*job, PositionOf(id));
  if (task.migrations >= kMaxMoves || !this->IsRecorded(id, worker.runs.at(id)))
    return;
  ++task.migrations;
  RecordFailedWorker(task, worker.info.incarnation);
  this->actions.emplace_back(LogNote{
      id.job,
      fmt::format("task {}.{}.{} {} on {}; restarting elsewhere", id.occurrence,
                  id.step, id.index, why, worker.info.incarnation.id)});
  this->Stop(worker, id, now);
}

// Ends count as recorded in the order of their numbers, because the worker
// discards all ends up to the acknowledged number.
void Scheduler::AdvanceRecordedEnds(Worker& worker) {
  while (!worker.pending_ends.empty()) {
    const PendingEnd& end = worker.pending_ends.front();
    if (end.awaits_job)
      return;
    const Job* job = this->FindJob(end.job);
    if (job && job->saved_change < end.change)
      return;
    worker.last_recorded_end = end.number;
    worker.pending_ends.pop_front();
  }
  worker.last_recorded_end = worker.last_processed_end;
}

}  // namespace quartzhoist::scheduler
