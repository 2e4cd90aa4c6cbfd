#include "testing/scheduler_model.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace quartzhoist::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Micros kStep = milliseconds(20);
constexpr base::Micros kLease = milliseconds(5000);
constexpr base::Micros kGrantBound = milliseconds(10'000);
// Lines of what happened that are kept for a failing test.
constexpr std::size_t kHistory = 120;
// Another owner comes so long after the last confirmation; the last one knows
// itself to be the owner for a little less.
constexpr base::Micros kOwnerSilence = milliseconds(1300);
constexpr base::Micros kOwnerCertain = milliseconds(1150);
// Spans on clocks that differ by 2%, at most.
constexpr double kClockSlack = 1.05;
// With so many crashes under it a task may be given up (the platform's pages).
constexpr int kCrashesOfAGivenUpTask = 2;

}  // namespace

SchedulerModel::SchedulerModel(std::uint64_t seed,
                               const ModelFaults& chosen,
                               int worker_count,
                               const std::vector<ModelJob>& handed_in)
    : random(seed), faults(chosen) {
  for (const ModelJob& job : handed_in) {
    StoredJob& stored = this->jobs[job.id];
    stored.job = job;
    stored.progress = jobs::EncodeProgress({});
    stored.version = ++this->version;
    stored.first_version = stored.version;
  }
  for (int i = 0; i < worker_count; ++i)
    this->AddBox("pool");
  this->Succeed();
}

bool SchedulerModel::Chance(double odds) {
  return std::uniform_real_distribution<>(0.0, 1.0)(this->random) < odds;
}

base::Micros SchedulerModel::Between(std::int64_t least_ms,
                                     std::int64_t most_ms) {
  return milliseconds(std::uniform_int_distribution<std::int64_t>(
      least_ms, most_ms)(this->random));
}

void SchedulerModel::After(base::Micros delay, std::function<void()> action) {
  this->events.push_back({.at = this->now + delay,
                          .order = ++this->event_count,
                          .action = std::move(action)});
}

void SchedulerModel::Broke(const std::string& what) {
  this->faults_found.push_back(
      fmt::format("{:.2f} s: {}", base::Seconds(this->now), what));
}

void SchedulerModel::Record(const std::string& what) {
  this->history.push_back(
      fmt::format("{:.2f} s: {}", base::Seconds(this->now), what));
  if (this->history.size() > kHistory)
    this->history.pop_front();
}

std::string SchedulerModel::History() const {
  std::string text;
  for (const std::string& line : this->history)
    text += line + "\n";
  for (const Owner& owner : this->owners) {
    text += fmt::format("owner {}{}\n", owner.epoch, owner.gone ? " gone" : "");
    for (const auto& [id, worker] : owner.scheduler->all_workers()) {
      text += fmt::format(
          "  {} listed {} failed calls {} look in flight {} lease to {:.2f}\n",
          jobs::FormatWorkerIncarnation(id), worker.listed, worker.failed_calls,
          worker.look_in_flight, base::Seconds(worker.lease_end));
      for (const auto& [task, run] : worker.runs) {
        text +=
            fmt::format("    {} {}.{} run {} state {}\n", task.job, task.step,
                        task.index, run.number, static_cast<int>(run.state));
      }
    }
  }
  return text;
}

void SchedulerModel::AddBox(const std::string& pool) {
  const std::string name = fmt::format("box{}", this->worker_lives);
  this->boxes[name].pool = pool;
  this->AddWorker(name);
}

void SchedulerModel::AddWorker(const std::string& box) {
  Worker worker;
  worker.id = fmt::format("w{}", ++this->worker_lives);
  worker.born_ms = base::Millis(this->now);
  worker.box = box;
  worker.capacity = kCapacity;
  worker.clock_rate = this->Chance(0.5) ? 1.0 : 0.98;
  worker.clock_offset = this->Between(0, 1'000'000);
  const scheduler::WorkerInfo info = this->InfoOf(worker);
  this->workers[info.life.id] = std::move(worker);
  for (Owner& owner : this->owners)
    owner.scheduler->PutWorker(info, this->now);
}

