// What workers say of themselves, and what their silence means.

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;

// After ends were listed the next look waits a little, so that it brings more
// than one: each look costs like a probe.
constexpr base::Micros kPauseAfterEnds = milliseconds(200);
// A worker that did not answer is asked again after this, times the failures
// in a row, up to the second.
constexpr base::Micros kLookAgain = milliseconds(250);
constexpr base::Micros kLookAgainMost = milliseconds(1000);
// So many starts in a row without an answer, and the worker gets nothing for a
// while. Where a third of all answers is lost it does so now and then.
constexpr int kStartsUntilRest = 3;
constexpr base::Micros kRest = std::chrono::seconds(4);
// An order without an answer: a look, then a stop, are sent this soon again.
constexpr base::Micros kStopAgain = milliseconds(600);
// A look that is to settle a stop leaves this long after the stop's time.
constexpr base::Micros kStopSlack = milliseconds(20);
// Slack for clocks and timers when a lease is taken as over.
constexpr base::Micros kLeaseSlack = milliseconds(200);
// A worker whose announcement is gone and that does not answer either is
// forgotten once its lease is over.
constexpr int kCallsUntilSilent = 2;

}  // namespace

void Scheduler::Listed(const jobs::WorkerIncarnation& asked,
                       const Listing& listing,
                       base::Micros now) {
  Worker* answered = this->LifeThatAnswered(asked, listing.life, now);
  if (!answered)
    return;
  Worker& worker = *answered;
  // 1. It answers: its clock is known, and its lease renewed.
  worker.look_in_flight = false;
  worker.leased_until = std::max(worker.leased_until, worker.look_grant);
  worker.told = std::max(worker.told, worker.look_acknowledged);
  worker.is_in_doubt = false;
  if (worker.failed_calls > 0)
    this->actions.emplace_back(Note{worker.info.life.id, "answers again"});
  if (!worker.listed) {
    ++this->worker_change_count;
    this->fleet.BoxAnswered(worker.info.box);
    // From now on it refuses every earlier owner's grant: lasting tasks of one
    // that died 3 s after a takeover had waited for 7 s more.
    if (!worker.has_foreign_lease)
      worker.lease_end =
          std::min(worker.lease_end, now + this->limits.longest_grant);
  }
  worker.listed = true;
  worker.failed_calls = 0;
  worker.runs_presumed_over = false;
  worker.last_answer = now;
  worker.listed_sent = worker.look_sent;
  worker.clock_ms = listing.clock_ms;
  worker.clock_read = now;
  this->SettleLosses(worker, now);
  // 2. Ends before runs: a task that ended may be listed as running again.
  bool has_news = false;
  for (const ListedEnd& end : listing.ended) {
    if (end.number <= worker.processed) {
      this->NoteSkippedEnd(worker, end);
      continue;
    }
    this->TakeEnd(worker, end, now);
    worker.processed = end.number;
    has_news = true;
  }
  // 3. What runs there.
  for (const ListedRun& run : listing.running)
    this->TakeRunning(worker, run, now);
  // 4. What should, and is not listed.
  this->SettleMissing(worker, listing, now);
  this->MoveOffBadWorker(worker, now);
  this->PaceFillers(worker);
  this->Acknowledge(worker);
  // Ends that it may not be told of yet are listed again at once.
  const bool repeats = worker.acknowledged > worker.told;
  worker.next_look = has_news || repeats ? now + kPauseAfterEnds : now;
}

void Scheduler::NoteSkippedEnd(const Worker& worker, const ListedEnd& end) {
  const auto run = worker.runs.find(end.task);
  if (run == worker.runs.end() || run->second.number != end.run)
    return;
  this->actions.emplace_back(EndSkipped{
      .worker = worker.info.life, .end = end, .ends_read = worker.processed});
}

void Scheduler::TakeRunning(Worker& worker,
                            const ListedRun& listed,
                            base::Micros now) {
  const auto found = worker.runs.find(listed.task);
  if (found == worker.runs.end() || found->second.number != listed.run) {
    // An older run beside a newer one on the same worker is only ended.
    if (found != worker.runs.end()) {
      this->actions.emplace_back(StopRun{
          .worker = worker.info.life, .task = listed.task, .run = listed.run});
      return;
    }
    this->AdoptRun(worker, listed, now);
    return;
  }
  Run& run = found->second;
  if (run.state == RunState::kStarting || run.state == RunState::kUnsettled ||
      run.state == RunState::kInherited)
    run.state = RunState::kRunning;
  if (run.answered == base::Micros::zero())
    run.answered = now;
  run.missing_since = {};
  run.is_seen = true;
  run.possible_loss.reset();
  if (run.percent != listed.percent || run.progressed == base::Micros::zero())
    run.progressed = now;
  run.percent = listed.percent;
  run.load = listed.load;
  this->WatchSuspect(worker, listed.task, run);
  Job* job = this->FindJob(listed.task.job);
  if (!job || !Exists(*job, PlaceOf(listed.task)))
    return;
  job->begun = true;
  Task& task = TaskAt(*job, PlaceOf(listed.task));
  if (!listed.checkpoint.empty())
    task.checkpoint = listed.checkpoint;
  // One that is being stopped is away, whatever an older listing says.
  task.at_work = listed.percent >= 100 && run.state == RunState::kRunning;
  // An earlier owner's run of a job, or a task, that was over by then.
  if (job->end_stands() || task.state == TaskState::kDone)
    this->Stop(worker, listed.task, now);
}

