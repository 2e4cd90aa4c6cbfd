#include "testing/scheduler_model.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "entry/inherited_leases.h"
#include "entry/tables.h"

namespace quartzhoist::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Micros kStep = milliseconds(20);
constexpr base::Micros kLease = milliseconds(5000);
constexpr base::Micros kGrantBound = milliseconds(10'000);
// Number of events kept to diagnose a failed test.
constexpr std::size_t kHistoryLines = 120;
// A new owner starts this long after the last confirmation. A confirmed owner
// may act for a shorter time, so that the two don't overlap.
constexpr base::Micros kTakeoverDelay = milliseconds(1300);
constexpr base::Micros kOwnershipValidity = milliseconds(1150);
// Bounds a time span on another clock. Worker clocks are up to 2% slow; the
// rest is a margin.
constexpr double kClockDriftFactor = 1.05;
// Owners report expected waits with each renewal.
constexpr base::Micros kReportPeriod = milliseconds(450);
// An owner does not know its load before this.
constexpr base::Micros kUnknownLoadPeriod = seconds(1);

// One queue for each pool, for the expected waits. They are named otherwise
// than the queue of the model's jobs, which keeps its attempts.
std::vector<jobs::Queue> ModelQueues() {
  std::vector<jobs::Queue> queues;
  for (const char* pool : {"pool", "other"}) {
    jobs::Queue& queue = queues.emplace_back();
    queue.name = fmt::format("waits of {}", pool);
    queue.service = pool;
  }
  return queues;
}

}  // namespace

SchedulerModel::SchedulerModel(std::uint64_t seed,
                               const ModelFaults& chosen,
                               int worker_count,
                               const std::vector<ModelJob>& submitted)
    : random(seed), faults(chosen) {
  for (const ModelJob& job : submitted) {
    StoredJob& stored = this->jobs[job.id];
    stored.job = job;
    stored.progress = jobs::EncodeProgress({});
    stored.version = ++this->version;
    stored.first_version = stored.version;
  }
  for (int i = 0; i < worker_count; ++i)
    this->AddBox("pool");
  this->StartNewOwner("");
}

bool SchedulerModel::Chance(double odds) {
  return std::uniform_real_distribution<>(0.0, 1.0)(this->random) < odds;
}

base::Micros SchedulerModel::Between(std::int64_t least_ms,
                                     std::int64_t most_ms) {
  return milliseconds(std::uniform_int_distribution<std::int64_t>(
      least_ms, most_ms)(this->random));
}

void SchedulerModel::ScheduleAfter(base::Micros delay,
                                   std::function<void()> action) {
  this->events.push_back({.at = this->now + delay,
                          .order = ++this->event_count,
                          .action = std::move(action)});
}

void SchedulerModel::ReportViolation(const std::string& what) {
  this->violations_found.push_back(
      fmt::format("{:.2f} s: {}", base::Seconds(this->now), what));
}

void SchedulerModel::LogEvent(const std::string& what) {
  this->history.push_back(
      fmt::format("{:.2f} s: {}", base::Seconds(this->now), what));
  if (this->history.size() > kHistoryLines)
    this->history.pop_front();
}

