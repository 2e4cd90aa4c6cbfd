// Handling of workers' reports and of answers to starts.

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "scheduler/scheduler.h"
#include "scheduler/task_suspicion.h"

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;

// Delay of the next poll after ends were reported, so that it returns several
// ends at once. Each poll costs as much as a probe.
constexpr base::Micros kPollDelayAfterEnds = milliseconds(200);
// A poll that failed is repeated after kPollRetryDelay times the number of
// failures in a row, at most kMaxPollRetryDelay. A worker that refused a start
// for lack of capacity or an expired lease gets nothing for kPollRetryDelay.
constexpr base::Micros kPollRetryDelay = milliseconds(250);
constexpr base::Micros kMaxPollRetryDelay = milliseconds(1000);
// After this many unanswered starts in a row nothing is placed on the worker
// for kUnansweredStartsQuarantine. Where a third of all answers is lost, this
// happens now and then.
constexpr int kMaxUnansweredStarts = 3;
constexpr base::Micros kUnansweredStartsQuarantine = std::chrono::seconds(4);

// Whether a reported run takes the place of the one that is known of its task:
// that is only planned, or it is an unconfirmed placement by an earlier owner,
// which started the later run when it had found that one to be over.
bool IsSupersededBy(const Run& known, int reported) {
  return known.state == RunState::kPlanned ||
         (known.state == RunState::kInherited && known.number < reported);
}

std::string DescribePlacement(const Task& task) {
  const auto state = base::NameOf(kTaskStateNames, task.state);
  return task.state == TaskState::kPlaced
             ? fmt::format(" ({} on {} as run {})", state, task.worker.id,
                           task.run)
             : fmt::format(" ({})", state);
}

// Confirms the run if the answer's clock shows that the known incarnation,
// rather than a later one, answered the start. If the clock leaves both
// possible, the next report confirms it.
void CheckClock(Worker& worker,
                const StartRun& command,
                Run& run,
                std::int64_t clock_ms,
                base::Micros now) {
  if (worker.info.incarnation != command.worker)
    return;
  RecordContact(worker, now);
  if (clock_ms <= 0)
    return;
  const bool is_consistent =
      IsClockConsistent(worker, clock_ms, run.decided_at);
  run.is_confirmed =
      is_consistent && !MayBeLaterIncarnationsClock(worker, clock_ms, now);
  if (run.is_confirmed) {
    BoundClockLead(worker, clock_ms, run.decided_at);
    return;
  }
  worker.may_have_restarted = worker.may_have_restarted || !is_consistent;
  worker.next_poll_at = std::min(worker.next_poll_at, now);
}

void LogIgnoredEnd(std::vector<Action>& actions,
                   const Worker& worker,
                   const ReportedEnd& end) {
  const auto run = worker.runs.find(end.task);
  if (run == worker.runs.end() || run->second.number != end.run)
    return;
  actions.emplace_back(
      RunEndIgnored{.worker = worker.info.incarnation,
                    .end = end,
                    .last_end_sequence = worker.last_processed_end});
}

// Without this limit, a worker that answers polls but no starts would be given
// task after task.
void QuarantineIfStartsUnanswered(std::vector<Action>& actions,
                                  Worker& worker,
                                  base::Micros now) {
  if (++worker.consecutive_unanswered_starts < kMaxUnansweredStarts)
    return;
  worker.consecutive_unanswered_starts = 0;
  worker.quarantined_until = now + kUnansweredStartsQuarantine;
  actions.emplace_back(
      LogNote{worker.info.incarnation.id,
              fmt::format("did not answer {} starts in a row; placing nothing "
                          "on it for {:.0f} s",
                          kMaxUnansweredStarts,
                          base::Seconds(kUnansweredStartsQuarantine))});
}

}  // namespace

