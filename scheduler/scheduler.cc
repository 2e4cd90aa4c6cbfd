#include "scheduler/scheduler.h"

#include <algorithm>
#include <utility>

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;

// Progress that is not final is saved together, this often at most: each call
// to the store costs, and an end that is not saved is listed again.
constexpr base::Micros kSavePeriod = milliseconds(200);

}  // namespace

Scheduler::Scheduler(const Limits& chosen)
    : limits(chosen), due_shares(chosen.shards), fleet(chosen.fleet) {}

// --- Configuration and workers ---

void Scheduler::SetConfig(const jobs::Config& next, base::Micros now) {
  this->config = next;
  this->quotas.SetOrganisations(next.organisations);
  this->due_shares.SetOrganisations(next.organisations);
  for (auto& [id, job] : this->jobs) {
    // A job of a queue that is gone keeps the terms it was accepted under.
    if (const jobs::Queue* queue = this->config.FindQueue(job.queue.name))
      job.queue = *queue;
  }
  // A queue may have gone to another service: every ready task is put anew.
  std::map<std::string, ReadyTasks> old;
  old.swap(this->ready);
  for (const auto& [service, tasks] : old) {
    for (const ReadyTask& task : tasks) {
      if (TaskAt(*task.job, task.place).state == TaskState::kReady)
        this->Enqueue(*task.job, task.place, now);
    }
  }
}

void Scheduler::WorkersRecorded(
    const std::vector<jobs::WorkerIncarnation>& lives) {
  for (const jobs::WorkerIncarnation& life : lives) {
    if (Worker* worker = this->FindLife(life))
      worker->recorded = true;
  }
}

void Scheduler::Confirmed(base::Micros at, base::Micros until) {
  this->confirmed = std::max(this->confirmed, at);
  this->certain_until = std::max(this->certain_until, until);
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
    this->MeetJob(job, now);
    return;
  }
  job.beyond_due = !this->due_shares.Take(job.organisation, now);
  if (job.spec.repeat_count > 0)
    this->timed.insert(job.id);
  double core_seconds = 0.0;
  for (const jobs::Step& step : job.spec.steps) {
    if (step.long_running || step.fills)
      continue;
    core_seconds +=
        static_cast<double>(step.tasks * step.task_resources.cpu_millis) /
        1000.0 * base::Seconds(this->ExpectedRun(job, step));
  }
  this->demand.HandedIn(job.queue.name, core_seconds, now);
  this->InheritLosses(job, now);
  this->InheritRuns(job, now);
  this->MeetJob(job, now);
  this->Release(job, now);
}

void Scheduler::CancelJob(const std::string& id, base::Micros now) {
  Job* job = this->FindJob(id);
  if (!job || job->finished() || job->cancelled)
    return;
  job->cancelled = true;
  this->actions.emplace_back(Note{id, "cancelled by its caller"});
  this->Finish(*job, jobs::JobState::kCancelled, now);
}

void Scheduler::Release(Job& job, base::Micros now) {
  for (const TaskPlace& place : ReleaseSteps(job, now))
    this->Enqueue(job, place, now);
}

void Scheduler::ReleaseDue(base::Micros now) {
  for (auto it = this->timed.begin(); it != this->timed.end();) {
    Job* job = this->FindJob(*it);
    if (!job || job->finished()) {
      it = this->timed.erase(it);
      continue;
    }
    this->Release(*job, now);
    ++it;
  }
}

base::Micros Scheduler::ExpectedRun(const Job& job,
                                    const jobs::Step& step) const {
  const std::string& kind = step.image.empty() ? job.queue.name : step.image;
  return this->run_times.Expect(kind, milliseconds(step.estimate_ms));
}

// The longest chain of steps that begins with this one, or, from the number of
// steps on, the job's longest of all.
base::Micros Scheduler::LongestChain(const Job& job, std::size_t from) const {
  const std::size_t count = job.spec.steps.size();
  std::vector<base::Micros> after(count);  // the longest chain behind a step
  base::Micros longest{};
  for (std::size_t s = count; s-- > 0;) {
    const jobs::Step& step = job.spec.steps[s];
    const base::Micros chain = after[s] + this->ExpectedRun(job, step);
    if (s == from)
      return chain;
    longest = std::max(longest, chain);
    for (const int earlier : step.depends_on) {
      base::Micros& behind = after[static_cast<std::size_t>(earlier)];
      behind = std::max(behind, chain);
    }
  }
  return longest;
}

// A job is in time if it is completed within its longest chain, stretched, and
// the queue's own latency.
base::Micros Scheduler::ObjectiveOf(const Job& job) const {
  const base::Micros chain = this->LongestChain(job, job.spec.steps.size());
  return job.queue.target_latency +
         base::Micros(static_cast<std::int64_t>(
             job.queue.extension * static_cast<double>(chain.count())));
}