scheduler::WorkerInfo SchedulerModel::InfoOf(const Worker& worker) const {
  const auto box = this->boxes.find(worker.box);
  return {.life = {.id = worker.id, .start_ms = worker.born_ms},
          .box = worker.box,
          .service = box == this->boxes.end() ? "pool" : box->second.pool,
          .address = worker.id,
          .zone = "",
          .labels = {},
          .rack = worker.box,
          .capacity = worker.capacity};
}

void SchedulerModel::Darken(const std::string& job) {
  std::vector<std::string> ids;
  for (const auto& [id, worker] : this->workers) {
    const bool runs_it =
        std::any_of(worker.running.begin(), worker.running.end(),
                    [&job](const auto& run) { return run.first.job == job; });
    if (runs_it)
      ids.push_back(id);
  }
  for (const std::string& id : ids) {
    Worker& worker = this->workers.at(id);
    worker.alive = false;
    worker.dark = true;
    worker.running.clear();
    this->boxes.erase(worker.box);
    this->AddBox("pool");
  }
}

// A worker is in the stored list, as held by this owner, before it is granted a
// lease.
void SchedulerModel::RecordListed(Owner& owner) {
  std::vector<jobs::WorkerIncarnation> held;
  for (const auto& [life, worker] : owner.scheduler->all_workers()) {
    if (!worker.listed || worker.recorded)
      continue;
    held.push_back(life);
    this->leases[life.id] = {.life = life, .until = std::nullopt};
  }
  owner.scheduler->WorkersRecorded(held);
}

// Others count from when they saw the last confirmation.
void SchedulerModel::TakeOver() {
  this->is_confirming = false;
  this->RunFor(kOwnerSilence);
  this->Succeed();
}

// A new owner reads the store and knows every worker that may hold a lease.
// The old one is not told: it acts on, unconfirmed.
void SchedulerModel::Succeed() {
  const std::uint64_t epoch = this->owners.size() + 1;
  scheduler::Limits limits;
  limits.lease = kLease;
  limits.grant_bound = kGrantBound;
  limits.longest_grant = base::Micros(static_cast<std::int64_t>(
      static_cast<double>(kLease.count()) * kClockSlack));
  limits.longest_lease = base::Micros(static_cast<std::int64_t>(
      static_cast<double>(kLongestLease.count()) * kClockSlack));
  limits.stop_time = milliseconds(400);
  limits.epoch = epoch;
  limits.fleet = {.move_time = kMoveTime, .upkeep_time = kUpkeepTime};
  Owner owner;
  owner.epoch = epoch;
  owner.scheduler = std::make_unique<scheduler::Scheduler>(limits);
  scheduler::Scheduler& made = *owner.scheduler;
  const auto bound = base::Micros(static_cast<std::int64_t>(
      static_cast<double>(kGrantBound.count()) * kClockSlack));
  this->calls_epoch = epoch;
  std::vector<scheduler::BoxCall> open;
  for (const auto& [box, call] : this->calls)
    open.push_back(call);
  made.InheritBoxCalls(open, this->now);
  for (const auto& [id, worker] : this->workers) {
    const scheduler::WorkerInfo info = this->InfoOf(worker);
    const auto lease = this->leases.find(id);
    if (lease != this->leases.end()) {
      // What the earlier owner held, this one carries with its end.
      std::optional<base::Micros>& until = lease->second.until;
      if (!until)
        until = this->last_confirmed + bound;
      scheduler::WorkerInfo held = info;
      held.life = lease->second.life;
      made.InheritWorker(held, *until);
    }
    if (!worker.dark && worker.announced)
      made.PutWorker(info, this->now);
  }
  jobs::Config config;
  config.services = {{.name = "pool"}, {.name = "other"}};
  made.SetConfig(config, this->now);
  const std::size_t index = this->owners.size();
  for (const auto& [id, stored] : this->jobs) {
    jobs::Progress progress = jobs::DecodeProgress(stored.progress).value();
    // As the entry box does: what is over and placed nowhere is not read.
    if (progress.IsOver())
      continue;
    if (this->Chance(this->faults.late_job)) {
      this->After(this->Between(20, 600),
                  [this, index, job = id] { this->BringJob(index, job); });
      continue;
    }
    scheduler::Job job = this->Make(id, std::move(progress));
    job.version = stored.version;
    made.AddJob(std::move(job), this->now);
    if (stored.cancelled)
      made.CancelJob(id, this->now);
  }
  this->TellWave(made);
  this->owners.push_back(std::move(owner));
  this->is_confirming = true;
  this->Confirm();
}