void Scheduler::WorkerReported(const jobs::WorkerIncarnation& asked,
                               const WorkerReport& report,
                               base::Micros now) {
  Worker* answered = this->FindResponder(asked, report.incarnation, now);
  if (!answered)
    return;
  Worker& worker = *answered;
  // 1. Record the answer: clock reading, renewed lease, acknowledged ends.
  worker.poll_in_flight = false;
  worker.earliest_lease_end =
      std::max(worker.earliest_lease_end, worker.poll_lease_end);
  worker.last_acknowledged_end =
      std::max(worker.last_acknowledged_end, worker.poll_acknowledged_end);
  worker.may_have_restarted = false;
  if (worker.failed_calls > 0)
    this->actions.emplace_back(
        LogNote{worker.info.incarnation.id, "answers again"});
  if (!worker.has_reported) {
    ++this->worker_change_count;
    this->fleet.OnBoxAnswered(worker.info.box);
    this->BoundInheritedLease(worker, report.clock_ms, now);
  }
  worker.has_reported = true;
  if (worker.first_complete_report_at == base::Micros::zero() &&
      !report.may_omit_ends)
    worker.first_complete_report_at = now;
  RecordContact(worker, now);
  worker.runs_presumed_over = false;
  worker.last_answer_at = now;
  worker.report_requested_at = worker.poll_sent_at;
  worker.clock_ms = report.clock_ms;
  worker.clock_read_at = now;
  BoundClockLead(worker, report.clock_ms, worker.poll_sent_at);
  this->ResolveLosses(worker, now);
  // 2. Ends go before runs: a task that ended may run there again.
  bool has_new_ends = false;
  for (const ReportedEnd& end : report.ended) {
    if (end.sequence <= worker.last_processed_end) {
      LogIgnoredEnd(this->actions, worker, end);
      continue;
    }
    this->ProcessRunEnd(worker, end, now);
    worker.last_processed_end = end.sequence;
    has_new_ends = true;
  }
  // 3. Reported runs.
  for (const ReportedRun& run : report.running)
    this->ProcessReportedRun(worker, run, now);
  // 4. Expected runs that are not reported.
  this->ResolveMissingRuns(worker, report, now);
  this->MigrateOffUnhealthyWorker(worker, now);
  this->ThrottleFillers(worker);
  this->AdvanceRecordedEnds(worker);
  // Ends that were not acknowledged yet are reported again at once.
  const bool has_unacknowledged_ends =
      worker.last_recorded_end > worker.last_acknowledged_end;
  worker.next_poll_at =
      has_new_ends || has_unacknowledged_ends ? now + kPollDelayAfterEnds : now;
}

void Scheduler::ProcessReportedRun(Worker& worker,
                                   const ReportedRun& reported,
                                   base::Micros now) {
  this->open_starts.MarkCarriedOut(reported.task, reported.run);
  const auto found = worker.runs.find(reported.task);
  if (found == worker.runs.end() || found->second.number != reported.run) {
    // An older run beside a newer one of the same task is only stopped. The
    // newer one's record makes a later owner wait for both.
    const bool is_known = found != worker.runs.end();
    if (is_known && !IsSupersededBy(found->second, reported.run)) {
      found->second.has_older_run = true;
      this->actions.emplace_back(StopRun{.worker = worker.info.incarnation,
                                         .task = reported.task,
                                         .run = reported.run});
      return;
    }
    if (is_known)
      this->DropSupersededRun(worker, reported.task);
    this->AdoptRun(worker, reported, now);
    return;
  }
  Run& run = found->second;
  if (run.state == RunState::kStarting || run.state == RunState::kUnsettled ||
      run.state == RunState::kInherited)
    run.state = RunState::kRunning;
  if (run.start_answered_at == base::Micros::zero())
    run.start_answered_at = now;
  run.missing_since = {};
  run.is_confirmed = true;
  run.possible_loss.reset();
  if (run.percent != reported.percent ||
      run.progress_changed_at == base::Micros::zero())
    run.progress_changed_at = now;
  run.percent = reported.percent;
  run.load = reported.load;
  this->UpdateSuspicion(worker, reported.task, run);
  Job* job = this->FindJob(reported.task.job);
  if (!job || !HasTask(*job, PositionOf(reported.task)))
    return;
  job->has_started = true;
  Task& task = TaskAt(*job, PositionOf(reported.task));
  RecordCheckpoint(*job, PositionOf(reported.task),
                   {.text = reported.checkpoint, .run = reported.run});
  // A run that is being stopped does not count as at work, even if an older
  // report shows it at 100%.
  task.is_serving = reported.percent >= 100 && run.state == RunState::kRunning;
  if (task.is_serving)
    task.last_served_at = now;
  // The run may be an earlier owner's, of a job or task that is over by now, or
  // one that an earlier owner had recorded as stopping.
  const bool is_recorded_as_stopping =
      job->progress.IsStopping(KeyOf(PositionOf(reported.task)), reported.run);
  const bool is_placed_elsewhere =
      task.state == TaskState::kPlaced &&
      !IsPlacedAs(task, worker.info.incarnation, reported.run);
  if (job->end_is_saved() || task.state == TaskState::kDone ||
      (is_recorded_as_stopping && is_placed_elsewhere))
    this->Stop(worker, reported.task, now);
}