std::string SchedulerModel::History() const {
  std::string text;
  for (const std::string& line : this->history)
    text += line + "\n";
  for (const Owner& owner : this->owners) {
    text += fmt::format("owner {}{}\n", owner.epoch,
                        owner.is_fenced ? " gone" : "");
    for (const auto& [id, worker] : owner.scheduler->all_workers()) {
      text += fmt::format(
          "  {} listed {} failed calls {} look in flight {} lease to {:.2f}\n",
          jobs::FormatWorkerIncarnation(id), worker.has_reported,
          worker.failed_calls, worker.poll_in_flight,
          base::Seconds(worker.latest_lease_end));
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
  const std::string name = fmt::format("box{}", this->incarnation_count);
  this->boxes[name].pool = pool;
  this->AddWorker(name);
}

void SchedulerModel::AddWorker(const std::string& box) {
  Worker worker;
  worker.id = fmt::format("w{}", ++this->incarnation_count);
  worker.born_ms = base::Millis(this->now);
  worker.box = box;
  worker.capacity = kWorkerCapacity;
  worker.labels = {this->incarnation_count % 2 == 0 ? kEvenLabel : kOddLabel};
  worker.clock_rate = this->Chance(0.5) ? 1.0 : 0.98;
  worker.clock_offset = this->Between(0, 1'000'000);
  Worker& added = this->workers[worker.id] = worker;
  this->Heartbeat(added);
  added.next_heartbeat = this->now + this->Between(0, 1500);
}

scheduler::WorkerInfo SchedulerModel::InfoOf(const Worker& worker) const {
  const auto box = this->boxes.find(worker.box);
  return {.incarnation = {.id = worker.id, .start_ms = worker.born_ms},
          .box = worker.box,
          .service = box == this->boxes.end() ? "pool" : box->second.pool,
          .address = worker.id,
          .zone = "",
          .labels = worker.labels,
          .rack = worker.box,
          .capacity = worker.capacity,
          .announced_clock_ms = base::Millis(this->ClockOf(worker))};
}

void SchedulerModel::SilenceWorkersOf(const std::string& job) {
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
    worker.silent = true;
    worker.running.clear();
    this->announcements.erase(id);
    this->boxes.erase(worker.box);
    this->AddBox("pool");
  }
}

// Stores the workers that may hold a lease, when they change. This precedes
// each worker's first lease from the owner.
void SchedulerModel::RecordLeaseHolders(Owner& owner) {
  const std::uint64_t changes = owner.scheduler->worker_changes();
  if (this->IsStoreDown() || owner.recorded_changes == changes)
    return;
  owner.recorded_changes = changes;
  entry::LeaseRecord record{
      .epoch = owner.epoch, .writer = owner.daemon, .workers = {}};
  std::vector<jobs::WorkerIncarnation> held;
  for (const auto& [incarnation, worker] : owner.scheduler->all_workers()) {
    if (!worker.has_reported && worker.latest_lease_end <= this->now)
      continue;
    if (worker.has_reported)
      held.push_back(incarnation);
    // Rounded up to whole milliseconds.
    const std::int64_t expires =
        base::Millis(std::max(worker.latest_lease_end, this->now)) + 1;
    record.workers.push_back({.worker = worker.info,
                              .held = worker.has_reported,
                              .expires_store_ms = expires});
  }
  this->lease_record = entry::EncodeLeases(record);
  owner.scheduler->WorkersRecorded(held);
}

// The takeover delay counts from the last confirmation that was seen.
void SchedulerModel::TakeOver() {
  this->is_confirming = false;
  this->RunFor(kTakeoverDelay);
  while (!this->TakesAnnouncements())
    this->Step();
  this->StartNewOwner("");
}

void SchedulerModel::BeginTakeover(base::Micros delay) {
  this->ScheduleAfter(delay, [this] {
    if (!this->is_confirming)
      return;
    this->is_confirming = false;
    this->ScheduleAfter(kTakeoverDelay,
                        [this] { this->StartNewOwnerFromStore(); });
  });
}

void SchedulerModel::RestartOwner(base::Micros delay) {
  this->is_confirming = false;
  this->owners.back().is_fenced = true;
  const std::string daemon = this->owners.back().daemon;
  this->LogEvent(fmt::format("owner {} ends", this->owners.back().epoch));
  this->RunFor(delay);
  while (!this->TakesAnnouncements())
    this->Step();
  this->StartNewOwner(daemon);
}

void SchedulerModel::StartNewOwnerFromStore() {
  if (this->TakesAnnouncements()) {
    this->StartNewOwner("");
    return;
  }
  this->ScheduleAfter(
      this->announcements_down_until - this->now + this->Between(0, 600),
      [this] { this->StartNewOwnerFromStore(); });
}

void SchedulerModel::InheritLeases(scheduler::Scheduler& successor,
                                   const std::string& daemon) const {
  const auto with_drift = [](base::Micros span) {
    return base::Micros(static_cast<std::int64_t>(
        static_cast<double>(span.count()) * kClockDriftFactor));
  };
  const auto record = entry::DecodeLeases(this->lease_record);
  if (!record)
    return;
  entry::EarlierOwners earlier{.confirmed = this->last_confirmed,
                               .writer_ended = {}};
  if (record->writer == daemon)
    earlier.writer_ended = this->now;
  const entry::GrantBounds bounds{.after_confirmation = with_drift(kGrantBound),
                                  .longest_grant = with_drift(kLease)};
  for (const entry::LeaseHolder& holder : record->workers) {
    successor.InheritWorker(
        holder.worker,
        entry::InheritedLeaseEnd(holder, milliseconds(holder.expires_store_ms),
                                 earlier, bounds));
  }
}

// Starts an owner that reads the store, including every worker that may hold a
// lease. The previous owner isn't told: it goes on without confirmations. An
// empty `daemon` stands for one that has not owned the shard.
void SchedulerModel::StartNewOwner(const std::string& daemon) {
  const std::uint64_t epoch = this->owners.size() + 1;
  scheduler::SchedulerLimits limits;
  limits.lease_duration = kLease;
  limits.max_lease_after_confirmation = kGrantBound;
  limits.max_grant = base::Micros(static_cast<std::int64_t>(
      static_cast<double>(kLease.count()) * kClockDriftFactor));
  limits.max_lease = base::Micros(static_cast<std::int64_t>(
      static_cast<double>(kLongestLease.count()) * kClockDriftFactor));
  limits.max_stop_time = milliseconds(400);
  limits.max_announcement_age = kHeartbeat * 5 / 2;
  limits.epoch = epoch;
  limits.fleet = {.move_duration = kMoveTime,
                  .maintenance_duration = kMaintenanceTime};
  Owner owner;
  owner.epoch = epoch;
  owner.daemon = daemon.empty() ? fmt::format("daemon{}", epoch) : daemon;
  owner.begun = this->now;
  owner.scheduler = std::make_unique<scheduler::Scheduler>(limits);
  scheduler::Scheduler& successor = *owner.scheduler;
  this->calls_epoch = epoch;
  std::vector<scheduler::BoxCall> open;
  for (const auto& [box, call] : this->calls)
    open.push_back(call);
  successor.InheritBoxCalls(open, this->now);
  this->InheritLeases(successor, owner.daemon);
  for (const auto& [id, announced] : this->announcements)
    successor.UpdateWorker(announced, this->now);
  jobs::Config config;
  config.services = {{.name = "pool"}, {.name = "other"}};
  config.queues = ModelQueues();
  successor.SetConfig(config, this->now);
  const std::size_t index = this->owners.size();
  for (const auto& [id, stored] : this->jobs) {
    jobs::Progress progress = jobs::DecodeProgress(stored.progress).value();
    // As the entry box does, skips jobs that are over and placed nowhere.
    if (progress.IsOver())
      continue;
    if (this->Chance(this->faults.late_job)) {
      this->ScheduleAfter(this->Between(20, 600), [this, index, job = id] {
        this->DeliverJobFromFeed(index, job);
      });
      continue;
    }
    scheduler::Job job = this->MakeJob(id, std::move(progress));
    job.version = stored.version;
    successor.AddJob(std::move(job), this->now);
    if (stored.cancelled)
      successor.CancelJob(id, this->now);
  }
  this->SendWave(successor);
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
  this->InjectFaults(kStep);
  // Deliver the messages that are due, in order of time.
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
    if (worker.alive) {
      this->AdvanceRuns(worker);
      this->Heartbeat(worker);
    }
  }
  this->ReturnBoxes();
  this->UpdatePresence();
  this->Confirm();
  this->EraseSettledCalls();
  for (std::size_t i = 0; i < this->owners.size(); ++i)
    this->RunOwner(i);
}