void SchedulerModel::RunFor(base::Micros span) {
  const base::Micros end = this->now + span;
  while (this->now < end)
    this->Step();
}

void SchedulerModel::Step() {
  this->now += kStep;
  this->Disturb();
  // Due messages, in order of time.
  std::vector<Event> due;
  std::erase_if(this->events, [&](Event& event) {
    if (event.at > this->now)
      return false;
    due.push_back(std::move(event));
    return true;
  });
  std::sort(due.begin(), due.end(), [](const Event& a, const Event& b) {
    return std::pair(a.at, a.order) < std::pair(b.at, b.order);
  });
  for (const Event& event : due)
    event.action();
  for (auto& [id, worker] : this->workers) {
    if (worker.alive)
      this->WorkOn(worker);
  }
  this->ReturnBoxes();
  this->NotePresence();
  this->Confirm();
  this->ForgetSettledCalls();
  for (std::size_t i = 0; i < this->owners.size(); ++i)
    this->Act(i);
}

// Only the newest owner is confirmed by the store.
void SchedulerModel::Confirm() {
  Owner& owner = this->owners.back();
  if (!this->is_confirming || this->now < owner.frozen_until || owner.gone)
    return;
  this->last_confirmed = this->now;
  owner.certain_until = this->now + kOwnerCertain;
  owner.scheduler->Confirmed(this->now, owner.certain_until);
}

void SchedulerModel::Disturb() {
  const double a_step = base::Seconds(kStep);
  if (this->Chance(this->faults.crash * a_step)) {
    auto at = std::next(
        this->workers.begin(),
        static_cast<std::ptrdiff_t>(this->random() % this->workers.size()));
    if (at->second.alive) {
      this->CountLosses(at->second);
      at->second.alive = false;
      at->second.running.clear();
      this->boxes.erase(at->second.box);
      this->AddBox("pool");
    }
  }
  if (this->Chance(this->faults.restart * a_step)) {
    auto at = std::next(
        this->workers.begin(),
        static_cast<std::ptrdiff_t>(this->random() % this->workers.size()));
    if (at->second.alive)
      this->Restart(at->second);
  }
  if (this->Chance(this->faults.shrink * a_step)) {
    auto at = std::next(
        this->workers.begin(),
        static_cast<std::ptrdiff_t>(this->random() % this->workers.size()));
    const jobs::Resources whole = at->second.capacity;
    if (at->second.alive && whole == kCapacity) {
      this->ChangeCapacity(
          at->first,
          {.cpu_millis = 1000, .memory_mb = whole.memory_mb / 2, .gpus = 0});
      this->After(this->Between(1000, 6000), [this, id = at->first] {
        this->ChangeCapacity(id, kCapacity);
      });
    }
  }
  if (this->Chance(this->faults.part_away * a_step)) {
    auto at = std::next(
        this->jobs.begin(),
        static_cast<std::ptrdiff_t>(this->random() % this->jobs.size()));
    at->second.away_until = this->now + this->Between(1000, 6000);
  }
  if (this->Chance(this->faults.cut * a_step)) {
    Owner& owner = this->owners[this->random() % this->owners.size()];
    const auto at = std::next(
        this->workers.begin(),
        static_cast<std::ptrdiff_t>(this->random() % this->workers.size()));
    const std::string id = at->first;
    owner.cut_from.insert(id);
    const std::size_t index =
        static_cast<std::size_t>(&owner - this->owners.data());
    this->After(this->Between(500, 8000),
                [this, index, id] { this->owners[index].cut_from.erase(id); });
  }
  if (this->Chance(this->faults.freeze * a_step))
    this->owners.back().frozen_until = this->now + this->Between(1000, 6000);
  if (this->Chance(this->faults.takeover * a_step) && this->owners.size() < 6 &&
      this->is_confirming) {
    this->is_confirming = false;
    this->After(kOwnerSilence, [this] { this->Succeed(); });
  }
}

