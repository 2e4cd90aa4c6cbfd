#include "scheduler/scheduler.h"

#include <algorithm>
#include <utility>

#include "jobs/objective.h"

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;

// Minimum interval between saves of progress that is not final. Store calls are
// costly, so changes are batched; a run end that has not been saved is reported
// again by its worker.
constexpr base::Micros kSavePeriod = milliseconds(200);

}  // namespace

Scheduler::Scheduler(const SchedulerLimits& chosen)
    : limits(chosen),
      demand(chosen.shards),
      guaranteed_rates(chosen.shards),
      fleet(chosen.fleet) {}

// --- Configuration and workers ---

void Scheduler::SetConfig(const jobs::Config& next, base::Micros now) {
  this->config = next;
  this->quotas.SetOrganisations(next.organisations);
  this->guaranteed_rates.SetOrganisations(next.organisations);
  for (auto& [id, job] : this->jobs) {
    // A job whose queue was removed keeps the queue settings it was accepted
    // with.
    const jobs::Queue* queue = this->config.FindQueue(job.queue.name);
    if (!queue)
      continue;
    if (!(job.queue == *queue))
      ForgetSearches(job);
    job.queue = *queue;
  }
  // A queue may now belong to another service, so every ready task is requeued.
  std::map<std::string, ReadyTasks> old;
  old.swap(this->ready);
  for (const auto& [service, tasks] : old) {
    for (const ReadyTask& task : tasks) {
      Task& waiting = TaskAt(*task.job, task.position);
      if (waiting.state != TaskState::kReady)
        continue;
      const base::Micros since = waiting.ready_since;
      this->Enqueue(*task.job, task.position, now);
      // A configuration does not end the task's wait.
      waiting.ready_since = since;
    }
  }
}

void Scheduler::WorkersRecorded(
    const std::vector<jobs::WorkerIncarnation>& incarnations) {
  for (const jobs::WorkerIncarnation& incarnation : incarnations) {
    if (Worker* worker = this->FindIncarnation(incarnation))
      worker->is_lease_recorded = true;
  }
}

void Scheduler::OwnershipConfirmed(base::Micros at, base::Micros until) {
  this->confirmed_at = std::max(this->confirmed_at, at);
  this->ownership_until = std::max(this->ownership_until, until);
}

// --- Jobs ---

Job* Scheduler::FindJob(const std::string& id) {
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : &found->second;
}

void Scheduler::AddJob(Job&& added, base::Micros now) {
  const auto [entry, is_new] =
      this->jobs.try_emplace(added.id, std::move(added));
  if (!is_new)
    return;
  Job& job = entry->second;
  if (const jobs::Queue* queue = this->config.FindQueue(job.queue.name))
    job.queue = *queue;
  if (job.finished()) {
    this->InheritRuns(job, now);
    this->ApplyBufferedReports(job, now);
    return;
  }
  this->stalled_tasks.Watch(job);
  job.is_over_rate = !this->guaranteed_rates.Consume(job.organisation, now);
  if (job.spec.repeat_count > 0)
    this->repeating_jobs.insert(job.id);
  double core_seconds = 0.0;
  for (const jobs::Step& step : job.spec.steps) {
    if (step.long_running || step.fills)
      continue;
    core_seconds +=
        static_cast<double>(step.tasks * step.task_resources.cpu_millis) /
        1000.0 * base::Seconds(this->ExpectedRun(job, step));
  }
  // A job that is read at a takeover arrived earlier.
  this->demand.RecordArrival(job.queue.name, core_seconds,
                             std::min(job.accepted_at, now));
  this->InheritLosses(job, now);
  this->InheritRuns(job, now);
  this->ApplyBufferedReports(job, now);
  this->Release(job, now);
}

void Scheduler::CancelJob(const std::string& id, base::Micros now) {
  Job* job = this->FindJob(id);
  if (!job || job->finished() || job->cancelled)
    return;
  job->cancelled = true;
  this->actions.emplace_back(LogNote{id, "cancelled by the caller"});
  this->FinishJob(*job, jobs::JobState::kCancelled, now);
}