// The store confirms only the newest owner.
void SchedulerModel::Confirm() {
  Owner& owner = this->owners.back();
  if (!this->is_confirming || this->IsStoreDown() ||
      this->now < owner.paused_until || owner.is_fenced)
    return;
  this->last_confirmed = this->now;
  owner.certain_until = this->now + kOwnershipValidity;
  owner.scheduler->OwnershipConfirmed(this->now, owner.certain_until);
}

void SchedulerModel::RunWhenAwake(std::size_t index,
                                  const std::function<void()>& action) {
  const base::Micros resume_at = this->owners[index].paused_until;
  if (this->now >= resume_at) {
    action();
    return;
  }
  this->ScheduleAfter(resume_at - this->now, [this, index, action] {
    this->RunWhenAwake(index, action);
  });
}

void SchedulerModel::Heal() {
  this->faults = {};
  for (Owner& owner : this->owners) {
    owner.partitioned_from.clear();
    owner.paused_until = {};
  }
}

void SchedulerModel::Cancel(const std::string& job) {
  this->jobs.at(job).cancelled = true;
  for (Owner& owner : this->owners)
    owner.scheduler->CancelJob(job, this->now);
}

void SchedulerModel::RunOwner(std::size_t index) {
  Owner& owner = this->owners[index];
  if (this->now < owner.paused_until || owner.is_fenced)
    return;
  this->ListBoxes(index);
  // The store refuses the list of a stale owner because of its epoch.
  if (index + 1 == this->owners.size())
    this->RecordLeaseHolders(owner);
  owner.scheduler->Advance(this->now);
  for (const scheduler::Action& action : owner.scheduler->TakeActions())
    this->Dispatch(index, action);
  this->CheckExpectedWaits(owner);
  if (owner.scheduler->fenced())
    owner.is_fenced = true;
}