// The task is ready again if the run was its placement.
void Scheduler::DropSupersededRun(Worker& worker, const jobs::TaskId& id) {
  Job* job = this->FindJob(id.job);
  const int number = worker.runs.at(id).number;
  if (job && job->progress.MarkStopEnded(KeyOf(PositionOf(id)), number))
    this->MarkChanged(*job);
  if (job &&
      IsPlacedAs(TaskAt(*job, PositionOf(id)), worker.info.incarnation, number))
    this->CancelPlan(*job, PositionOf(id));
  else
    RemoveRun(worker, id);
}

// Takes in a run that this owner does not expect: it was started by an earlier
// owner, or by a start that got no answer and was carried out late.
void Scheduler::AdoptRun(Worker& worker,
                         const ReportedRun& reported,
                         base::Micros now) {
  Job* job = this->FindJob(reported.task.job);
  Run run{.number = reported.run, .state = RunState::kRunning};
  run.decided_at = now;
  run.start_answered_at = now;
  run.adopted = true;
  run.is_confirmed = true;
  run.percent = reported.percent;
  run.progress_changed_at = now;
  run.load = reported.load;
  if (!job) {
    this->BufferRun(worker, reported, now);
    return;
  }
  const bool known = HasTask(*job, PositionOf(reported.task));
  if (known) {
    const jobs::Step& step = StepOf(*job, PositionOf(reported.task));
    run.reserved = step.task_resources;
    run.quota_usage = step.task_resources;
    run.organisation_usage = &this->quotas.UsageOf(job->organisation);
    run.is_long_running = step.long_running;
    run.fills = step.fills;
    run.image = step.image;
    run.target_ms = step.target_ms;
    if (step.fills)
      run.reserved.cpu_millis = 0;
  }
  // Without a matching task of the job the resource usage is unknown.
  run.has_unknown_resources = !known;
  AddRun(worker, reported.task, run);
  // A reported run implies a lease, whoever granted it.
  worker.latest_lease_end =
      std::max(worker.latest_lease_end, now + this->limits.max_grant);
  if (known) {
    Task& task = TaskAt(*job, PositionOf(reported.task));
    const auto other = this->workers.find(task.worker);
    if (task.state == TaskState::kPlaced && other != this->workers.end()) {
      const auto placed = other->second.runs.find(reported.task);
      if (placed != other->second.runs.end() &&
          IsSupersededBy(placed->second, reported.run))
        this->CancelPlan(*job, PositionOf(reported.task));
    }
    const bool wanted =
        !job->finished() &&
        (task.state == TaskState::kReady || task.state == TaskState::kBlocked ||
         task.state == TaskState::kGivenUp);
    if (wanted) {
      task.state = TaskState::kPlaced;
      task.worker = worker.info.incarnation;
      task.run = reported.run;
      task.latest_run = std::max(task.latest_run, reported.run);
      task.is_serving = reported.percent >= 100;
      if (task.is_serving)
        task.last_served_at = now;
      RecordCheckpoint(*job, PositionOf(reported.task),
                       {.text = reported.checkpoint, .run = reported.run});
      job->has_started = true;
      this->KeepReplacedStart(*job, PositionOf(reported.task));
      job->progress.placed[KeyOf(PositionOf(reported.task))] = {
          .worker = worker.info.incarnation, .run = task.run};
      this->MarkChanged(*job);
      worker.runs.at(reported.task).recorded_by = job->change;
      return;
    }
    task.has_other_run = true;
    if (job->unsaved_failure > 0)
      return;
  }
  this->actions.emplace_back(LogNote{
      reported.task.job,
      fmt::format(
          "stopping run {} of task {}.{}.{} on {}: it is not needed{}",
          reported.run, reported.task.occurrence, reported.task.step,
          reported.task.index, worker.info.incarnation.id,
          known ? DescribePlacement(TaskAt(*job, PositionOf(reported.task)))
                : std::string())});
  if (known)
    this->RecordStop(*job, worker, reported.task);
  this->Stop(worker, reported.task, now);
}