void Scheduler::Release(Job& job, base::Micros now) {
  for (const TaskPosition& position : ReleaseSteps(job, now))
    this->Enqueue(job, position, now);
}

void Scheduler::ReleaseDueRepeats(base::Micros now) {
  for (auto it = this->repeating_jobs.begin();
       it != this->repeating_jobs.end();) {
    Job* job = this->FindJob(*it);
    if (!job || job->finished()) {
      it = this->repeating_jobs.erase(it);
      continue;
    }
    this->Release(*job, now);
    ++it;
  }
}

base::Micros Scheduler::ExpectedRun(const Job& job,
                                    const jobs::Step& step) const {
  const std::string& kind = step.image.empty() ? job.queue.name : step.image;
  return this->run_times.Estimate(kind, milliseconds(step.estimate_ms));
}

// By the run times known here, not by the caller's estimates.
base::Micros Scheduler::LongestChain(const Job& job, std::size_t from) const {
  return jobs::LongestChain(job.spec.steps, from,
                            [this, &job](const jobs::Step& step) {
                              return this->ExpectedRun(job, step);
                            });
}

base::Micros Scheduler::ObjectiveOf(const Job& job) const {
  return jobs::ObjectiveFor(job.queue,
                            this->LongestChain(job, job.spec.steps.size()));
}

void Scheduler::Enqueue(Job& job,
                        const TaskPosition& position,
                        base::Micros now) {
  if (!job.progress.losses.empty())
    this->GiveUpCrashingTasks(job, now);
  Task& task = TaskAt(job, position);
  if (job.finished() || task.state == TaskState::kGivenUp)
    return;
  task.ready_since = now;
  task.wait_reason = WaitReason::kCapacity;
  const bool repeats = job.spec.repeat_count > 0;
  const auto k = static_cast<std::size_t>(position.occurrence);
  const base::Micros since = repeats ? job.occurrences[k].due : job.accepted_at;
  const base::Micros objective = this->ObjectiveOf(job);
  const base::Micros left =
      this->LongestChain(job, static_cast<std::size_t>(position.step));
  const bool is_long_running = StepOf(job, position).long_running;
  const bool has_run = task.latest_run > 0;
  const bool begun = job.has_started || position.step > 0;
  this->ready[job.queue.service].Insert(
      {.priority = job.queue.priority,
       .scheduling_class = is_long_running && has_run
                               ? SchedulingClass::kInterrupted
                           : is_long_running  ? SchedulingClass::kLongRunning
                           : begun            ? SchedulingClass::kStarted
                           : job.is_over_rate ? SchedulingClass::kOverRate
                                              : SchedulingClass::kNotStarted,
       .soft_deadline = is_long_running ? now : since + objective - left,
       .useful_deadline = since + kUsefulnessFactor * objective -
                          kSlowestTaskPercent * left / 100,
       .firm_deadline = since + kExpiryFactor * objective - left,
       .sequence = ++this->last_ready_number,
       .job = &job,
       .position = position});
}

void Scheduler::MarkChanged(Job& job) {
  ++job.change;
  this->jobs_to_save.insert(job.id);
}

void Scheduler::FinishJob(Job& job, jobs::JobState state, base::Micros now) {
  job.progress.state = state;
  this->MarkChanged(job);
  this->save_immediately = true;
  // Runs are stopped only after the failure has been saved. Otherwise a later
  // owner that does not see the failure would treat a task whose run is being
  // stopped as unassigned and start it a second time beside that run.
  if (state == jobs::JobState::kFailed)
    job.unsaved_failure = job.change;
  else
    this->StopAllRuns(job, now);
  this->actions.emplace_back(JobFinished{.job = job.id,
                                         .queue = job.queue.name,
                                         .state = state,
                                         .duration = now - job.accepted_at,
                                         .objective = this->ObjectiveOf(job),
                                         .timings = job.timings});
}