// A run that this owner did not start: an earlier owner's, or an order that was
// given up and carried out late.
void Scheduler::AdoptRun(Worker& worker,
                         const ListedRun& listed,
                         base::Micros now) {
  Job* job = this->FindJob(listed.task.job);
  Run run{.number = listed.run, .state = RunState::kRunning};
  run.since = now;
  run.answered = now;
  run.adopted = true;
  run.is_seen = true;
  run.percent = listed.percent;
  run.progressed = now;
  run.load = listed.load;
  if (!job) {
    this->HoldRun(worker, listed, now);
    return;
  }
  const bool known = Exists(*job, PlaceOf(listed.task));
  if (known) {
    const jobs::Step& step = StepOf(*job, PlaceOf(listed.task));
    run.takes = step.task_resources;
    run.counts = step.task_resources;
    run.counted = &this->quotas.UseOf(job->organisation);
    run.lasting = step.long_running;
    run.fills = step.fills;
    run.image = step.image;
    run.target_ms = step.target_ms;
    if (step.fills)
      run.takes.cpu_millis = 0;
  }
  // No task of the job: what it takes is not known.
  run.is_held = !known;
  AddRun(worker, listed.task, run);
  // It runs, so it has a lease, whoever granted it.
  worker.lease_end =
      std::max(worker.lease_end, now + this->limits.longest_grant);
  if (known) {
    Task& task = TaskAt(*job, PlaceOf(listed.task));
    // What runs goes before what is only planned.
    const auto other = this->workers.find(task.worker);
    if (task.state == TaskState::kPlaced && other != this->workers.end()) {
      const auto plan = other->second.runs.find(listed.task);
      if (plan != other->second.runs.end() &&
          plan->second.state == RunState::kPlanned)
        this->VoidPlan(*job, PlaceOf(listed.task));
    }
    const bool wanted =
        !job->finished() &&
        (task.state == TaskState::kReady || task.state == TaskState::kBlocked ||
         task.state == TaskState::kGivenUp);
    if (wanted) {
      task.state = TaskState::kPlaced;
      task.worker = worker.info.life;
      task.run = listed.run;
      task.newest_run = std::max(task.newest_run, listed.run);
      task.at_work = listed.percent >= 100;
      if (!listed.checkpoint.empty())
        task.checkpoint = listed.checkpoint;
      job->begun = true;
      job->progress.placed[KeyOf(PlaceOf(listed.task))] = {
          .worker = worker.info.life, .run = task.run};
      this->Changed(*job);
      return;
    }
    if (job->unsaved_end > 0)
      return;
  }
  this->actions.emplace_back(
      Note{listed.task.job,
           fmt::format("run {} of {}.{}.{} on {} is not wanted: stopped",
                       listed.run, listed.task.occurrence, listed.task.step,
                       listed.task.index, worker.info.life.id)});
  this->Stop(worker, listed.task, now);
}

void Scheduler::SettleMissing(Worker& worker,
                              const Listing& listing,
                              base::Micros now) {
  std::set<jobs::TaskId> listed;
  for (const ListedRun& run : listing.running)
    listed.insert(run.task);
  std::vector<std::pair<jobs::TaskId, Run>> over;
  for (auto& [task, run] : worker.runs) {
    if (listed.contains(task))
      continue;
    // The listing may be older than the order's answer. Under this owner's
    // epoch no earlier owner's order can follow.
    const bool start_settled =
        run.state == RunState::kRunning && run.answered < worker.look_sent;
    const bool stop_settled = run.stop_answered > base::Micros::zero() &&
                              run.stop_answered < worker.look_sent;
    const bool inherited = run.state == RunState::kInherited;
    if (!start_settled && !stop_settled && !inherited)
      continue;
    // What is being stopped, by whatever order, keeps its room until its end is
    // listed; one that was never there has no end.
    if (run.missing_since == base::Micros::zero())
      run.missing_since = worker.look_sent;
    else if (worker.look_sent > run.missing_since + this->limits.stop_time)
      over.emplace_back(task, run);
  }
  for (const auto& [task, run] : over) {
    RemoveRun(worker, task);
    Job* job = this->FindJob(task.job);
    if (run.possible_loss && job && Exists(*job, PlaceOf(task)))
      this->NoteLoss(*job, PlaceOf(task), run.possible_loss->life,
                     run.possible_loss->loss, now);
    this->TaskLost(task, run.number, now);
  }
}

