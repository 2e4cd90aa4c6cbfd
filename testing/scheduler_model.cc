#include "testing/scheduler_model.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace quartzhoist::testing {

namespace {

using scheduler::OrderOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Micros kStep = milliseconds(20);
constexpr base::Micros kLease = milliseconds(5000);
constexpr base::Micros kGrantBound = milliseconds(10'000);
// Lines of what happened that are kept for a failing test.
constexpr std::size_t kHistory = 60;
constexpr base::Micros kOrderTimeout = milliseconds(800);
// An end counts as noted once its worker was told so, or this long after it
// was listed.
constexpr double kClockSlack = 1.05;

scheduler::TaskPlace PlaceOf(const jobs::TaskId& task) {
  return scheduler::PlaceOf(task);
}

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
  }
  for (int i = 0; i < worker_count; ++i)
    this->AddWorker(i);
  this->TakeOver();
}

bool SchedulerModel::Chance(double odds) {
  return std::uniform_real_distribution<>(0.0, 1.0)(this->random) < odds;
}

base::Micros SchedulerModel::Between(std::int64_t least_ms,
                                     std::int64_t most_ms) {
  return milliseconds(
      std::uniform_int_distribution<std::int64_t>(least_ms, most_ms)(
          this->random));
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
          id, worker.listed, worker.failed_calls, worker.look_in_flight,
          base::Seconds(worker.lease_end));
      for (const auto& [task, run] : worker.runs) {
        text += fmt::format("    {} {}.{} run {} state {}\n", task.job,
                            task.step, task.index, run.number,
                            static_cast<int>(run.state));
      }
    }
  }
  return text;
}

void SchedulerModel::AddWorker(int number) {
  Worker worker;
  worker.id = fmt::format("w{}-{}", number, ++this->worker_lives);
  worker.capacity = {.cpu_millis = 4000, .memory_mb = 4000, .gpus = 0};
  worker.clock_rate = this->Chance(0.5) ? 1.0 : 0.98;
  worker.clock_offset = this->Between(0, 1'000'000);
  const std::string id = worker.id;
  this->workers[id] = std::move(worker);
  const scheduler::WorkerInfo info{
      .id = id,
      .box = fmt::format("box{}", number),
      .service = "pool",
      .address = id,
      .zone = "",
      .labels = {},
      .rack = fmt::format("rack{}", number / 2),
      .capacity = this->workers[id].capacity};
  for (Owner& owner : this->owners) {
    owner.scheduler->PutWorker(info, this->now);
    owner.scheduler->WorkersRecorded({id});
  }
}

// A new owner reads the store and knows every worker that may hold a lease.
// The old one is not told: it acts on, unconfirmed.
void SchedulerModel::TakeOver() {
  const std::uint64_t epoch = this->owners.size() + 1;
  scheduler::Limits limits;
  limits.lease = kLease;
  limits.grant_bound = kGrantBound;
  limits.stop_time = milliseconds(400);
  limits.gang_wait = seconds(3);
  limits.epoch = epoch;
  Owner owner;
  owner.epoch = epoch;
  owner.scheduler = std::make_unique<scheduler::Scheduler>(limits);
  scheduler::Scheduler& made = *owner.scheduler;
  const auto bound = base::Micros(static_cast<std::int64_t>(
      static_cast<double>(kGrantBound.count()) * kClockSlack));
  for (const auto& [id, worker] : this->workers) {
    const scheduler::WorkerInfo info{.id = id,
                                     .box = id,
                                     .service = "pool",
                                     .address = id,
                                     .zone = "",
                                     .labels = {},
                                     .rack = id.substr(0, 2),
                                     .capacity = worker.capacity};
    if (epoch > 1)
      made.InheritWorker(info, this->now + bound);
    made.PutWorker(info, this->now);
    made.WorkersRecorded({id});
  }
  jobs::Config config;
  config.services.push_back({.name = "pool"});
  made.SetConfig(config, this->now);
  made.Confirmed(this->now);
  for (const auto& [id, stored] : this->jobs) {
    jobs::Queue queue;
    queue.name = "queue";
    queue.service = "pool";
    queue.attempts = stored.job.attempts;
    scheduler::Job job = scheduler::MakeJob(
        id, queue, stored.job.spec,
        jobs::DecodeProgress(stored.progress).value(), this->now, {});
    job.version = stored.version;
    made.AddJob(std::move(job), this->now);
    if (stored.cancelled)
      made.CancelJob(id, this->now);
  }
  this->owners.push_back(std::move(owner));
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
  // Only the newest owner is confirmed by the store.
  if (this->now >= this->owners.back().frozen_until)
    this->owners.back().scheduler->Confirmed(this->now);
  for (std::size_t i = 0; i < this->owners.size(); ++i)
    this->Act(i);
}

