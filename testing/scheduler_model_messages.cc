// The model's commands to workers, which may be lost, delayed, reordered or
// left unanswered.

#include <memory>
#include <utility>

#include "testing/scheduler_model.h"

namespace quartzhoist::testing {

namespace {

using scheduler::CommandOutcome;
using std::chrono::milliseconds;

constexpr base::Micros kCommandTimeout = milliseconds(800);

}  // namespace

void SchedulerModel::Deliver(
    std::size_t index,
    const std::string& id,
    const std::function<CommandOutcome(Worker&)>& carry_out,
    const std::function<void(CommandOutcome)>& answer) {
  const auto answer_after = [this, index, answer](base::Micros delay,
                                                  CommandOutcome outcome) {
    this->ScheduleAfter(delay, [this, index, answer, outcome] {
      this->RunWhenAwake(index, [answer, outcome] { answer(outcome); });
    });
  };
  const bool is_partitioned = this->owners[index].partitioned_from.contains(id);
  const auto found = this->workers.find(id);
  const bool is_dead = found == this->workers.end() || !found->second.alive;
  if (is_dead) {
    if (found != this->workers.end() && found->second.restarting) {
      answer_after(milliseconds(5), CommandOutcome::kNotSent);
      return;
    }
    // Nothing listens at the address until the next incarnation starts on the
    // box.
    if (found != this->workers.end() && found->second.replaced_at) {
      answer_after(milliseconds(5), this->now < *found->second.replaced_at
                                        ? CommandOutcome::kNotSent
                                        : CommandOutcome::kOtherIncarnation);
      return;
    }
    const bool silent = found != this->workers.end() && found->second.silent;
    answer_after(milliseconds(5), silent || this->Chance(0.5)
                                      ? CommandOutcome::kUnknown
                                      : CommandOutcome::kOtherIncarnation);
    return;
  }
  if (is_partitioned || this->Chance(this->faults.lost_command)) {
    answer_after(kCommandTimeout, CommandOutcome::kUnknown);
    return;
  }
  const bool late = this->Chance(this->faults.late_command);
  const bool lost = late || this->Chance(this->faults.lost_answer);
  const base::Micros delay =
      late ? this->Between(2000, 6000) : this->Between(1, 30);
  if (lost)
    answer_after(kCommandTimeout, CommandOutcome::kUnknown);
  // A command that is under way is lost when the worker incarnation ends.
  this->ScheduleAfter(delay, [this, id, carry_out, lost, answer_after,
                              born = found->second.born_ms] {
    Worker& worker = this->workers.at(id);
    if (!worker.alive || worker.born_ms != born) {
      if (!lost)
        answer_after(kCommandTimeout, CommandOutcome::kUnknown);
      return;
    }
    const CommandOutcome outcome = carry_out(worker);
    if (!lost)
      answer_after(this->Between(1, 30), outcome);
  });
}

void SchedulerModel::SendStart(std::size_t index,
                               const scheduler::StartRun& command) {
  scheduler::Scheduler& sender = *this->owners[index].scheduler;
  const base::Micros end = sender.LeaseEnd(this->now);
  const base::Micros deadline =
      milliseconds(sender.LeaseDeadline(command.worker, end));
  if (!sender.IsStartStillValid(command, this->now)) {
    sender.StartAnswered(command, CommandOutcome::kObsolete, this->now);
    return;
  }
  if (deadline <= base::Micros::zero() || end <= this->now) {
    sender.StartAnswered(command, CommandOutcome::kNotSent, this->now);
    return;
  }
  sender.LeaseGranted(command.worker, end);
  const std::uint64_t epoch = this->owners[index].epoch;
  auto clock = std::make_shared<base::Micros>();
  this->Deliver(
      index, command.worker.id,
      [this, command, epoch, deadline, clock](Worker& worker) {
        *clock = this->ClockOf(worker);
        return this->BeginRun(worker, command, epoch, deadline);
      },
      [this, index, command, clock](CommandOutcome outcome) {
        this->owners[index].scheduler->StartAnswered(
            command, outcome, this->now, base::Millis(*clock));
      });
}

void SchedulerModel::SendStop(std::size_t index,
                              const scheduler::StopRun& command) {
  const std::uint64_t epoch = this->owners[index].epoch;
  this->Deliver(
      index, command.worker.id,
      [this, command, epoch](Worker& worker) {
        if (epoch < worker.epoch)
          return CommandOutcome::kFenced;
        worker.epoch = epoch;
        int& over = worker.highest_over_run[command.task];
        over = std::max(over, command.run);
        const auto run = worker.running.find(command.task);
        if (run != worker.running.end() && run->second.number == command.run &&
            !run->second.stopping) {
          this->CheckDisruption(command.task, "stop order");
          run->second.stopping = true;
          run->second.ends = this->now + this->Between(0, 380);
        }
        return CommandOutcome::kDone;
      },
      [this, index, command](CommandOutcome outcome) {
        this->owners[index].scheduler->StopAnswered(command, outcome,
                                                    this->now);
      });
}

void SchedulerModel::SendPoll(std::size_t index,
                              const scheduler::PollWorker& command) {
  scheduler::Scheduler& sender = *this->owners[index].scheduler;
  const base::Micros end = sender.LeaseEnd(this->now);
  const base::Micros deadline =
      command.renews_lease
          ? milliseconds(sender.LeaseDeadline(command.worker, end))
          : milliseconds(0);
  sender.PollSent(command, this->now);
  if (deadline > base::Micros::zero())
    sender.PollGrantsLease(command.worker, end);
  const std::uint64_t epoch = this->owners[index].epoch;
  auto report = std::make_shared<scheduler::WorkerReport>();
  this->Deliver(
      index, command.worker.id,
      [this, command, epoch, deadline, report](Worker& worker) {
        if (epoch < worker.epoch)
          return CommandOutcome::kFenced;
        worker.epoch = epoch;
        this->GrantLease(worker, deadline);
        this->AcknowledgeEnds(worker, command.acknowledged);
        *report = this->ReportOf(worker);
        return CommandOutcome::kDone;
      },
      [this, index, command, report](CommandOutcome outcome) {
        scheduler::Scheduler& owner = *this->owners[index].scheduler;
        if (outcome != CommandOutcome::kDone) {
          owner.PollFailed(command.worker, outcome, this->now);
          return;
        }
        this->MarkEndsRead(*report);
        owner.WorkerReported(command.worker, *report, this->now);
      });
}

}  // namespace quartzhoist::testing
