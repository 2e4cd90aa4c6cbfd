// The model's workers: runs, ends, leases, and the invariants of each start.

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "testing/scheduler_model.h"

namespace quartzhoist::testing {

namespace {

using scheduler::CommandOutcome;
using std::chrono::milliseconds;

// An owner must not rely on a capacity for longer than the store keeps an
// announcement that is not renewed, even while the store is down.
constexpr base::Micros kCapacityNoticeTime = 3 * kHeartbeat;

// Most ends in a report. Workers list hundreds; few tasks run in the model.
constexpr std::size_t kMaxReportedEnds = 3;

}  // namespace

base::Micros SchedulerModel::ClockOf(const Worker& worker) const {
  return worker.clock_offset +
         base::Micros(static_cast<std::int64_t>(
             static_cast<double>(this->now.count()) * worker.clock_rate));
}

void SchedulerModel::GrantLease(Worker& worker, base::Micros deadline) const {
  const base::Micros latest = this->ClockOf(worker) + kLongestLease;
  worker.lease_deadline =
      std::max(worker.lease_deadline, std::min(deadline, latest));
}

CommandOutcome SchedulerModel::BeginRun(Worker& worker,
                                        const scheduler::StartRun& command,
                                        std::uint64_t epoch,
                                        base::Micros deadline) {
  if (epoch < worker.epoch)
    return CommandOutcome::kFenced;
  worker.epoch = epoch;
  if (deadline < this->ClockOf(worker))
    return CommandOutcome::kLeaseExpired;
  this->GrantLease(worker, deadline);
  const auto over = worker.highest_over_run.find(command.task);
  const auto run = worker.running.find(command.task);
  if (run != worker.running.end() && run->second.number == command.run)
    return CommandOutcome::kDone;
  if (over != worker.highest_over_run.end() && command.run <= over->second)
    return CommandOutcome::kSuperseded;
  this->CheckStart(worker, command);
  this->CheckWorkerSuits(worker, command);
  this->CheckCrashLimit(command);
  this->LogEvent(fmt::format("{} starts {} {}.{} run {}", worker.id,
                             command.task.job, command.task.step,
                             command.task.index, command.run));
  ++this->start_count;
  const jobs::Step& step =
      this->jobs.at(command.task.job)
          .job.spec.steps[static_cast<std::size_t>(command.task.step)];
  const bool fails = this->Chance(this->faults.failing_run);
  base::Micros ends = this->now + this->Between(200, 2500);
  const bool crashes =
      this->jobs.at(command.task.job)
          .job.crashing.contains(scheduler::PositionOf(command.task));
  if (crashes || (step.long_running && !fails))
    ends = base::Micros::max();
  worker.running[command.task] = {
      .number = command.run, .ends = ends, .fails = fails};
  this->ScheduleCrash(worker, command);
  return CommandOutcome::kDone;
}

void SchedulerModel::ScheduleCrash(const Worker& worker,
                                   const scheduler::StartRun& command) {
  const ModelJob& job = this->jobs.at(command.task.job).job;
  const scheduler::TaskPosition position = scheduler::PositionOf(command.task);
  if (!job.crashing.contains(position))
    return;
  this->ScheduleAfter(
      job.crash_after, [this, id = worker.id, command, position] {
        Worker& current = this->workers.at(id);
        const auto run = current.running.find(command.task);
        if (!current.alive || run == current.running.end() ||
            run->second.number != command.run)
          return;
        this->LogEvent(fmt::format("{} crashes under {} {}.{}", id,
                                   command.task.job, position.step,
                                   position.index));
        ++this->jobs.at(command.task.job).crashes[position];
        ++this->crash_count;
        this->CrashWorker(current);
      });
}

// The worker is back under its id before its announcement expires, so the
// announcement changes instead of disappearing.
void SchedulerModel::Restart(Worker& worker) {
  this->LogEvent(fmt::format("{} ends, to start again", worker.id));
  this->CountLosses(worker);
  worker.alive = false;
  worker.restarting = true;
  worker.running.clear();
  this->ScheduleAfter(this->Between(20, 1500), [this, id = worker.id] {
    this->BeginNextIncarnation(this->workers.at(id));
  });
}

void SchedulerModel::BeginNextIncarnation(Worker& worker) {
  Worker next;
  next.id = worker.id;
  next.box = worker.box;
  next.capacity = kWorkerCapacity;
  next.labels = worker.labels;
  next.born_ms = base::Millis(this->now);
  next.clock_rate = worker.clock_rate;
  next.clock_offset = -base::Micros(static_cast<std::int64_t>(
      static_cast<double>(this->now.count()) * next.clock_rate));
  next.next_heartbeat = this->now + this->Between(0, 1500);
  worker = next;
  this->LogEvent(fmt::format("{} starts again", worker.id));
}

// The end of the incarnation isn't announced. Another incarnation starts on the
// box a few seconds later, and the announcement expires after three missed
// heartbeats.
void SchedulerModel::CrashWorker(Worker& worker) {
  this->CountLosses(worker);
  worker.alive = false;
  worker.running.clear();
  const base::Micros away = this->Between(2800, 3600);
  worker.replaced_at = this->now + away;
  this->ScheduleAfter(away, [this, box = worker.box] {
    if (this->boxes.contains(box))
      this->AddWorker(box);
  });
  this->ScheduleAfter(this->Between(3000, 4500),
                      [this, incarnation = worker.id] {
                        this->RemoveAnnouncement(incarnation);
                      });
}

void SchedulerModel::CountLosses(const Worker& worker) {
  for (const auto& [task, run] : worker.running)
    ++this->jobs.at(task.job).lost_workers[scheduler::PositionOf(task)];
  std::map<jobs::TaskId, std::int64_t> latest_ends;
  for (const scheduler::ReportedEnd& end : worker.ends)
    latest_ends[end.task] = end.sequence;
  for (const auto& [task, sequence] : latest_ends) {
    if (sequence <= worker.last_read_end || worker.running.contains(task))
      continue;
    ++this->jobs.at(task.job).lost_workers[scheduler::PositionOf(task)];
    this->unread_losses.insert(
        {{.id = worker.id, .start_ms = worker.born_ms}, sequence});
  }
}

void SchedulerModel::MarkEndsRead(const scheduler::WorkerReport& report) {
  Worker& worker = this->workers.at(report.incarnation.id);
  for (const scheduler::ReportedEnd& end : report.ended) {
    if (worker.born_ms == report.incarnation.start_ms)
      worker.last_read_end = std::max(worker.last_read_end, end.sequence);
    // A paused owner receives it after the worker's incarnation has ended.
    if (this->unread_losses.erase({report.incarnation, end.sequence}) > 0)
      --this->jobs.at(end.task.job)
            .lost_workers[scheduler::PositionOf(end.task)];
  }
}

// A task that has crashed three workers may be started at most twice more.
void SchedulerModel::CheckCrashLimit(const scheduler::StartRun& command) {
  constexpr int kCrashes = 3;
  constexpr int kStartsBeyond = 3;
  StoredJob& stored = this->jobs.at(command.task.job);
  const scheduler::TaskPosition position = scheduler::PositionOf(command.task);
  const auto crashes = stored.crashes.find(position);
  if (crashes == stored.crashes.end() || crashes->second < kCrashes)
    return;
  if (++stored.starts_since_third_crash[position] == kStartsBeyond) {
    this->ReportViolation(fmt::format(
        "{} step {} task {} run {}: started {} more times after it had crashed "
        "{} workers",
        command.task.job, position.step, position.index, command.run,
        kStartsBeyond, kCrashes));
  }
}

void SchedulerModel::CheckStart(const Worker& worker,
                                const scheduler::StartRun& command) {
  const StoredJob& stored = this->jobs.at(command.task.job);
  const scheduler::TaskPosition position = scheduler::PositionOf(command.task);
  const std::string name =
      fmt::format("{} step {} task {} run {}", command.task.job, position.step,
                  position.index, command.run);
  for (const auto& [id, other] : this->workers) {
    if (other.alive && other.running.contains(command.task))
      this->ReportViolation(
          fmt::format("{} starts while it is running on {}", name, id));
  }
  if (stored.recorded_done.contains(position))
    this->ReportViolation(name + " starts although its end is recorded");
  const auto failed = stored.recorded_failures.find(position);
  const jobs::Step& step =
      stored.job.spec.steps[static_cast<std::size_t>(position.step)];
  if (!step.long_running && failed != stored.recorded_failures.end() &&
      failed->second >= stored.job.attempts)
    this->ReportViolation(name + " starts after its last attempt failed");
  for (const int before : step.depends_on) {
    const auto& earlier =
        stored.job.spec.steps[static_cast<std::size_t>(before)];
    for (int i = 0; i < earlier.tasks; ++i) {
      if (!stored.ever_done.contains({0, before, i}))
        this->ReportViolation(name +
                              " starts before a step it depends on is done");
    }
  }
  jobs::Resources used = step.task_resources;
  for (const auto& [task, run] : worker.running) {
    used = used + this->jobs.at(task.job)
                      .job.spec.steps[static_cast<std::size_t>(task.step)]
                      .task_resources;
  }
  // A reduced capacity counts once the owner must have learned of it.
  const bool may_be_unknown =
      this->now < worker.capacity_changed + kCapacityNoticeTime;
  const bool fits =
      jobs::Fits(used, worker.capacity) ||
      (may_be_unknown && jobs::Fits(used, worker.earlier_capacity));
  if (!fits)
    this->ReportViolation(name + " does not fit on " + worker.id);
}

// The worker is in the queue's pool, has the label that the step requires, and
// runs fewer tasks of the step than its limit, including those being stopped.
void SchedulerModel::CheckWorkerSuits(const Worker& worker,
                                      const scheduler::StartRun& command) {
  const ModelJob& job = this->jobs.at(command.task.job).job;
  const jobs::Step& step =
      job.spec.steps[static_cast<std::size_t>(command.task.step)];
  const std::string name =
      fmt::format("{} step {} task {} run {}", command.task.job,
                  command.task.step, command.task.index, command.run);
  const auto box = this->boxes.find(worker.box);
  if (box != this->boxes.end() && box->second.pool != job.service)
    this->ReportViolation(fmt::format("{} starts on {} of pool {}", name,
                                      worker.id, box->second.pool));
  const bool has_label = step.label.empty() ||
                         std::find(worker.labels.begin(), worker.labels.end(),
                                   step.label) != worker.labels.end();
  if (!has_label)
    this->ReportViolation(
        fmt::format("{} starts on {} without its label", name, worker.id));
  const auto here =
      std::count_if(worker.running.begin(), worker.running.end(),
                    [&command](const auto& entry) {
                      const jobs::TaskId& task = entry.first;
                      return task.job == command.task.job &&
                             task.occurrence == command.task.occurrence &&
                             task.step == command.task.step &&
                             task.index != command.task.index;
                    });
  if (step.max_per_worker > 0 && here >= step.max_per_worker)
    this->ReportViolation(
        fmt::format("{} starts on {} beside {} other tasks of its step", name,
                    worker.id, here));
}

void SchedulerModel::EndRun(Worker& worker,
                            const jobs::TaskId& task,
                            scheduler::RunEndReason reason) {
  const auto found = worker.running.find(task);
  const int number = found->second.number;
  this->LogEvent(fmt::format(
      "{}: {} {}.{} run {} ends {}", worker.id, task.job, task.step, task.index,
      number, base::NameOf(scheduler::kRunEndReasonNames, reason)));
  worker.running.erase(found);
  int& over = worker.highest_over_run[task];
  over = std::max(over, number);
  worker.ends.push_back({.sequence = ++worker.last_number,
                         .task = task,
                         .run = number,
                         .reason = reason,
                         .checkpoint = ""});
  if (reason == scheduler::RunEndReason::kSucceeded)
    this->jobs.at(task.job).ever_done.insert(scheduler::PositionOf(task));
}

void SchedulerModel::AdvanceRuns(Worker& worker) {
  const bool lapsed = this->ClockOf(worker) > worker.lease_deadline;
  std::vector<std::pair<jobs::TaskId, scheduler::RunEndReason>> over;
  for (const auto& [task, run] : worker.running) {
    if (lapsed)
      over.emplace_back(task, scheduler::RunEndReason::kLeaseExpired);
    else if (run.stopping && run.ends <= this->now)
      over.emplace_back(task, scheduler::RunEndReason::kStopped);
    else if (run.ends <= this->now)
      over.emplace_back(task, run.fails ? scheduler::RunEndReason::kFailed
                                        : scheduler::RunEndReason::kSucceeded);
  }
  for (const auto& [task, reason] : over)
    this->EndRun(worker, task, reason);
}

// Called when the worker learns that ends up to this number are recorded.
void SchedulerModel::AcknowledgeEnds(Worker& worker,
                                     std::int64_t acknowledged) {
  for (const scheduler::ReportedEnd& end : worker.ends) {
    if (end.sequence > acknowledged)
      continue;
    StoredJob& stored = this->jobs.at(end.task.job);
    if (end.reason == scheduler::RunEndReason::kSucceeded)
      stored.recorded_done.insert(scheduler::PositionOf(end.task));
    if (end.reason == scheduler::RunEndReason::kFailed)
      ++stored.recorded_failures[scheduler::PositionOf(end.task)];
  }
  std::erase_if(worker.ends, [acknowledged](const scheduler::ReportedEnd& end) {
    return end.sequence <= acknowledged;
  });
}

scheduler::WorkerReport SchedulerModel::ReportOf(const Worker& worker) const {
  scheduler::WorkerReport report;
  report.incarnation = {.id = worker.id, .start_ms = worker.born_ms};
  report.clock_ms = base::Millis(this->ClockOf(worker));
  for (const auto& [task, run] : worker.running) {
    if (run.stopping)
      continue;
    report.running.push_back(
        {.task = task, .run = run.number, .checkpoint = "", .percent = 100});
  }
  report.ended = worker.ends;
  report.may_omit_ends = report.ended.size() >= kMaxReportedEnds;
  if (report.may_omit_ends)
    report.ended.resize(kMaxReportedEnds);
  return report;
}

}  // namespace quartzhoist::testing