void SchedulerModel::Disturb() {
  const double a_step = base::Seconds(kStep);
  if (this->Chance(this->faults.crash * a_step)) {
    auto at = std::next(
        this->workers.begin(),
        static_cast<std::ptrdiff_t>(this->random() % this->workers.size()));
    if (at->second.alive) {
      at->second.alive = false;
      at->second.running.clear();
      this->AddWorker(static_cast<int>(this->random() % 100));
    }
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
    this->After(this->Between(500, 8000), [this, index, id] {
      this->owners[index].cut_from.erase(id);
    });
  }
  if (this->Chance(this->faults.freeze * a_step))
    this->owners.back().frozen_until = this->now + this->Between(1000, 6000);
  if (this->Chance(this->faults.takeover * a_step) && this->owners.size() < 6)
    this->TakeOver();
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
  else if (const auto* note = std::get_if<scheduler::Note>(&action))
    this->Record(fmt::format("owner {}: {}: {}", this->owners[owner].epoch,
                             note->subject, note->text));
}

// --- Messages ----------------------------------------------------------------

void SchedulerModel::Deliver(std::size_t index,
                             const std::string& id,
                             std::function<OrderOutcome(Worker&)> carry_out,
                             std::function<void(OrderOutcome)> answer) {
  const auto answer_after = [this, index, answer](base::Micros delay,
                                                  OrderOutcome outcome) {
    this->After(delay, [this, index, answer, outcome] {
      // A frozen owner reads its answers when it thaws.
      const base::Micros thaw = this->owners[index].frozen_until;
      if (this->now < thaw)
        this->After(thaw - this->now, [answer, outcome] { answer(outcome); });
      else
        answer(outcome);
    });
  };
  const bool is_cut = this->owners[index].cut_from.contains(id);
  const auto found = this->workers.find(id);
  const bool is_dead = found == this->workers.end() || !found->second.alive;
  if (is_dead) {
    answer_after(milliseconds(5), this->Chance(0.5) ? OrderOutcome::kOtherLife
                                                    : OrderOutcome::kUnknown);
    return;
  }
  if (is_cut || this->Chance(this->faults.lost_order)) {
    answer_after(kOrderTimeout, OrderOutcome::kUnknown);
    return;
  }
  const bool late = this->Chance(this->faults.late_order);
  const bool lost = late || this->Chance(this->faults.lost_answer);
  const base::Micros delay =
      late ? this->Between(2000, 6000) : this->Between(1, 30);
  if (lost)
    answer_after(kOrderTimeout, OrderOutcome::kUnknown);
  this->After(delay, [this, id, carry_out, lost, answer_after] {
    Worker& worker = this->workers.at(id);
    if (!worker.alive) {
      if (!lost)
        answer_after(kOrderTimeout, OrderOutcome::kUnknown);
      return;
    }
    const OrderOutcome outcome = carry_out(worker);
    if (!lost)
      answer_after(this->Between(1, 30), outcome);
  });
}