// Records a run that is not needed as stopping, unless the stored row shows
// that its task will not be started again.
void Scheduler::RecordStop(Job& job, Worker& worker, const jobs::TaskId& id) {
  const TaskPosition position = PositionOf(id);
  Run& run = worker.runs.at(id);
  const bool is_over =
      job.finished() || TaskAt(job, position).state == TaskState::kDone;
  if (is_over && job.saved_change >= job.change)
    return;
  job.progress.stopping[KeyOf(position)].insert(
      {.worker = worker.info.incarnation, .run = run.number});
  this->MarkChanged(job);
  run.recorded_by = job.change;
}

void Scheduler::ResolveMissingRuns(Worker& worker,
                                   const WorkerReport& report,
                                   base::Micros now) {
  std::set<jobs::TaskId> reported;
  for (const ReportedRun& run : report.running)
    reported.insert(run.task);
  std::vector<std::pair<jobs::TaskId, Run>> missing;
  for (auto& [task, run] : worker.runs) {
    if (reported.contains(task))
      continue;
    // The report may be older than the answer to the start or stop. An
    // inherited run cannot be started later, since the worker now refuses
    // earlier epochs.
    const bool start_settled = run.state == RunState::kRunning &&
                               run.start_answered_at < worker.poll_sent_at;
    const bool stop_settled = run.stop_answered_at > base::Micros::zero() &&
                              run.stop_answered_at < worker.poll_sent_at;
    const bool inherited = run.state == RunState::kInherited;
    if (!start_settled && !stop_settled && !inherited)
      continue;
    // A run that is being stopped keeps its resources until its end is
    // reported. A run that never started has no end, so it is dropped once it
    // has been missing for longer than a stop can take. A stop that this owner
    // does not know of, or whose answer was lost, may have been carried out
    // while the worker held the poll open.
    if (run.missing_since == base::Micros::zero()) {
      run.missing_since = stop_settled ? worker.poll_sent_at : now;
      continue;
    }
    if (worker.poll_sent_at <= run.missing_since + this->limits.max_stop_time)
      continue;
    // The run is over, but its end may be one that the report leaves out. Later
    // ends are listed once these are acknowledged, which an unconfirmed run
    // would prevent.
    if (report.may_omit_ends)
      run.is_confirmed = true;
    else
      missing.emplace_back(task, run);
  }
  for (const auto& [task, run] : missing) {
    RemoveRun(worker, task);
    Job* job = this->FindJob(task.job);
    if (run.possible_loss && job && HasTask(*job, PositionOf(task)))
      this->RecordLoss(*job, PositionOf(task), run.possible_loss->incarnation,
                       run.possible_loss->loss, now);
    this->HandleLostRun(task, run.number, now);
  }
}

// Applies what a call's outcome tells about the worker and about this
// ownership. Returns null if the incarnation is not known or over.
Worker* Scheduler::ApplyCommandOutcome(
    const jobs::WorkerIncarnation& incarnation,
    CommandOutcome outcome,
    base::Micros now) {
  Worker* found = this->FindIncarnation(incarnation);
  if (!found)
    return nullptr;
  if (outcome == CommandOutcome::kOtherIncarnation) {
    this->EndIncarnation(incarnation, LossReason::kOtherIncarnation, now);
    return nullptr;
  }
  if (outcome == CommandOutcome::kFenced)
    this->is_fenced = true;
  return found;
}