// What a call's outcome says of the worker and of this ownership. The worker,
// or null if it is not known or its life is over.
Worker* Scheduler::TakeOutcome(const jobs::WorkerIncarnation& life,
                               OrderOutcome outcome,
                               base::Micros now) {
  Worker* found = this->FindLife(life);
  if (!found)
    return nullptr;
  if (outcome == OrderOutcome::kOtherLife) {
    this->LifeIsOver(life, LossSign::kOtherLife, now);
    return nullptr;
  }
  if (outcome == OrderOutcome::kFenced)
    this->is_fenced = true;
  return found;
}

void Scheduler::LookFailed(const jobs::WorkerIncarnation& life,
                           OrderOutcome outcome,
                           base::Micros now) {
  Worker* found = this->TakeOutcome(life, outcome, now);
  if (!found)
    return;
  Worker& worker = *found;
  worker.look_in_flight = false;
  if (outcome == OrderOutcome::kFenced)
    return;
  if (++worker.failed_calls == 1) {
    this->actions.emplace_back(
        Note{life.id, fmt::format("does not answer ({})",
                                  base::NameOf(kOrderOutcomeNames, outcome))});
  }
  worker.next_look =
      now + std::min(kLookAgain * worker.failed_calls, kLookAgainMost);
}

void Scheduler::Started(const StartRun& order,
                        OrderOutcome outcome,
                        base::Micros now,
                        std::int64_t clock_ms) {
  Worker* found = this->HolderOf(order.worker);
  // Another life answered: this one has not started it.
  if (outcome == OrderOutcome::kOtherLife && found) {
    RemoveRun(*found, order.task);
    this->TaskLost(order.task, order.run, now);
  }
  // Else the run is a later life's by now, which the answer says nothing of.
  if (!found || found->info.life == order.worker)
    found = this->TakeOutcome(order.worker, outcome, now);
  if (!found)
    return;
  Worker& worker = *found;
  const auto entry = worker.runs.find(order.task);
  if (entry == worker.runs.end() || entry->second.number != order.run)
    return;
  Run& run = entry->second;
  Job* job = this->FindJob(order.task.job);
  if (worker.info.life != order.worker)
    worker.lease_end =
        std::max(worker.lease_end, now + this->limits.longest_lease);
  if (outcome == OrderOutcome::kDone) {
    run.answered = now;
    this->NoteClock(worker, order, run, clock_ms, now);
    worker.unanswered_starts = 0;
    if (job)
      job->begun = true;
    if (run.state == RunState::kStarting)
      run.state = RunState::kRunning;
    return;
  }
  if (outcome == OrderOutcome::kUnknown) {
    if (run.state == RunState::kStarting)
      run.state = RunState::kUnsettled;
    run.unsettled = now;
    NoteUnanswered(worker,
                   {.task = order.task, .run = order.run, .given_up = now});
    ++worker.failed_calls;
    this->RestIfStartsAreLost(worker, now);
    return;
  }
  // It has not been carried out: the room is free, the task to be placed.
  RemoveRun(worker, order.task);
  if (job && Exists(*job, PlaceOf(order.task)))
    this->TakeBackLastTry(*job, PlaceOf(order.task), order.run);
  if (outcome == OrderOutcome::kNotSent)
    ++worker.failed_calls;
  if (outcome == OrderOutcome::kBusy)
    this->JudgeWorker(worker, true, now);
  if (outcome == OrderOutcome::kNoTicket && job &&
      Exists(*job, PlaceOf(order.task)))
    StepAt(*job, PlaceOf(order.task)).advice.tickets.erase(order.worker);
  if (outcome == OrderOutcome::kNoRoom || outcome == OrderOutcome::kLate)
    worker.quarantined_until =
        std::max(worker.quarantined_until, now + kLookAgain);
  this->TaskLost(order.task, order.run, now);
}

// Whether the life that was listed has answered the start.
void Scheduler::NoteClock(Worker& worker,
                          const StartRun& order,
                          Run& run,
                          std::int64_t clock_ms,
                          base::Micros now) {
  if (worker.info.life != order.worker)
    return;
  worker.failed_calls = 0;
  if (clock_ms <= 0)
    return;
  run.is_seen = MayBeClockOf(worker, clock_ms, run.since);
  if (run.is_seen)
    return;
  worker.is_in_doubt = true;
  worker.next_look = std::min(worker.next_look, now);
}