void SchedulerModel::SendStart(std::size_t index,
                               const scheduler::StartRun& order) {
  scheduler::Scheduler& by = *this->owners[index].scheduler;
  const base::Micros end = by.LeaseEnd(this->now);
  const base::Micros deadline =
      milliseconds(by.Deadline(order.worker, end));
  if (deadline <= base::Micros::zero() || end <= this->now ||
      !by.StillWanted(order)) {
    by.Started(order, OrderOutcome::kNotSent, this->now);
    return;
  }
  by.Granted(order.worker, end);
  const std::uint64_t epoch = this->owners[index].epoch;
  this->Deliver(
      index, order.worker,
      [this, order, epoch, deadline](Worker& worker) {
        return this->BeginRun(worker, order, epoch, deadline);
      },
      [this, index, order](OrderOutcome outcome) {
        this->owners[index].scheduler->Started(order, outcome, this->now);
      });
}

void SchedulerModel::SendStop(std::size_t index,
                              const scheduler::StopRun& order) {
  const std::uint64_t epoch = this->owners[index].epoch;
  this->Deliver(
      index, order.worker,
      [this, order, epoch](Worker& worker) {
        if (epoch < worker.epoch)
          return OrderOutcome::kFenced;
        worker.epoch = epoch;
        int& over = worker.over[order.task];
        over = std::max(over, order.run);
        const auto run = worker.running.find(order.task);
        if (run != worker.running.end() && run->second.number == order.run &&
            !run->second.stopping) {
          run->second.stopping = true;
          run->second.ends = this->now + this->Between(0, 380);
        }
        return OrderOutcome::kDone;
      },
      [this, index, order](OrderOutcome outcome) {
        this->owners[index].scheduler->Stopped(order, outcome, this->now);
      });
}

void SchedulerModel::SendLook(std::size_t index,
                              const scheduler::LookAt& order) {
  scheduler::Scheduler& by = *this->owners[index].scheduler;
  const base::Micros end = by.LeaseEnd(this->now);
  const base::Micros deadline =
      order.renews ? milliseconds(by.Deadline(order.worker, end))
                   : milliseconds(0);
  by.LookSent(order.worker, this->now);
  if (deadline > base::Micros::zero())
    by.Granted(order.worker, end);
  const std::uint64_t epoch = this->owners[index].epoch;
  auto listing = std::make_shared<scheduler::Listing>();
  this->Deliver(
      index, order.worker,
      [this, order, epoch, deadline, listing](Worker& worker) {
        if (epoch < worker.epoch)
          return OrderOutcome::kFenced;
        worker.epoch = epoch;
        worker.deadline = std::max(worker.deadline, deadline);
        this->Note(worker, order.acknowledged);
        *listing = this->ListingOf(worker);
        return OrderOutcome::kDone;
      },
      [this, index, order, listing](OrderOutcome outcome) {
        scheduler::Scheduler& owner = *this->owners[index].scheduler;
        if (outcome == OrderOutcome::kDone)
          owner.Listed(order.worker, *listing, this->now);
        else
          owner.LookFailed(order.worker, outcome, this->now);
      });
}

void SchedulerModel::Save(std::size_t index,
                          const scheduler::SaveProgress& save) {
  const auto write = [this, save] {
    StoredJob& stored = this->jobs.at(save.job);
    if (stored.version != save.version)
      return false;
    stored.version = ++this->version;
    stored.progress = save.text;
    return true;
  };
  const auto answer = [this, index](scheduler::SaveResult result) {
    this->owners[index].scheduler->Saved(result, this->now);
  };
  const bool late = this->Chance(this->faults.late_save);
  const bool lost = late || this->Chance(this->faults.lost_save);
  const base::Micros delay =
      late ? this->Between(1000, 4000) : this->Between(1, 20);
  scheduler::SaveResult result{.job = save.job, .change = save.change};
  if (lost)
    this->After(milliseconds(1500), [answer, result] { answer(result); });
  this->After(delay, [this, write, answer, lost, result]() mutable {
    const bool written = write();
    const StoredJob& stored = this->jobs.at(result.job);
    result.version = stored.version;
    result.outcome = written ? scheduler::SaveOutcome::kSaved
                             : scheduler::SaveOutcome::kConflict;
    if (!written)
      result.stored = jobs::DecodeProgress(stored.progress);
    if (!lost)
      this->After(milliseconds(3), [answer, result] { answer(result); });
  });
}

