// Stops of runs, and their repetition until they are settled.

#include <algorithm>
#include <utility>
#include <vector>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;

// A stop without an answer is sent again after this.
constexpr base::Micros kStopRetryDelay = milliseconds(600);
// The poll that settles a stop is sent this long after the stop's time limit.
constexpr base::Micros kStopPollSlack = milliseconds(20);

}  // namespace

void Scheduler::Stop(Worker& worker,
                     const jobs::TaskId& task,
                     base::Micros now) {
  const auto found = worker.runs.find(task);
  if (found == worker.runs.end())
    return;
  Run& run = found->second;
  if (run.state == RunState::kStopping)
    return;
  // No start has been sent for it.
  if (run.state == RunState::kPlanned) {
    const int number = run.number;
    RemoveRun(worker, task);
    this->HandleLostRun(task, number, now);
    return;
  }
  if (!this->IsRecorded(task, run)) {
    this->StopOnceRecorded(worker, task);
    return;
  }
  run.state = RunState::kStopping;
  run.stop_sent_at = now;
  // An earlier stop was sent for a start with an open outcome; its answer does
  // not settle this stop.
  run.stop_answered_at = {};
  this->actions.emplace_back(StopRun{
      .worker = worker.info.incarnation, .task = task, .run = run.number});
}

// Whether the stored row keeps a later owner from starting the task beside the
// run while it is being stopped: reports do not show it then. A cancellation is
// stored before this owner learns of it.
bool Scheduler::IsRecorded(const jobs::TaskId& task, const Run& run) {
  const Job* job = this->FindJob(task.job);
  return !job || job->progress.state == jobs::JobState::kCancelled ||
         run.recorded_by <= job->saved_change;
}

void Scheduler::StopOnceRecorded(const Worker& worker,
                                 const jobs::TaskId& task) {
  Job& job = *this->FindJob(task.job);
  const Run& run = worker.runs.at(task);
  const TaskPosition position = PositionOf(task);
  const bool is_pending = std::any_of(
      job.pending_stops.begin(), job.pending_stops.end(),
      [&](const PendingStop& stop) {
        return stop.position == position && stop.run.run == run.number;
      });
  if (is_pending)
    return;
  this->save_immediately = true;
  job.pending_stops.push_back(
      {.position = position,
       .run = {.worker = worker.info.incarnation, .run = run.number},
       .change = run.recorded_by});
}

void Scheduler::StopSavedRuns(Job& job, base::Micros now) {
  std::vector<PendingStop> not_yet_saved;
  for (const PendingStop& stop : std::exchange(job.pending_stops, {})) {
    if (stop.change > job.saved_change) {
      not_yet_saved.push_back(stop);
      continue;
    }
    const jobs::TaskId id = IdOf(job, stop.position);
    Worker* worker = this->FindHolder(stop.run.worker);
    if (!worker)
      continue;
    const auto run = worker->runs.find(id);
    const bool is_active =
        run != worker->runs.end() && run->second.number == stop.run.run;
    if (is_active)
      this->Stop(*worker, id, now);
  }
  job.pending_stops = std::move(not_yet_saved);
}

void Scheduler::StopAnswered(const StopRun& command,
                             CommandOutcome outcome,
                             base::Micros now) {
  Worker* found = this->ApplyCommandOutcome(command.worker, outcome, now);
  if (!found)
    return;
  Worker& worker = *found;
  const auto run = worker.runs.find(command.task);
  if (run == worker.runs.end() || run->second.number != command.run)
    return;
  const bool settled = outcome == CommandOutcome::kDone ||
                       outcome == CommandOutcome::kSuperseded;
  if (!settled)
    return;
  run->second.stop_answered_at = now;
  // The end is reported within the time limit of a stop.
  if (!worker.poll_in_flight)
    worker.next_poll_at = std::min(
        worker.next_poll_at, now + this->limits.max_stop_time + kStopPollSlack);
}

// Sends stops again that were not answered, and stops runs whose start got no
// answer.
void Scheduler::IssueDueStops(base::Micros now) {
  for (auto& [id, worker] : this->workers) {
    for (auto& [task, run] : worker.runs) {
      const bool stop_unanswered = run.state == RunState::kStopping &&
                                   run.stop_answered_at == base::Micros::zero();
      // A long-running task may be at work by now while others of its step are
      // away, so it is stopped only after a report that does not show it.
      const bool may_work = run.is_long_running && worker.report_requested_at <=
                                                       run.start_unsettled_at;
      const bool start_open = run.state == RunState::kUnsettled && !may_work &&
                              run.stop_answered_at == base::Micros::zero() &&
                              this->IsRecorded(task, run);
      if ((!stop_unanswered && !start_open) ||
          now < run.stop_sent_at + kStopRetryDelay)
        continue;
      run.stop_sent_at = now;
      this->actions.emplace_back(
          StopRun{.worker = id, .task = task, .run = run.number});
    }
  }
}

}  // namespace quartzhoist::scheduler