void Scheduler::FailJob(Job& job,
                        const jobs::TaskKey& task,
                        FailureCause cause,
                        base::Micros now) {
  job.progress.failure_epoch = this->limits.epoch;
  job.unreported_failure = {.task = task, .cause = cause};
  this->FinishJob(job, jobs::JobState::kFailed, now);
}

// A failure is reported by the owner whose write put it into the job's row, so
// that owners which find the same failure report it once. An owner that is
// replaced before its write leaves the report to its successor.
void Scheduler::ReportSavedFailure(Job& job) {
  if (!job.unreported_failure)
    return;
  if (job.progress.state == jobs::JobState::kFailed &&
      job.progress.failure_epoch == this->limits.epoch) {
    this->actions.emplace_back(
        JobFailed{.job = job.id,
                  .queue = job.queue.name,
                  .task = job.unreported_failure->task,
                  .cause = job.unreported_failure->cause});
  }
  job.unreported_failure.reset();
}

void Scheduler::StopAllRuns(Job& job, base::Micros now) {
  for (std::size_t k = 0; k < job.occurrences.size(); ++k) {
    for (std::size_t s = 0; s < job.occurrences[k].steps.size(); ++s) {
      StepState& step_state = job.occurrences[k].steps[s];
      for (std::size_t i = 0; i < step_state.tasks.size(); ++i) {
        if (step_state.tasks[i].state != TaskState::kPlaced)
          continue;
        const auto worker = this->workers.find(step_state.tasks[i].worker);
        if (worker == this->workers.end())
          continue;
        const jobs::TaskId id{.job = job.id,
                              .occurrence = static_cast<int>(k),
                              .step = static_cast<int>(s),
                              .index = static_cast<int>(i)};
        this->Stop(worker->second, id, now);
      }
    }
  }
}

void Scheduler::SaveChangedJobs(base::Micros now) {
  if (this->jobs_to_save.empty() ||
      (now < this->next_save && !this->save_immediately))
    return;
  // A later owner's row must not be overwritten: its content has not been
  // merged here.
  if (this->is_fenced)
    return;
  this->next_save = now + kSavePeriod;
  this->save_immediately = false;
  for (auto it = this->jobs_to_save.begin(); it != this->jobs_to_save.end();) {
    Job* job = this->FindJob(*it);
    if (job && (job->save_in_flight || now < job->row.save_not_before)) {
      ++it;
      continue;
    }
    it = this->jobs_to_save.erase(it);
    if (!job)
      continue;
    std::string text = this->EncodeRow(*job, now);
    job->save_in_flight = true;
    this->actions.emplace_back(SaveProgress{.job = job->id,
                                            .text = std::move(text),
                                            .version = job->version,
                                            .change = job->change,
                                            .is_over = job->progress.IsOver()});
  }
}

void Scheduler::ProgressSaved(const SaveResult& result, base::Micros now) {
  Job* job = this->FindJob(result.job);
  if (!job)
    return;
  job->save_in_flight = false;
  switch (result.outcome) {
    case SaveOutcome::kSaved:
      job->version = result.version;
      job->saved_change = std::max(job->saved_change, result.change);
      // A row without plans is smaller than the one that was rejected.
      if (!job->progress.placed.empty()) {
        job->row.rejections = 0;
        // The rejection may have had another cause than the row's size.
        job->row.limit = job->row.limit < this->limits.max_progress_bytes / 2
                             ? 2 * job->row.limit
                             : kNoRowLimit;
      }
      this->StartSavedPlacements(*job, now);
      this->StopSavedRuns(*job, now);
      if (job->unsaved_failure > 0 &&
          job->saved_change >= job->unsaved_failure) {
        job->unsaved_failure = 0;
        this->ReportSavedFailure(*job);
        this->StopAllRuns(*job, now);
      }
      break;
    case SaveOutcome::kConflict:
      // Another owner's write, or an own write that was presumed lost, came
      // first.
      job->version = result.version;
      if (result.stored)
        this->MergeStoredProgress(*job, *result.stored, now);
      this->MarkChanged(*job);
      break;
    case SaveOutcome::kFailed:
      this->jobs_to_save.insert(job->id);
      this->next_save = now + kSavePeriod;
      break;
    case SaveOutcome::kRejected:
      this->ShrinkRow(*job, now);
      break;
  }
  if (job->change != job->saved_change)
    this->jobs_to_save.insert(job->id);
}