// --- Workers -----------------------------------------------------------------

base::Micros SchedulerModel::ClockOf(const Worker& worker) const {
  return worker.clock_offset +
         base::Micros(static_cast<std::int64_t>(
             static_cast<double>(this->now.count()) * worker.clock_rate));
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
  worker.deadline = std::max(worker.deadline, deadline);
  const auto over = worker.over.find(order.task);
  const auto run = worker.running.find(order.task);
  if (run != worker.running.end() && run->second.number == order.run)
    return OrderOutcome::kDone;
  if (over != worker.over.end() && order.run <= over->second)
    return OrderOutcome::kOld;
  this->JudgeStart(worker, order);
  this->Record(fmt::format("{} starts {} {}.{} run {}", worker.id,
                           order.task.job, order.task.step, order.task.index,
                           order.run));
  ++this->start_count;
  const jobs::Step& step =
      this->jobs.at(order.task.job)
          .job.spec.steps[static_cast<std::size_t>(order.task.step)];
  const bool fails = this->Chance(this->faults.failing_run);
  base::Micros ends = this->now + this->Between(200, 2500);
  if (step.lasting && !fails)
    ends = base::Micros::max();
  worker.running[order.task] = {
      .number = order.run, .ends = ends, .fails = fails};
  return OrderOutcome::kDone;
}

void SchedulerModel::JudgeStart(const Worker& worker,
                                const scheduler::StartRun& order) {
  const StoredJob& stored = this->jobs.at(order.task.job);
  const scheduler::TaskPlace place = PlaceOf(order.task);
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
  if (!step.lasting && failed != stored.failed.end() &&
      failed->second >= stored.job.attempts)
    this->Broke(name + " starts after its last attempt failed");
  for (const int before : step.after) {
    const auto& earlier =
        stored.job.spec.steps[static_cast<std::size_t>(before)];
    for (int i = 0; i < earlier.tasks; ++i) {
      if (!stored.ever_done.contains({0, before, i}))
        this->Broke(name + " starts before an earlier step is done");
    }
  }
  jobs::Resources used = step.each;
  for (const auto& [task, run] : worker.running) {
    used = used + this->jobs.at(task.job)
                      .job.spec.steps[static_cast<std::size_t>(task.step)]
                      .each;
  }
  if (!jobs::Fits(used, worker.capacity))
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
    this->jobs.at(task.job).ever_done.insert(PlaceOf(task));
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
      stored.done.insert(PlaceOf(end.task));
    if (end.how == scheduler::RunEnd::kFailed)
      ++stored.failed[PlaceOf(end.task)];
  }
  std::erase_if(worker.ends, [acknowledged](const scheduler::ListedEnd& end) {
    return end.number <= acknowledged;
  });
}

scheduler::Listing SchedulerModel::ListingOf(const Worker& worker) const {
  scheduler::Listing listing;
  listing.clock_ms =
      std::chrono::duration_cast<milliseconds>(this->ClockOf(worker)).count();
  for (const auto& [task, run] : worker.running) {
    if (run.stopping)
      continue;
    listing.running.push_back({.task = task,
                               .run = run.number,
                               .checkpoint = "",
                               .percent = 100});
  }
  listing.ended = worker.ends;
  return listing;
}

// --- What came of it ---------------------------------------------------------

jobs::JobState SchedulerModel::StateOf(const std::string& job) const {
  return jobs::DecodeProgress(this->jobs.at(job).progress)->state;
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
