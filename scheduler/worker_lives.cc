// Lives of workers: which of them is the one to speak to, and what becomes of
// a life's runs when a later one follows it under the same id.
//
// A start that was meant for one life may have been begun by the next, which
// answers under the same id. So what a life has not been heard to have moves to
// the next one, whose listing settles it; all else ended with its life.

#include <algorithm>
#include <utility>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

// --- Which life ---

Worker* Scheduler::FindLife(const jobs::WorkerIncarnation& life) {
  const auto found = this->workers.find(life);
  return found == this->workers.end() ? nullptr : &found->second;
}

const Worker* Scheduler::FindWorker(const jobs::WorkerIncarnation& life) const {
  const auto found = this->workers.find(life);
  return found == this->workers.end() ? nullptr : &found->second;
}

const Worker* Scheduler::FindWorker(const std::string& id) const {
  const auto found = this->workers.lower_bound({.id = id});
  const bool is_it = found != this->workers.end() && found->first.id == id;
  return is_it ? &found->second : nullptr;
}

Worker* Scheduler::CurrentLife(const std::string& id) {
  const auto found = this->workers.lower_bound({.id = id});
  const bool is_it = found != this->workers.end() && found->first.id == id;
  return is_it ? &found->second : nullptr;
}

Worker* Scheduler::HolderOf(const jobs::WorkerIncarnation& life) {
  Worker* current = this->CurrentLife(life.id);
  const bool holds = current && (current->info.life == life ||
                                 current->info.life.IsAfter(life));
  return holds ? current : nullptr;
}

bool Scheduler::IsKnownToBeOver(const jobs::WorkerIncarnation& life) const {
  const auto ended = this->ended_lives.find(life.id);
  return ended != this->ended_lives.end() && life.start_ms <= ended->second;
}

// --- Lives that come ---

void Scheduler::PutWorker(const WorkerInfo& announced, base::Micros now) {
  WorkerInfo info = announced;
  Worker* known = this->CurrentLife(info.life.id);
  // One without a start is of the life that is there.
  if (known && info.life.start_ms == 0)
    info.life = known->info.life;
  const bool is_earlier = known && known->info.life.IsAfter(info.life);
  if (is_earlier || this->IsKnownToBeOver(info.life))
    return;
  if (known && info.life.IsAfter(known->info.life))
    known = &this->Restarted(*known, info, now);
  if (!known) {
    known = &this->workers[info.life];
    ++this->worker_change_count;
    known->next_look = now;
    this->fleet.BoxSeen(info.box, info.life, info.service, now);
  }
  const bool had_drained = known->info.draining;
  known->info = info;
  known->announced = true;
  known->is_described = true;
  if (info.draining && !had_drained)
    this->actions.emplace_back(Note{info.life.id, "drains: nothing is placed"});
}

void Scheduler::InheritWorker(const WorkerInfo& info, base::Micros lease_end) {
  Worker* worker = this->CurrentLife(info.life.id);
  if (!worker) {
    worker = &this->workers[info.life];
    worker->info = info;
    worker->announced = false;
  }
  worker->lease_end = std::max(worker->lease_end, lease_end);
  ++this->worker_change_count;
}

// The life whose answer it is; null if that says nothing of one that is known.
Worker* Scheduler::LifeThatAnswered(const jobs::WorkerIncarnation& asked,
                                    const jobs::WorkerIncarnation& answered,
                                    base::Micros now) {
  Worker* worker = this->FindLife(asked);
  if (!worker || answered == asked || answered.start_ms == 0)
    return worker;
  if (asked.IsAfter(answered)) {
    worker->look_in_flight = false;
    worker->next_look = now;
    return nullptr;
  }
  WorkerInfo info = worker->info;
  info.life = answered;
  Worker& next = this->Restarted(*worker, info, now);
  next.is_described = false;
  return &next;
}

