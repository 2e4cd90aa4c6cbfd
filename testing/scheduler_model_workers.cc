// The model's workers: runs, ends, leases, and the judgement of each start.

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "testing/scheduler_model.h"

namespace quartzhoist::testing {

namespace {

using scheduler::OrderOutcome;
using std::chrono::milliseconds;

// The longest time without contact, and a heartbeat.
constexpr base::Micros kShrinkCounts = milliseconds(4500);

}  // namespace

base::Micros SchedulerModel::ClockOf(const Worker& worker) const {
  return worker.clock_offset +
         base::Micros(static_cast<std::int64_t>(
             static_cast<double>(this->now.count()) * worker.clock_rate));
}

void SchedulerModel::Grant(Worker& worker, base::Micros deadline) const {
  const base::Micros latest = this->ClockOf(worker) + kLongestLease;
  worker.deadline = std::max(worker.deadline, std::min(deadline, latest));
}

OrderOutcome SchedulerModel::BeginRun(Worker& worker,
                                      const scheduler::StartRun& order,
                                      std::uint64_t epoch,
                                      base::Micros deadline) {
  if (epoch < worker.epoch)
    return OrderOutcome::kFenced;
  worker.epoch = epoch;
  if (deadline < this->ClockOf(worker))
    return OrderOutcome::kLate;
  this->Grant(worker, deadline);
  const auto over = worker.over.find(order.task);
  const auto run = worker.running.find(order.task);
  if (run != worker.running.end() && run->second.number == order.run)
    return OrderOutcome::kDone;
  if (over != worker.over.end() && order.run <= over->second)
    return OrderOutcome::kOld;
  this->JudgeStart(worker, order);
  this->JudgeCrashes(order);
  this->Record(fmt::format("{} starts {} {}.{} run {}", worker.id,
                           order.task.job, order.task.step, order.task.index,
                           order.run));
  ++this->start_count;
  const jobs::Step& step =
      this->jobs.at(order.task.job)
          .job.spec.steps[static_cast<std::size_t>(order.task.step)];
  const bool fails = this->Chance(this->faults.failing_run);
  base::Micros ends = this->now + this->Between(200, 2500);
  const bool crashes =
      this->jobs.at(order.task.job)
          .job.crashing.contains(scheduler::PlaceOf(order.task));
  if (crashes || (step.long_running && !fails))
    ends = base::Micros::max();
  worker.running[order.task] = {
      .number = order.run, .ends = ends, .fails = fails};
  this->CrashLater(worker, order);
  return OrderOutcome::kDone;
}

void SchedulerModel::CrashLater(const Worker& worker,
                                const scheduler::StartRun& order) {
  const ModelJob& job = this->jobs.at(order.task.job).job;
  const scheduler::TaskPlace place = scheduler::PlaceOf(order.task);
  if (!job.crashing.contains(place))
    return;
  this->After(job.crash_after, [this, id = worker.id, order, place] {
    Worker& by = this->workers.at(id);
    const auto run = by.running.find(order.task);
    if (!by.alive || run == by.running.end() || run->second.number != order.run)
      return;
    this->Record(fmt::format("{} crashes under {} {}.{}", id, order.task.job,
                             place.step, place.index));
    ++this->jobs.at(order.task.job).crashes[place];
    ++this->crash_count;
    this->EndLife(by);
  });
}

// The worker is back under its id before its announcement goes: that changes.
void SchedulerModel::Restart(Worker& worker) {
  this->Record(fmt::format("{} ends, to start again", worker.id));
  this->CountLosses(worker);
  worker.alive = false;
  worker.restarting = true;
  worker.running.clear();
  this->After(this->Between(20, 1500), [this, id = worker.id] {
    this->BeginNextLife(this->workers.at(id));
  });
}

void SchedulerModel::BeginNextLife(Worker& worker) {
  Worker next;
  next.id = worker.id;
  next.box = worker.box;
  next.capacity = kCapacity;
  next.born_ms = base::Millis(this->now);
  next.clock_rate = worker.clock_rate;
  next.clock_offset = -base::Micros(static_cast<std::int64_t>(
      static_cast<double>(this->now.count()) * next.clock_rate));
  worker = next;
  this->Record(fmt::format("{} starts again", worker.id));
  for (std::size_t i = 0; i < this->owners.size(); ++i) {
    this->After(this->Between(20, 1500), [this, i, id = worker.id] {
      const Worker& there = this->workers.at(id);
      if (there.alive && there.announced)
        this->owners[i].scheduler->PutWorker(this->InfoOf(there), this->now);
    });
  }
}

// Nothing announces the end; another life comes on the box some seconds later,
// and the announcement goes after three heartbeats.
void SchedulerModel::EndLife(Worker& worker) {
  this->CountLosses(worker);
  worker.alive = false;
  worker.running.clear();
  const base::Micros away = this->Between(2800, 3600);
  worker.reborn_at = this->now + away;
  this->After(away, [this, box = worker.box] {
    if (this->boxes.contains(box))
      this->AddWorker(box);
  });
  this->After(this->Between(3000, 4500), [this, life = worker.id] {
    this->workers.at(life).announced = false;
    for (Owner& owner : this->owners)
      owner.scheduler->WorkerUnlisted(life, this->now);
  });
}

void SchedulerModel::CountLosses(const Worker& worker) {
  for (const auto& [task, run] : worker.running)
    ++this->jobs.at(task.job).lost_workers[scheduler::PlaceOf(task)];
}

// A task under which three workers have crashed may be started twice more.
void SchedulerModel::JudgeCrashes(const scheduler::StartRun& order) {
  constexpr int kCrashes = 3;
  constexpr int kStartsBeyond = 3;
  StoredJob& stored = this->jobs.at(order.task.job);
  const scheduler::TaskPlace place = scheduler::PlaceOf(order.task);
  const auto crashes = stored.crashes.find(place);
  if (crashes == stored.crashes.end() || crashes->second < kCrashes)
    return;
  if (++stored.starts_since_third_crash[place] == kStartsBeyond) {
    this->Broke(fmt::format(
        "{} step {} task {} run {}: started {} times more after {} workers "
        "had crashed under it",
        order.task.job, place.step, place.index, order.run, kStartsBeyond,
        kCrashes));
  }
}

void SchedulerModel::JudgeStart(const Worker& worker,
                                const scheduler::StartRun& order) {
  const StoredJob& stored = this->jobs.at(order.task.job);
  const scheduler::TaskPlace place = scheduler::PlaceOf(order.task);
  const std::string name =
      fmt::format("{} step {} task {} run {}", order.task.job, place.step,
                  place.index, order.run);
  for (const auto& [id, other] : this->workers) {
    if (other.alive && other.running.contains(order.task))
      this->Broke(fmt::format("{} starts while it runs on {}", name, id));
  }
  if (stored.done.contains(place))
    this->Broke(name + " starts though its end was noted");
  const auto failed = stored.failed.find(place);
  const jobs::Step& step =
      stored.job.spec.steps[static_cast<std::size_t>(place.step)];
  if (!step.long_running && failed != stored.failed.end() &&
      failed->second >= stored.job.attempts)
    this->Broke(name + " starts after its last attempt failed");
  for (const int before : step.depends_on) {
    const auto& earlier =
        stored.job.spec.steps[static_cast<std::size_t>(before)];
    for (int i = 0; i < earlier.tasks; ++i) {
      if (!stored.ever_done.contains({0, before, i}))
        this->Broke(name + " starts before an earlier step is done");
    }
  }
  jobs::Resources used = step.task_resources;
  for (const auto& [task, run] : worker.running) {
    used = used + this->jobs.at(task.job)
                      .job.spec.steps[static_cast<std::size_t>(task.step)]
                      .task_resources;
  }
  // A room that has shrunk counts once its owner must have heard of it.
  const bool may_be_news = this->now < worker.capacity_changed + kShrinkCounts;
  const bool fits = jobs::Fits(used, worker.capacity) ||
                    (may_be_news && jobs::Fits(used, worker.earlier_capacity));
  if (!fits)
    this->Broke(name + " does not fit on " + worker.id);
}

void SchedulerModel::EndRun(Worker& worker,
                            const jobs::TaskId& task,
                            scheduler::RunEnd how) {
  const auto found = worker.running.find(task);
  const int number = found->second.number;
  this->Record(fmt::format("{}: {} {}.{} run {} ends {}", worker.id, task.job,
                           task.step, task.index, number,
                           base::NameOf(scheduler::kRunEndNames, how)));
  worker.running.erase(found);
  int& over = worker.over[task];
  over = std::max(over, number);
  worker.ends.push_back({.number = ++worker.last_number,
                         .task = task,
                         .run = number,
                         .how = how,
                         .checkpoint = ""});
  if (how == scheduler::RunEnd::kDone)
    this->jobs.at(task.job).ever_done.insert(scheduler::PlaceOf(task));
}

void SchedulerModel::WorkOn(Worker& worker) {
  const bool lapsed = this->ClockOf(worker) > worker.deadline;
  std::vector<std::pair<jobs::TaskId, scheduler::RunEnd>> over;
  for (const auto& [task, run] : worker.running) {
    if (lapsed)
      over.emplace_back(task, scheduler::RunEnd::kLapsed);
    else if (run.stopping && run.ends <= this->now)
      over.emplace_back(task, scheduler::RunEnd::kStopped);
    else if (run.ends <= this->now)
      over.emplace_back(task, run.fails ? scheduler::RunEnd::kFailed
                                        : scheduler::RunEnd::kDone);
  }
  for (const auto& [task, how] : over)
    this->EndRun(worker, task, how);
}

// The worker is told that ends up to this number are recorded.
void SchedulerModel::Note(Worker& worker, std::int64_t acknowledged) {
  for (const scheduler::ListedEnd& end : worker.ends) {
    if (end.number > acknowledged)
      continue;
    StoredJob& stored = this->jobs.at(end.task.job);
    if (end.how == scheduler::RunEnd::kDone)
      stored.done.insert(scheduler::PlaceOf(end.task));
    if (end.how == scheduler::RunEnd::kFailed)
      ++stored.failed[scheduler::PlaceOf(end.task)];
  }
  std::erase_if(worker.ends, [acknowledged](const scheduler::ListedEnd& end) {
    return end.number <= acknowledged;
  });
}

scheduler::Listing SchedulerModel::ListingOf(const Worker& worker) const {
  scheduler::Listing listing;
  listing.life = {.id = worker.id, .start_ms = worker.born_ms};
  listing.clock_ms = base::Millis(this->ClockOf(worker));
  for (const auto& [task, run] : worker.running) {
    if (run.stopping)
      continue;
    listing.running.push_back(
        {.task = task, .run = run.number, .checkpoint = "", .percent = 100});
  }
  listing.ended = worker.ends;
  return listing;
}

}  // namespace quartzhoist::testing
