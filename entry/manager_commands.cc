// The scheduler's actions as carried out by a shard's owner: commands to
// workers, polls and requests for advice.

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/event_log.h"
#include "entry/decision_log.h"
#include "entry/manager.h"
#include "platform/records.h"
#include "scheduler/start_constraints.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

// Minimum lease granted by a start, which lasts until the worker's next poll is
// answered. Starts do not renew leases: a worker that has died would then count
// as leased for longer.
constexpr base::Micros kMinStartLease = milliseconds(2500);

}  // namespace

void ShardManager::Perform(scheduler::Action action) {
  struct Visitor {
    ShardManager& manager;

    void operator()(scheduler::StartRun& command) const {
      manager.EnqueueCommand(std::move(command));
    }
    void operator()(scheduler::StopRun& command) const {
      manager.EnqueueCommand(std::move(command));
    }
    void operator()(scheduler::ThrottleRun& command) const {
      manager.EnqueueCommand(std::move(command));
    }
    void operator()(const scheduler::PollWorker& command) const {
      manager.SendPoll(command);
    }
    void operator()(scheduler::SaveProgress& save) const {
      save.text = EncodeProgressRecord(
          {.shard = manager.shard.number, .text = save.text});
      manager.save_queue.Add(std::move(save));
    }
    void operator()(const scheduler::LoadJob& read) const {
      manager.LoadJob(read.job);
    }
    void operator()(const scheduler::RequestAdvice& request) const {
      manager.RequestAdvice(request);
    }
    void operator()(const scheduler::MoveBox& command) const {
      manager.box_calls.Add(command);
    }
    void operator()(const scheduler::MaintainBox& command) const {
      manager.box_calls.Add(command);
    }
    void operator()(const scheduler::ReportWave& report) const {
      manager.waves.Report(report);
    }
    void operator()(const scheduler::JobFinished& finished) const {
      LogJobFinished(finished);
    }
    void operator()(const scheduler::WorkerLost& lost) const {
      manager.counters.Add(base::Counter::kWorkersLost);
      LogWorkerLost(lost);
    }
    void operator()(const scheduler::WorkerRestarted& restarted) const {
      LogWorkerRestarted(restarted);
    }
    void operator()(const scheduler::WorkerCapacityChanged& changed) const {
      LogWorkerCapacityChanged(changed);
    }
    void operator()(const scheduler::RunEndIgnored& ignored) const {
      LogRunEndIgnored(ignored);
    }
    void operator()(const scheduler::TaskGivenUp& task) const {
      manager.counters.Add(base::Counter::kTasksGivenUp);
      LogTaskGivenUp(task);
    }
    void operator()(const scheduler::LongRunningStalled& stalled) const {
      LogLongRunningStalled(stalled);
    }
    void operator()(const scheduler::CountStalls& stalls) const {
      manager.counters.Add(base::Counter::kLongRunningStalled,
                           static_cast<std::uint64_t>(stalls.count));
    }
    void operator()(const scheduler::JobFailed& failed) const {
      manager.counters.Add(base::Counter::kJobsFailed);
      LogJobFailed(failed);
    }
    void operator()(const scheduler::BoxesRested& rested) const {
      manager.counters.Add(base::Counter::kBoxesRested,
                           static_cast<std::uint64_t>(rested.boxes));
      LogBoxesRested(manager.shard.number, rested);
    }
    void operator()(const scheduler::ProgressRejected& rejected) const {
      LogProgressRejected(rejected);
    }
    void operator()(const scheduler::LogNote& note) const { LogNote(note); }
  };
  std::visit(Visitor{*this}, action);
}

platform::Addressee ShardManager::AddresseeOf(
    const jobs::WorkerIncarnation& worker) const {
  const scheduler::Worker* known = this->scheduler.FindWorker(worker);
  return {.worker = worker,
          .address = known ? known->info.address : std::string(),
          .epoch = this->epoch};
}

void ShardManager::EnqueueCommand(Command command) {
  const jobs::WorkerIncarnation worker =
      std::visit([](const auto& one) { return one.worker; }, command);
  this->command_queues[worker].waiting.push_back(std::move(command));
  this->SendNextCommand(worker);
}

void ShardManager::SendNextCommand(const jobs::WorkerIncarnation& worker) {
  CommandQueue& queue = this->command_queues[worker];
  if (queue.in_flight || queue.waiting.empty() || !this->MaySendCommands())
    return;
  if (!this->scheduler.FindWorker(worker)) {
    const std::deque<Command> waiting = std::move(queue.waiting);
    this->command_queues.erase(worker);
    this->ReportNotSent(waiting);
    return;
  }
  const Command command = std::move(queue.waiting.front());
  queue.waiting.pop_front();
  queue.in_flight = true;
  std::visit([this, &worker](const auto& one) { this->Send(worker, one); },
             command);
}

// The commands were for an incarnation of the worker that is gone; none is
// sent.
void ShardManager::ReportNotSent(const std::deque<Command>& commands) {
  for (const Command& command : commands) {
    if (const auto* start = std::get_if<scheduler::StartRun>(&command))
      this->scheduler.StartAnswered(*start, scheduler::CommandOutcome::kNotSent,
                                    base::MonotonicNow());
  }
}