// `earlier` is gone when this returns.
Worker& Scheduler::Restarted(Worker& earlier,
                             const WorkerInfo& info,
                             base::Micros now) {
  const jobs::WorkerIncarnation over = earlier.info.life;
  std::map<jobs::TaskId, Run> runs = TakeRuns(earlier);
  const auto losses = this->LossesUnder(earlier, runs, LossSign::kRestarted);
  // 1. The next life, under the same lease as far as that is known.
  Worker& next = this->workers[info.life];
  next.info = info;
  next.announced = earlier.announced;
  next.look_sent = earlier.look_sent;
  next.next_look = now;
  // 2. What it may have begun.
  WorkerRestarted restarted{.worker = info.life,
                            .earlier_born_ms = over.start_ms,
                            .ends_read = earlier.processed};
  for (auto it = runs.begin(); it != runs.end();) {
    const bool may_be_there =
        !it->second.is_seen && it->second.state != RunState::kPlanned;
    if (!may_be_there) {
      ++it;
      continue;
    }
    const auto loss = losses.find(it->first);
    std::optional<PossibleLoss> possible;
    if (loss != losses.end())
      possible = {.life = over, .loss = loss->second};
    this->MoveRun(next, it->first, std::move(it->second), possible);
    it = runs.erase(it);
    ++restarted.moved_runs;
  }
  // An order that was meant for the earlier life may have reached this one: its
  // deadline lies far ahead on a clock that has just begun.
  next.has_foreign_lease = true;
  next.lease_end =
      std::max(earlier.lease_end, now + this->limits.longest_lease);
  this->actions.emplace_back(restarted);
  // The earlier life refused what had been stopped there; this one does not.
  for (const UnansweredStart& start : earlier.unanswered) {
    if (!next.runs.contains(start.task))
      this->actions.emplace_back(
          StopRun{.worker = info.life, .task = start.task, .run = start.run});
  }
  next.unanswered = std::move(earlier.unanswered);
  // 3. All else is over.
  if (!runs.empty())
    this->LoseRuns(earlier, runs, losses, LossSign::kRestarted, now);
  this->LifeIsOver(over, LossSign::kRestarted, now);
  this->fleet.BoxSeen(info.box, info.life, info.service, now);
  return next;
}

void Scheduler::MoveRun(Worker& next,
                        const jobs::TaskId& id,
                        Run run,
                        const std::optional<PossibleLoss>& loss) {
  run.possible_loss = loss;
  run.missing_since = {};
  run.stop_sent = {};
  run.stop_answered = {};
  Job* job = this->FindJob(id.job);
  if (job && Exists(*job, PlaceOf(id))) {
    Task& task = TaskAt(*job, PlaceOf(id));
    const auto placed = job->progress.placed.find(KeyOf(PlaceOf(id)));
    if (task.state == TaskState::kPlaced && task.run == run.number)
      task.worker = next.info.life;
    if (placed != job->progress.placed.end() &&
        placed->second.run == run.number) {
      placed->second.worker = next.info.life;
      this->Changed(*job);
    }
  }
  AddRun(next, id, std::move(run));
}

// --- Lives that go ---

void Scheduler::WorkerUnlisted(const std::string& id, base::Micros now) {
  this->ended_lives.erase(id);
  Worker* worker = this->CurrentLife(id);
  if (!worker)
    return;
  worker->announced = false;
  worker->unlisted = now;
  if (worker->idle() && !worker->look_in_flight)
    this->WorkerDied(worker->info.life, LossSign::kLeft, now);
}

void Scheduler::WorkerDied(const jobs::WorkerIncarnation& life,
                           LossSign sign,
                           base::Micros now) {
  const auto found = this->workers.find(life);
  if (found == this->workers.end())
    return;
  this->DropRuns(found->second, sign, now);
  this->workers.erase(found);
  ++this->worker_change_count;
}

// A store that has forgotten its history is read anew, rows of ended lives
// included: such a life on a box in upkeep would pass for the one after it.
void Scheduler::LifeIsOver(const jobs::WorkerIncarnation& life,
                           LossSign sign,
                           base::Micros now) {
  const jobs::WorkerIncarnation over = life;
  std::int64_t& latest = this->ended_lives[over.id];
  latest = std::max(latest, over.start_ms);
  this->WorkerDied(over, sign, now);
}

void Scheduler::DropRuns(Worker& worker, LossSign sign, base::Micros now) {
  if (worker.idle())
    return;
  const std::map<jobs::TaskId, Run> runs = TakeRuns(worker);
  this->LoseRuns(worker, runs, this->LossesUnder(worker, runs, sign), sign,
                 now);
}

void Scheduler::LoseRuns(const Worker& worker,
                         const std::map<jobs::TaskId, Run>& runs,
                         const std::map<jobs::TaskId, jobs::WorkerLoss>& losses,
                         LossSign sign,
                         base::Micros now) {
  const bool was_heard = worker.last_answer > base::Micros::zero();
  WorkerLost lost{
      .worker = worker.info.life,
      .box = worker.info.box,
      .sign = sign,
      .heard_ago = was_heard ? now - worker.last_answer : base::Micros(-1)};
  for (const auto& [task, run] : runs) {
    lost.runs.push_back({.task = task,
                         .run = run.number,
                         .age = now - run.since,
                         .is_answered = run.answered > base::Micros::zero()});
  }
  std::stable_sort(
      lost.runs.begin(), lost.runs.end(),
      [](const LostRun& a, const LostRun& b) { return a.age < b.age; });
  this->actions.emplace_back(std::move(lost));
  for (const auto& [task, loss] : losses) {
    if (runs.contains(task))
      this->NoteLoss(*this->FindJob(task.job), PlaceOf(task), worker.info.life,
                     loss, now);
  }
  for (const auto& [task, run] : runs)
    this->TaskLost(task, run.number, now);
}

}  // namespace quartzhoist::scheduler