void Scheduler::PollFailed(const jobs::WorkerIncarnation& incarnation,
                           CommandOutcome outcome,
                           base::Micros now) {
  Worker* found = this->ApplyCommandOutcome(incarnation, outcome, now);
  if (!found)
    return;
  Worker& worker = *found;
  worker.poll_in_flight = false;
  if (outcome == CommandOutcome::kFenced)
    return;
  RecordFailedCall(worker, worker.poll_sent_at);
  if (worker.failed_calls == 1) {
    this->actions.emplace_back(
        LogNote{incarnation.id,
                fmt::format("does not answer ({})",
                            base::NameOf(kCommandOutcomeNames, outcome))});
  }
  worker.next_poll_at =
      now + std::min(kPollRetryDelay * worker.failed_calls, kMaxPollRetryDelay);
}

void Scheduler::StartAnswered(const StartRun& command,
                              CommandOutcome outcome,
                              base::Micros now,
                              std::int64_t clock_ms) {
  Worker* found = this->FindHolder(command.worker);
  // Another incarnation answered, so this one has not started the run.
  if (outcome == CommandOutcome::kOtherIncarnation && found) {
    const auto run = found->runs.find(command.task);
    if (run != found->runs.end() && run->second.number == command.run)
      RemoveRun(*found, command.task);
    this->HandleLostRun(command.task, command.run, now);
  }
  // Otherwise the run has moved to a later incarnation, and the answer tells
  // nothing about that one.
  if (!found || found->info.incarnation == command.worker)
    found = this->ApplyCommandOutcome(command.worker, outcome, now);
  if (!found)
    return;
  Worker& worker = *found;
  const auto entry = worker.runs.find(command.task);
  if (entry == worker.runs.end() || entry->second.number != command.run)
    return;
  Run& run = entry->second;
  Job* job = this->FindJob(command.task.job);
  if (worker.info.incarnation != command.worker)
    worker.latest_lease_end =
        std::max(worker.latest_lease_end, now + this->limits.max_lease);
  if (outcome == CommandOutcome::kDone) {
    run.start_answered_at = now;
    CheckClock(worker, command, run, clock_ms, now);
    worker.consecutive_unanswered_starts = 0;
    if (job)
      job->has_started = true;
    if (run.state == RunState::kStarting)
      run.state = RunState::kRunning;
    return;
  }
  if (outcome == CommandOutcome::kUnknown) {
    if (run.state == RunState::kStarting)
      run.state = RunState::kUnsettled;
    run.start_unsettled_at = now;
    if (!run.is_confirmed)
      this->open_starts.Record(command, now);
    RecordFailedCall(worker, run.decided_at);
    QuarantineIfStartsUnanswered(this->actions, worker, now);
    return;
  }
  // The task waits for its older run there as it would for this one.
  if (run.has_older_run) {
    run.state = RunState::kUnsettled;
    run.start_unsettled_at = now;
    return;
  }
  // The start was not carried out: free the resources and place the task again.
  const base::Micros decided_at = run.decided_at;
  RemoveRun(worker, command.task);
  if (job && HasTask(*job, PositionOf(command.task)))
    RevokeLastTry(*job, PositionOf(command.task), command.run);
  if (outcome == CommandOutcome::kNotSent)
    RecordFailedCall(worker, decided_at);
  if (outcome == CommandOutcome::kBusy)
    this->UpdateFailureRate(worker, true, now);
  if (outcome == CommandOutcome::kNoTicket && job &&
      HasTask(*job, PositionOf(command.task)))
    StepAt(*job, PositionOf(command.task)).advice.DropTicket(command.worker);
  if (outcome == CommandOutcome::kNoCapacity ||
      outcome == CommandOutcome::kLeaseExpired)
    worker.quarantined_until =
        std::max(worker.quarantined_until, now + kPollRetryDelay);
  this->HandleLostRun(command.task, command.run, now);
}

}  // namespace quartzhoist::scheduler