void ShardManager::CommandAnswered(const jobs::WorkerIncarnation& worker,
                                   scheduler::CommandOutcome outcome) {
  const bool is_unresponsive = outcome == scheduler::CommandOutcome::kUnknown;
  CommandQueue& queue = this->command_queues[worker];
  queue.in_flight = false;
  // An unresponsive worker must not delay tasks: its queued starts are returned
  // to the scheduler, which places them elsewhere.
  std::deque<Command> waiting;
  if (is_unresponsive)
    waiting.swap(queue.waiting);
  for (Command& command : waiting) {
    if (const auto* start = std::get_if<scheduler::StartRun>(&command)) {
      this->scheduler.StartAnswered(*start, scheduler::CommandOutcome::kNotSent,
                                    base::MonotonicNow());
    } else {
      queue.waiting.push_back(std::move(command));
    }
  }
  this->SendNextCommand(worker);
  // A command that was carried out frees no capacity; the worker's report will
  // list the end of the run.
  if (outcome != scheduler::CommandOutcome::kDone)
    this->ScheduleCycle();
}

void ShardManager::Send(const jobs::WorkerIncarnation& worker,
                        const scheduler::StartRun& command) {
  const base::Micros now = base::MonotonicNow();
  const scheduler::Worker* known = this->scheduler.FindWorker(worker);
  // Polls renew the lease; a start only ensures the minimum.
  const base::Micros end =
      std::min(std::max(known->latest_lease_end, now + kMinStartLease),
               this->scheduler.LeaseEnd(now));
  const std::int64_t deadline = this->scheduler.LeaseDeadline(worker, end);
  const bool is_valid = this->scheduler.IsStartStillValid(command, now);
  if (deadline <= 0 || end <= now || !is_valid) {
    this->scheduler.StartAnswered(command,
                                  is_valid
                                      ? scheduler::CommandOutcome::kNotSent
                                      : scheduler::CommandOutcome::kObsolete,
                                  now);
    this->command_queues[worker].in_flight = false;
    this->SendNextCommand(worker);
    return;
  }
  this->scheduler.LeaseGranted(worker, end);
  this->workers.Start(
      this->AddresseeOf(worker), command, deadline,
      [this, worker, command,
       announcement_age = scheduler::AnnouncementAge(*known, now),
       pool = known->info.service,
       step_runs = scheduler::CountOtherRunsOfStep(*known, command.task),
       alive = this->alive](const platform::StartResult& result) {
        if (!*alive)
          return;
        const scheduler::CommandOutcome outcome = result.outcome;
        const bool unknown = outcome == scheduler::CommandOutcome::kUnknown;
        base::Log(
            unknown ? base::Event::kRunUnsettled : base::Event::kRunStarted,
            {{"task", platform::TaskName(command.task)},
             {"run", command.run},
             {"worker", worker.id},
             {"announced_ms", base::Millis(announcement_age)},
             {"pool", pool},
             {"step_runs", step_runs},
             {"outcome",
              base::NameOf(scheduler::kCommandOutcomeNames, outcome)}});
        this->scheduler.StartAnswered(command, outcome, base::MonotonicNow(),
                                      result.clock_ms);
        this->CommandAnswered(worker, outcome);
      });
}

void ShardManager::Send(const jobs::WorkerIncarnation& worker,
                        const scheduler::StopRun& command) {
  this->workers.Stop(this->AddresseeOf(worker), command,
                     [this, worker, command,
                      alive = this->alive](scheduler::CommandOutcome outcome) {
                       if (!*alive)
                         return;
                       this->scheduler.StopAnswered(command, outcome,
                                                    base::MonotonicNow());
                       this->CommandAnswered(worker, outcome);
                     });
}

void ShardManager::Send(const jobs::WorkerIncarnation& worker,
                        const scheduler::ThrottleRun& command) {
  this->workers.Throttle(
      this->AddresseeOf(worker), command,
      [this, worker, alive = this->alive](scheduler::CommandOutcome outcome) {
        if (!*alive)
          return;
        this->CommandAnswered(worker, outcome);
      });
}

void ShardManager::SendPoll(const scheduler::PollWorker& command) {
  const base::Micros now = base::MonotonicNow();
  const base::Micros end = this->scheduler.LeaseEnd(now);
  const jobs::WorkerIncarnation worker = command.worker;
  const std::int64_t deadline =
      command.renews_lease ? this->scheduler.LeaseDeadline(worker, end) : 0;
  this->scheduler.PollSent(command, now);
  if (deadline > 0)
    this->scheduler.PollGrantsLease(worker, end);
  this->workers.Poll(
      this->AddresseeOf(worker), command, deadline,
      [this, worker, alive = this->alive](const platform::LookResult& result) {
        if (!*alive)
          return;
        const base::Micros then = base::MonotonicNow();
        if (result.outcome == scheduler::CommandOutcome::kDone)
          this->scheduler.WorkerReported(worker, result.listing, then);
        else
          this->scheduler.PollFailed(worker, result.outcome, then);
        this->ScheduleCycle();
      });
}

void ShardManager::RequestAdvice(const scheduler::RequestAdvice& request) {
  this->advisor.Ask(request, [this, request, alive = this->alive](
                                 const scheduler::AdviceResult& result) {
    if (!*alive)
      return;
    this->scheduler.AdviceAnswered(request, result, base::MonotonicNow());
    this->ScheduleCycle();
  });
}

}  // namespace quartzhoist::entry