// A worker that answers looks and no starts would take task after task.
void Scheduler::RestIfStartsAreLost(Worker& worker, base::Micros now) {
  if (++worker.unanswered_starts < kStartsUntilRest)
    return;
  worker.unanswered_starts = 0;
  worker.quarantined_until = now + kRest;
  this->actions.emplace_back(Note{
      worker.info.life.id,
      fmt::format("leaves {} starts in a row unanswered: nothing is placed "
                  "for {:.0f} s",
                  kStartsUntilRest, base::Seconds(kRest))});
}

bool Scheduler::StillWanted(const StartRun& order) const {
  const Worker* worker = this->FindWorker(order.worker);
  if (!worker)
    return false;
  const auto run = worker->runs.find(order.task);
  return run != worker->runs.end() && run->second.number == order.run &&
         run->second.state == RunState::kStarting;
}

void Scheduler::Stop(Worker& worker,
                     const jobs::TaskId& task,
                     base::Micros now) {
  const auto found = worker.runs.find(task);
  if (found == worker.runs.end())
    return;
  Run& run = found->second;
  if (run.state == RunState::kStopping)
    return;
  // Its worker has not been told.
  if (run.state == RunState::kPlanned) {
    const int number = run.number;
    RemoveRun(worker, task);
    this->TaskLost(task, number, now);
    return;
  }
  run.state = RunState::kStopping;
  run.stop_sent = now;
  // An answer to an earlier stop, of a start that was open, says nothing now.
  run.stop_answered = {};
  this->actions.emplace_back(
      StopRun{.worker = worker.info.life, .task = task, .run = run.number});
}

void Scheduler::Stopped(const StopRun& order,
                        OrderOutcome outcome,
                        base::Micros now) {
  Worker* found = this->TakeOutcome(order.worker, outcome, now);
  if (!found)
    return;
  Worker& worker = *found;
  const auto run = worker.runs.find(order.task);
  if (run == worker.runs.end() || run->second.number != order.run)
    return;
  const bool settled =
      outcome == OrderOutcome::kDone || outcome == OrderOutcome::kOld;
  if (!settled)
    return;
  run->second.stop_answered = now;
  // Its end is listed within the stop's time.
  if (!worker.look_in_flight)
    worker.next_look =
        std::min(worker.next_look, now + this->limits.stop_time + kStopSlack);
}

// Stops that got no answer, and starts whose fate is open.
void Scheduler::DueStops(base::Micros now) {
  for (auto& [id, worker] : this->workers) {
    for (auto& [task, run] : worker.runs) {
      const bool unanswered = run.state == RunState::kStopping &&
                              run.stop_answered == base::Micros::zero();
      // A lasting task may be at work by now, and others of its step away: a
      // listing that does not show it comes first.
      const bool may_work = run.lasting && worker.listed_sent <= run.unsettled;
      const bool open = run.state == RunState::kUnsettled && !may_work &&
                        run.stop_answered == base::Micros::zero();
      if ((!unanswered && !open) || now < run.stop_sent + kStopAgain)
        continue;
      run.stop_sent = now;
      this->actions.emplace_back(
          StopRun{.worker = id, .task = task, .run = run.number});
    }
  }
}

// Nothing runs beyond a lease: what is on a silent worker is over then.
void Scheduler::ExpireLeases(base::Micros now) {
  std::vector<jobs::WorkerIncarnation> forgotten;
  for (auto& [id, worker] : this->workers) {
    const bool over = now > worker.lease_end + kLeaseSlack;
    if (!over)
      continue;
    // A plan has no lease yet: the next listing or answer decides on it.
    const bool only_plans = std::all_of(
        worker.runs.begin(), worker.runs.end(), [](const auto& entry) {
          return entry.second.state == RunState::kPlanned;
        });
    if (only_plans && worker.failed_calls == 0)
      continue;
    for (const auto& [task, run] : worker.runs) {
      Job* job = this->FindJob(task.job);
      if (job && Exists(*job, PlaceOf(task)))
        TaskAt(*job, PlaceOf(task)).lease_ended = now;
    }
    worker.runs_presumed_over = worker.runs_presumed_over || !worker.idle();
    this->DropRuns(worker, LossSign::kSilence, now);
    if (!worker.announced && worker.failed_calls >= kCallsUntilSilent)
      forgotten.push_back(id);
  }
  for (const jobs::WorkerIncarnation& id : forgotten)
    this->workers.erase(id);
  this->worker_change_count += forgotten.size();
}

}  // namespace quartzhoist::scheduler