// Of use a job is for three times its objective; the chain is
// made of mean times here, while a step ends with its slowest task, so that
// four times the estimate leave nothing out that is of use.
void Scheduler::Enqueue(Job& job, const TaskPlace& place, base::Micros now) {
  constexpr int kOfUseTimes = 4;
  if (!job.progress.losses.empty())
    this->GiveUpCauses(job, now);
  Task& task = TaskAt(job, place);
  if (job.finished() || task.state == TaskState::kGivenUp)
    return;
  task.ready_since = now;
  task.waits_for = WaitReason::kRoom;
  const bool repeats = job.spec.repeat_count > 0;
  const auto k = static_cast<std::size_t>(place.occurrence);
  const base::Micros since = repeats ? job.occurrences[k].due : job.accepted;
  const base::Micros objective = this->ObjectiveOf(job);
  const base::Micros left =
      this->LongestChain(job, static_cast<std::size_t>(place.step));
  const bool lasting = StepOf(job, place).long_running;
  const bool begun = job.begun || place.step > 0;
  this->ready[job.queue.service].Insert(
      {.priority = job.queue.priority,
       .prospect = lasting          ? Prospect::kLasting
                   : begun          ? Prospect::kBegun
                   : job.beyond_due ? Prospect::kBeyond
                                    : Prospect::kWaiting,
       .in_time = lasting ? now : since + objective - left,
       .of_use = since + kOfUseTimes * objective - left,
       .number = ++this->ready_number,
       .job = &job,
       .place = place});
}

void Scheduler::Changed(Job& job) {
  ++job.change;
  this->to_save.insert(job.id);
}

void Scheduler::Finish(Job& job, jobs::JobState state, base::Micros now) {
  job.progress.state = state;
  this->Changed(job);
  this->save_now = true;
  // A later owner that does not know of the failure takes a task whose run is
  // being stopped for free, and starts it beside that run.
  if (state == jobs::JobState::kFailed)
    job.unsaved_end = job.change;
  else
    this->StopAll(job, now);
  this->actions.emplace_back(JobOver{.job = job.id,
                                     .queue = job.queue.name,
                                     .state = state,
                                     .took = now - job.accepted,
                                     .objective = this->ObjectiveOf(job),
                                     .story = job.story});
}