// Cancels a planned run whose worker has not been contacted, or an inherited
// one that its worker has not confirmed. One that is recorded as stopping may
// be at work and is still waited for.
void Scheduler::CancelPlan(Job& job, const TaskPosition& position) {
  Task& task = TaskAt(job, position);
  std::erase_if(job.pending_starts, [&position](const PendingStart& start) {
    return start.position == position;
  });
  if (task.state != TaskState::kPlaced)
    return;
  const auto planned = this->workers.find(task.worker);
  const bool may_run = job.progress.IsStopping(KeyOf(position), task.run);
  if (planned != this->workers.end() && !may_run)
    RemoveRun(planned->second, IdOf(job, position));
  task.state = TaskState::kReady;
  task.worker = {};
}

std::map<std::string, int> Scheduler::WaitingJobs() const {
  std::map<std::string, int> waiting;
  for (const jobs::Queue& queue : this->config.queues)
    waiting[queue.name] = 0;
  for (const auto& [id, job] : this->jobs) {
    if (!job.has_started && !job.finished())
      ++waiting[job.queue.name];
  }
  return waiting;
}

// --- Time ---

void Scheduler::Advance(base::Micros now) {
  if (!this->first_pass_at)
    this->first_pass_at = now;
  this->ExpireLeases(now);
  this->ExpireOpenStarts(now);
  this->zone_health.Update(this->workers, now);
  this->ReleaseDueRepeats(now);
  this->advice_calls.Expire(now);
  if (!this->is_fenced && this->LeaseEnd(now) > now)
    this->PlaceTasks(now);
  // If another owner has taken over, a placement fails on the row version. A
  // box call is not protected like that: the box rejects the old epoch only
  // after the other owner has called it.
  if (!this->is_fenced && now < this->ownership_until)
    this->RunFleet(now);
  this->IssueDueStops(now);
  this->IssueDuePolls(now);
  this->SaveChangedJobs(now);
  this->ReportStalledTasks(now);
}

bool Scheduler::KnowsAllRuns(base::Micros now) const {
  return std::all_of(
      this->workers.begin(), this->workers.end(), [now](const auto& entry) {
        const Worker& worker = entry.second;
        return worker.has_reported || worker.latest_lease_end <= now;
      });
}

std::vector<Action> Scheduler::TakeActions() {
  return std::exchange(this->actions, {});
}

base::Micros Scheduler::LeaseEnd(base::Micros now) const {
  return std::min(
      now + this->limits.lease_duration,
      this->confirmed_at + this->limits.max_lease_after_confirmation);
}

std::int64_t Scheduler::LeaseDeadline(const jobs::WorkerIncarnation& worker,
                                      base::Micros end) const {
  const Worker* known = this->FindWorker(worker);
  return known ? DeadlineFor(*known, end) : 0;
}

// --- Parts ---

void Scheduler::SetEvacuatedZones(const std::set<std::string>& zones) {
  this->fleet.SetEvacuatedZones(zones);
}

void Scheduler::SetQuotaShare(const std::string& organisation, int share) {
  this->quotas.SetShare(organisation, share);
}

bool Scheduler::HasOpenBoxCall(const std::string& box) const {
  return this->fleet.HasPendingCall(box);
}

const std::map<std::string, double>& Scheduler::AllocatedCores() const {
  return this->fleet.AllocatedCores();
}

std::vector<std::string> Scheduler::OrganisationsOverRate(
    base::Micros now) const {
  return this->guaranteed_rates.OverRate(now);
}

std::map<std::string, QuotaNeed> Scheduler::QuotaNeeds() const {
  return this->quotas.Needs();
}

}  // namespace quartzhoist::scheduler