// What runs there runs on; owners hear of it from the worker's announcement.
void SchedulerModel::ChangeCapacity(const std::string& id,
                                    const jobs::Resources& capacity) {
  Worker& worker = this->workers.at(id);
  worker.earlier_capacity = worker.capacity;
  worker.capacity_changed = this->now;
  worker.capacity = capacity;
  this->Record(fmt::format("{} has {} thousandths of a core now", id,
                           capacity.cpu_millis));
  this->After(this->Between(20, 1500), [this, id] {
    const Worker& there = this->workers.at(id);
    if (!there.alive || !there.announced)
      return;
    for (Owner& owner : this->owners)
      owner.scheduler->PutWorker(this->InfoOf(there), this->now);
  });
}

void SchedulerModel::Heal() {
  this->faults = {};
  for (Owner& owner : this->owners) {
    owner.cut_from.clear();
    owner.frozen_until = {};
  }
}

void SchedulerModel::Cancel(const std::string& job) {
  this->jobs.at(job).cancelled = true;
  for (Owner& owner : this->owners)
    owner.scheduler->CancelJob(job, this->now);
}

void SchedulerModel::Act(std::size_t index) {
  Owner& owner = this->owners[index];
  if (this->now < owner.frozen_until || owner.gone)
    return;
  this->ListBoxes(index);
  // A stale owner's list is refused for the newer one's epoch in it.
  if (index + 1 == this->owners.size())
    this->RecordListed(owner);
  owner.scheduler->Advance(this->now);
  for (const scheduler::Action& action : owner.scheduler->TakeActions())
    this->Carry(index, action);
  if (owner.scheduler->fenced())
    owner.gone = true;
}

void SchedulerModel::Carry(std::size_t owner, const scheduler::Action& action) {
  if (const auto* start = std::get_if<scheduler::StartRun>(&action))
    this->SendStart(owner, *start);
  else if (const auto* stop = std::get_if<scheduler::StopRun>(&action))
    this->SendStop(owner, *stop);
  else if (const auto* look = std::get_if<scheduler::LookAt>(&action))
    this->SendLook(owner, *look);
  else if (const auto* save = std::get_if<scheduler::SaveProgress>(&action))
    this->Save(owner, *save);
  else if (const auto* read = std::get_if<scheduler::ReadJob>(&action))
    this->ReadJob(owner, read->job);
  else if (const auto* move = std::get_if<scheduler::MoveBox>(&action))
    this->Record(owner, *move);
  else if (const auto* upkeep = std::get_if<scheduler::UpkeepBox>(&action))
    this->Record(owner, *upkeep);
  else if (const auto* lost = std::get_if<scheduler::WorkerLost>(&action))
    this->Record(fmt::format(
        "owner {}: {} is lost ({}) with {} runs", this->owners[owner].epoch,
        lost->worker.id, base::NameOf(scheduler::kLossSignNames, lost->sign),
        lost->runs.size()));
  else if (const auto* again = std::get_if<scheduler::WorkerRestarted>(&action))
    this->Record(fmt::format(
        "owner {}: {} has started again, {} runs may be there",
        this->owners[owner].epoch, again->worker.id, again->moved_runs));
  else if (const auto* task = std::get_if<scheduler::TaskGivenUp>(&action))
    this->Record(fmt::format("owner {}: {} {}.{} is given up",
                             this->owners[owner].epoch, task->job,
                             task->task.step.step, task->task.index));
  else if (const auto* note = std::get_if<scheduler::Note>(&action))
    this->Record(fmt::format("owner {}: {}: {}", this->owners[owner].epoch,
                             note->subject, note->text));
}

// --- What came of it ---

jobs::JobState SchedulerModel::StateOf(const std::string& job) const {
  return jobs::DecodeProgress(this->jobs.at(job).progress)->state;
}

int SchedulerModel::TasksThatMayBeGivenUp(const std::string& job) const {
  const auto& lost = this->jobs.at(job).lost_workers;
  return static_cast<int>(
      std::count_if(lost.begin(), lost.end(), [](const auto& entry) {
        return entry.second >= kCrashesOfAGivenUpTask;
      }));
}

int SchedulerModel::RunningTasks(const std::string& job) const {
  int count = 0;
  for (const auto& [id, worker] : this->workers) {
    for (const auto& [task, run] : worker.running)
      count += worker.alive && task.job == job;
  }
  return count;
}

}  // namespace quartzhoist::testing