void Scheduler::StopAll(Job& job, base::Micros now) {
  for (std::size_t k = 0; k < job.occurrences.size(); ++k) {
    for (std::size_t s = 0; s < job.occurrences[k].steps.size(); ++s) {
      StepRuns& runs = job.occurrences[k].steps[s];
      for (std::size_t i = 0; i < runs.tasks.size(); ++i) {
        if (runs.tasks[i].state != TaskState::kPlaced)
          continue;
        const auto worker = this->workers.find(runs.tasks[i].worker);
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

void Scheduler::SaveChanged(base::Micros now) {
  if (this->to_save.empty() || (now < this->next_save && !this->save_now))
    return;
  // A later owner's row stands: what it holds has not been taken in here.
  if (this->is_fenced)
    return;
  this->next_save = now + kSavePeriod;
  this->save_now = false;
  for (auto it = this->to_save.begin(); it != this->to_save.end();) {
    Job* job = this->FindJob(*it);
    if (job && job->saving) {
      ++it;
      continue;
    }
    it = this->to_save.erase(it);
    if (!job)
      continue;
    job->saving = true;
    this->actions.emplace_back(
        SaveProgress{.job = job->id,
                     .text = jobs::EncodeProgress(job->progress),
                     .version = job->version,
                     .change = job->change,
                     .over = job->progress.IsOver()});
  }
}

void Scheduler::Saved(const SaveResult& result, base::Micros now) {
  Job* job = this->FindJob(result.job);
  if (!job)
    return;
  job->saving = false;
  switch (result.outcome) {
    case SaveOutcome::kSaved:
      job->version = result.version;
      job->saved_change = std::max(job->saved_change, result.change);
      this->StartSaved(*job, now);
      if (job->unsaved_end > 0 && job->saved_change >= job->unsaved_end) {
        job->unsaved_end = 0;
        this->StopAll(*job, now);
      }
      break;
    case SaveOutcome::kConflict:
      // Another owner, or an own write that was thought lost, came first.
      job->version = result.version;
      if (result.stored)
        this->TakeStored(*job, *result.stored, now);
      this->Changed(*job);
      break;
    case SaveOutcome::kFailed:
      this->to_save.insert(job->id);
      this->next_save = now + kSavePeriod;
      break;
    case SaveOutcome::kRefused:
      job->refused_change = result.change;
      this->actions.emplace_back(
          Note{job->id, "the store does not take its progress"});
      break;
  }
  // What was refused is tried again once it has changed.
  if (job->change != job->saved_change && job->change != job->refused_change)
    this->to_save.insert(job->id);
}

void Scheduler::TakeStored(Job& job,
                           const jobs::Progress& stored,
                           base::Micros now) {
  std::vector<TaskPlace> voided;
  for (const auto& [key, placement] : stored.placed) {
    const TaskPlace place{.occurrence = key.step.occurrence,
                          .step = key.step.step,
                          .index = key.index};
    if (!Exists(job, place))
      continue;
    const std::uint64_t epoch = EpochOf(placement.run);
    // A later owner has read the job and goes on with it.
    if (epoch > this->limits.epoch) {
      this->is_fenced = true;
      return;
    }
    const bool is_news = epoch < this->limits.epoch &&
                         placement.run > TaskAt(job, place).inherited_run;
    if (is_news && this->TakeLatePlacement(job, place, placement))
      voided.push_back(place);
    if (is_news && !this->HolderOf(placement.worker))
      this->NoteUnseenLoss(job, place, placement, now);
  }
  const bool was_final = job.finished();
  job.progress = jobs::Merge(job.progress, stored);
  for (const auto& [step, bits] : job.progress.done) {
    for (std::size_t i = 0; i < bits.size(); ++i) {
      const TaskPlace place{.occurrence = step.occurrence,
                            .step = step.step,
                            .index = static_cast<int>(i)};
      if (bits[i] && Exists(job, place) &&
          TaskAt(job, place).state != TaskState::kDone)
        this->TaskDone(job, place, now);
    }
  }
  if (job.finished() && !was_final)
    this->StopAll(job, now);
  // With the failures that the other writer knew there may be enough.
  if (!job.finished() && IsOutOfAttempts(job))
    this->Finish(job, jobs::JobState::kFailed, now);
  this->InheritLosses(job, now);
  for (const TaskPlace& place : this->VoidSuspectPlans(job, stored, now))
    voided.push_back(place);
  this->InheritRuns(job, now);
  for (const TaskPlace& place : voided) {
    if (TaskAt(job, place).state == TaskState::kReady && !job.finished())
      this->Enqueue(job, place, now);
  }
}

// An earlier owner's placement came to light after this owner read the job: its
// write was on its way. True if it voids what this owner had planned.
bool Scheduler::TakeLatePlacement(Job& job,
                                  const TaskPlace& place,
                                  const jobs::Placement& placement) {
  Task& task = TaskAt(job, place);
  task.inherited_run = placement.run;
  const Worker* worker = this->HolderOf(placement.worker);
  // A worker that has been listed under this epoch showed the run then, or
  // refuses it for good.
  if (!worker || worker->listed || task.state == TaskState::kDone)
    return false;
  this->VoidPlan(job, place);
  job.progress.placed[KeyOf(place)] = placement;
  return task.state == TaskState::kReady;
}

// Gives up a run whose worker has not been told.
void Scheduler::VoidPlan(Job& job, const TaskPlace& place) {
  Task& task = TaskAt(job, place);
  std::erase_if(job.pending_starts, [&place](const PendingStart& start) {
    return start.place == place;
  });
  if (task.state != TaskState::kPlaced)
    return;
  const auto planned = this->workers.find(task.worker);
  if (planned != this->workers.end())
    RemoveRun(planned->second, IdOf(job, place));
  task.state = TaskState::kReady;
  task.worker = {};
}

std::map<std::string, int> Scheduler::WaitingJobs() const {
  std::map<std::string, int> waiting;
  for (const jobs::Queue& queue : this->config.queues)
    waiting[queue.name] = 0;
  for (const auto& [id, job] : this->jobs) {
    if (!job.begun && !job.finished())
      ++waiting[job.queue.name];
  }
  return waiting;
}

// --- Time ---

void Scheduler::Advance(base::Micros now) {
  this->ExpireLeases(now);
  this->ReleaseDue(now);
  if (!this->is_fenced && this->LeaseEnd(now) > now)
    this->Place(now);
  // A placement fails by its row's version when another owner has come; nothing
  // refuses a call for a box that the other one has not called yet.
  if (!this->is_fenced && now < this->certain_until)
    this->RunFleet(now);
  this->DueStops(now);
  this->DueLooks(now);
  this->SaveChanged(now);
}

bool Scheduler::KnowsAllRuns(base::Micros now) const {
  return std::all_of(this->workers.begin(), this->workers.end(),
                     [now](const auto& entry) {
                       const Worker& worker = entry.second;
                       return worker.listed || worker.lease_end <= now;
                     });
}

std::vector<Action> Scheduler::TakeActions() {
  return std::exchange(this->actions, {});
}

base::Micros Scheduler::LeaseEnd(base::Micros now) const {
  return std::min(now + this->limits.lease,
                  this->confirmed + this->limits.grant_bound);
}

std::int64_t Scheduler::Deadline(const jobs::WorkerIncarnation& worker,
                                 base::Micros end) const {
  const Worker* known = this->FindWorker(worker);
  return known ? DeadlineFor(*known, end) : 0;
}

}  // namespace quartzhoist::scheduler
