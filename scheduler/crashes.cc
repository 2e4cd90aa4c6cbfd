// What is kept, and done, about workers that were lost under tasks.
//
// All that ran on a worker when it was lost is suspected, and its job's row
// says so before the task's next start leaves, for any later owner. One loss
// only keeps suspects apart from each other; from two on a task starts alone.
// Three crashes on several boxes, one of them soon after the task was started
// alone, are not met by chance: it is given up.

#include <algorithm>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

// Several may be the cause: more than one is watched, or another owner placed
// some, and what it had seen of them is not known.
bool HasOtherSuspects(const std::map<jobs::TaskId, Run>& runs) {
  int watched = 0;
  for (const auto& [task, run] : runs) {
    if (run.state == RunState::kInherited)
      return true;
    watched += run.suspicion != Suspicion::kNone;
  }
  return watched > 1;
}

// For how long, at least, the run was on the worker by what that has listed. An
// owner that stood still reads an old listing late: it counts from its asking.
base::Micros HeardRunning(const Run& run, const Worker& worker) {
  if (run.answered == base::Micros::zero())
    return {};
  return std::max(worker.listed_sent - run.answered, base::Micros::zero());
}

// The worker has told of the run; or an earlier owner placed it, and did not
// live to note more than that.
bool WasSeen(const Job& job,
             const TaskPlace& place,
             const Worker& worker,
             const Run& run) {
  if (run.answered > base::Micros::zero())
    return true;
  const auto known = job.progress.losses.find(KeyOf(place));
  const bool is_noted = known != job.progress.losses.end() &&
                        known->second.contains(worker.info.life);
  return run.state == RunState::kInherited && !is_noted;
}

bool HasLastingStep(const Job& job) {
  return std::any_of(job.spec.steps.begin(), job.spec.steps.end(),
                     [](const jobs::Step& step) { return step.long_running; });
}

TaskPlace PlaceOfKey(const jobs::TaskKey& key) {
  return {.occurrence = key.step.occurrence,
          .step = key.step.step,
          .index = key.index};
}

}  // namespace

// What is to be noted of the worker's loss, by the tasks that ran there.
std::map<jobs::TaskId, jobs::WorkerLoss> Scheduler::LossesUnder(
    const Worker& worker,
    const std::map<jobs::TaskId, Run>& runs,
    LossSign sign) {
  std::map<jobs::TaskId, jobs::WorkerLoss> losses;
  const bool was_planned = sign == LossSign::kBoxTaken ||
                           sign == LossSign::kLeft || worker.info.draining;
  if (was_planned)
    return losses;
  // Another life at its address after it had withdrawn itself is no crash.
  const bool has_crashed =
      (sign == LossSign::kOtherLife || sign == LossSign::kRestarted) &&
      !worker.has_withdrawn();
  const bool leaves_doubt = HasOtherSuspects(runs);
  for (const auto& [id, run] : runs) {
    const Job* job = this->FindJob(id.job);
    const base::Micros ran = HeardRunning(run, worker);
    // A lasting task that was at work for long is not what ended its worker.
    const bool may_be_cause =
        run.state != RunState::kPlanned && !(run.lasting && ran >= kStartProof);
    if (!may_be_cause || !job || !Exists(*job, PlaceOf(id)))
      continue;
    const bool was_alone =
        ran < kStartProof &&
        (runs.size() == 1 ||
         (run.suspicion >= Suspicion::kProbe && !leaves_doubt));
    losses[id] = {.run = run.number,
                  .box = worker.info.box,
                  .has_crashed = has_crashed,
                  .was_sole_suspect = was_alone,
                  .start_confirmed = WasSeen(*job, PlaceOf(id), worker, run)};
  }
  return losses;
}

void Scheduler::NoteLoss(Job& job,
                         const TaskPlace& place,
                         const jobs::WorkerIncarnation& life,
                         const jobs::WorkerLoss& loss,
                         base::Micros now) {
  if (job.finished() || TaskAt(job, place).state == TaskState::kDone)
    return;
  job.progress.MarkLost(KeyOf(place), life, loss);
  TaskAt(job, place).newest_loss = now;
  if (loss.has_crashed)
    this->GiveUpCauses(job, now);
  else if (!loss.box.empty())
    this->open_losses.Add(life, loss.box, job.id);
}

// An earlier owner placed the task on a worker that nobody knows any more. How
// it went, that owner may have known and not lived to record.
void Scheduler::NoteUnseenLoss(Job& job,
                               const TaskPlace& place,
                               const jobs::Placement& placement,
                               base::Micros now) {
  this->NoteLoss(job, place, placement.worker, {.run = placement.run}, now);
}

// Gives up plans that were made before another owner's knowledge of the losses,
// read from its row, came to light; their own record was refused. The places
// concerned.
std::vector<TaskPlace> Scheduler::VoidSuspectPlans(Job& job,
                                                   const jobs::Progress& stored,
                                                   base::Micros now) {
  std::vector<TaskPlace> voided;
  const std::vector<PendingStart> pending = job.pending_starts;
  for (const PendingStart& start : pending) {
    const auto worker = this->workers.find(TaskAt(job, start.place).worker);
    if (worker == this->workers.end())
      continue;
    const auto run = worker->second.runs.find(IdOf(job, start.place));
    const bool is_outdated =
        run != worker->second.runs.end() &&
        run->second.suspicion < this->SuspicionOf(job, start.place, now);
    if (!is_outdated)
      continue;
    this->VoidPlan(job, start.place);
    const jobs::TaskKey key = KeyOf(start.place);
    const auto recorded = stored.placed.find(key);
    if (recorded != stored.placed.end())
      job.progress.placed[key] = recorded->second;
    else
      job.progress.placed.erase(key);
    voided.push_back(start.place);
  }
  return voided;
}