// By a wait, jobs are rejected: a wrong one turns callers away.
void SchedulerModel::CheckExpectedWaits(Owner& owner) {
  if (this->now < owner.next_report)
    return;
  owner.next_report = this->now + kReportPeriod;
  const scheduler::Scheduler& scheduler = *owner.scheduler;
  const bool is_new = this->now - owner.begun < kUnknownLoadPeriod;
  if (is_new && !scheduler.ReportableWaits(this->now).empty())
    this->ReportViolation(
        fmt::format("owner {} reports waits in its first second", owner.epoch));
  const auto waits = scheduler.ExpectedWaits(this->now);
  for (const jobs::Queue& queue : ModelQueues()) {
    const auto found = waits.find(queue.name);
    if (found == waits.end())
      continue;
    const auto& workers = scheduler.all_workers();
    const bool has_boxes = std::any_of(
        workers.begin(), workers.end(), [&queue](const auto& entry) {
          return entry.second.info.service == queue.service;
        });
    const auto allocated = scheduler.AllocatedCores().find(queue.service);
    const bool gets_boxes = allocated != scheduler.AllocatedCores().end() &&
                            allocated->second > 0.0;
    if (!has_boxes && !gets_boxes)
      this->ReportViolation(fmt::format("owner {} has {} without a box",
                                        owner.epoch, queue.name));
    const scheduler::ExpectedWait& wait = found->second;
    if (wait.within_rate < base::Micros::zero() ||
        wait.over_rate < wait.within_rate)
      this->ReportViolation(fmt::format(
          "owner {} has {} of {} and {} us", owner.epoch, queue.name,
          wait.within_rate.count(), wait.over_rate.count()));
  }
}

void SchedulerModel::Dispatch(std::size_t owner,
                              const scheduler::Action& action) {
  if (const auto* start = std::get_if<scheduler::StartRun>(&action))
    this->SendStart(owner, *start);
  else if (const auto* stop = std::get_if<scheduler::StopRun>(&action))
    this->SendStop(owner, *stop);
  else if (const auto* poll = std::get_if<scheduler::PollWorker>(&action))
    this->SendPoll(owner, *poll);
  else if (const auto* save = std::get_if<scheduler::SaveProgress>(&action))
    this->Save(owner, *save);
  else if (const auto* read = std::get_if<scheduler::LoadJob>(&action))
    this->ReadJob(owner, read->job);
  else if (const auto* move = std::get_if<scheduler::MoveBox>(&action))
    this->RecordCall(owner, *move);
  else if (const auto* maintenance =
               std::get_if<scheduler::MaintainBox>(&action))
    this->RecordCall(owner, *maintenance);
  else if (const auto* lost = std::get_if<scheduler::WorkerLost>(&action))
    this->LogEvent(
        fmt::format("owner {}: {} is lost ({}) with {} runs",
                    this->owners[owner].epoch, lost->worker.id,
                    base::NameOf(scheduler::kLossReasonNames, lost->reason),
                    lost->runs.size()));
  else if (const auto* again = std::get_if<scheduler::WorkerRestarted>(&action))
    this->LogEvent(fmt::format(
        "owner {}: {} has started again, {} runs may be there",
        this->owners[owner].epoch, again->worker.id, again->transferred_runs));
  else if (const auto* task = std::get_if<scheduler::TaskGivenUp>(&action))
    this->LogEvent(fmt::format("owner {}: {} {}.{} is given up",
                               this->owners[owner].epoch, task->job,
                               task->task.step.step, task->task.index));
  else if (const auto* failed = std::get_if<scheduler::JobFailed>(&action))
    this->CheckFailureReport(*failed);
  else if (const auto* stalled =
               std::get_if<scheduler::LongRunningStalled>(&action))
    this->reported_stalls.push_back(*stalled);
  else if (const auto* note = std::get_if<scheduler::LogNote>(&action))
    this->LogEvent(fmt::format("owner {}: {}: {}", this->owners[owner].epoch,
                               note->subject, note->text));
}

}  // namespace quartzhoist::testing