// The losses that the job's row tells of, as an owner reads it.
void Scheduler::InheritLosses(Job& job, base::Micros now) {
  for (const auto& [key, losses] : job.progress.losses) {
    const TaskPlace place = PlaceOfKey(key);
    if (!Exists(job, place))
      continue;
    TaskAt(job, place).newest_loss = now;
    for (const auto& [life, loss] : losses) {
      if (!loss.has_crashed && !loss.box.empty())
        this->open_losses.Add(life, loss.box, job.id);
    }
  }
  this->GiveUpCauses(job, now);
}

// The worker answers: it has not crashed, and earlier lives on its box have.
void Scheduler::SettleLosses(const Worker& worker, base::Micros now) {
  const jobs::WorkerIncarnation& life = worker.info.life;
  for (const std::string& id : this->open_losses.Take(life)) {
    Job* job = this->FindJob(id);
    if (!job)
      continue;
    for (auto& [task, losses] : job->progress.losses)
      losses.erase(life);
    std::erase_if(job->progress.losses,
                  [](const auto& entry) { return entry.second.empty(); });
  }
  for (const jobs::WorkerIncarnation& other :
       this->open_losses.OthersOn(worker.info.box, life)) {
    for (const std::string& id : this->open_losses.Take(other)) {
      Job* job = this->FindJob(id);
      if (!job)
        continue;
      for (auto& [task, losses] : job->progress.losses) {
        const auto found = losses.find(other);
        if (found != losses.end())
          found->second.has_crashed = true;
      }
      this->GiveUpCauses(*job, now);
    }
  }
}

// Told when the run is planned, so that the row says so before it starts.
void Scheduler::NoteLastTry(Job& job, const TaskPlace& place, int run) {
  const auto found = job.progress.losses.find(KeyOf(place));
  if (found != job.progress.losses.end() && IsLastTry(found->second))
    job.progress.last_tries[KeyOf(place)].insert(run);
}

// The run has not been started after all.
void Scheduler::TakeBackLastTry(Job& job, const TaskPlace& place, int run) {
  const auto found = job.progress.last_tries.find(KeyOf(place));
  if (found == job.progress.last_tries.end())
    return;
  found->second.erase(run);
  if (found->second.empty())
    job.progress.last_tries.erase(found);
}

Suspicion Scheduler::SuspicionOf(const Job& job,
                                 const TaskPlace& place,
                                 base::Micros now) const {
  if (job.progress.losses.empty())
    return Suspicion::kNone;
  const auto found = job.progress.losses.find(KeyOf(place));
  if (found == job.progress.losses.end())
    return Suspicion::kNone;
  const auto index = static_cast<std::size_t>(place.index);
  const Task& task = StepAt(job, place).tasks[index];
  const auto tries = job.progress.last_tries.find(KeyOf(place));
  return Judge(found->second,
               tries == job.progress.last_tries.end() ? jobs::RunNumbers()
                                                      : tries->second,
               now - task.newest_loss, StepOf(job, place).long_running);
}

// The members of a gang start together.
Suspicion Scheduler::SuspicionOfStart(const Job& job,
                                      const TaskPlace& place,
                                      base::Micros now) const {
  if (job.progress.losses.empty() || !StepOf(job, place).gang)
    return this->SuspicionOf(job, place, now);
  Suspicion worst = Suspicion::kNone;
  const auto members = static_cast<int>(StepAt(job, place).tasks.size());
  for (int i = 0; i < members; ++i) {
    const TaskPlace member{
        .occurrence = place.occurrence, .step = place.step, .index = i};
    worst = std::max(worst, this->SuspicionOf(job, member, now));
  }
  return worst;
}

// A task that crashes its workers ends its job. Lasting tasks beside it serve
// on: stopping them all at once takes away more than may be, and it alone is
// not started any more. What is placed is judged once its run is over.
void Scheduler::GiveUpCauses(Job& job, base::Micros now) {
  if (job.finished())
    return;
  const bool serves_on = HasLastingStep(job);
  for (const auto& [key, losses] : job.progress.losses) {
    const TaskPlace place = PlaceOfKey(key);
    if (!Exists(job, place))
      continue;
    Task& task = TaskAt(job, place);
    const bool may_start =
        task.state == TaskState::kReady || task.state == TaskState::kBlocked;
    if ((serves_on && !may_start) || task.state == TaskState::kGivenUp ||
        this->SuspicionOf(job, place, now) != Suspicion::kCause)
      continue;
    this->actions.emplace_back(
        TaskGivenUp{.job = job.id, .task = key, .losses = losses});
    if (serves_on) {
      task.state = TaskState::kGivenUp;
      continue;
    }
    this->Finish(job, jobs::JobState::kFailed, now);
    return;
  }
}

// It is listed as running: what lives on has not crashed its worker.
void Scheduler::WatchSuspect(Worker& worker, const jobs::TaskId& id, Run& run) {
  const base::Micros ran = HeardRunning(run, worker);
  if (run.suspicion != Suspicion::kNone && ran >= kProbation)
    ClearSuspicion(worker, run);
  if (!run.lasting || ran < kStartProof)
    return;
  Job* job = this->FindJob(id.job);
  if (!job || job->progress.losses.empty())
    return;
  job->progress.losses.erase(KeyOf(PlaceOf(id)));
  job->progress.last_tries.erase(KeyOf(PlaceOf(id)));
}

}  // namespace quartzhoist::scheduler
