// The model's orders to workers, which may be lost, delayed, reordered or left
// unanswered.

#include <memory>
#include <utility>

#include "testing/scheduler_model.h"

namespace quartzhoist::testing {

namespace {

using scheduler::CommandOutcome;
using std::chrono::milliseconds;

constexpr base::Micros kOrderTimeout = milliseconds(800);

}  // namespace

void SchedulerModel::Deliver(
    std::size_t index,
    const std::string& id,
    const std::function<CommandOutcome(Worker&)>& carry_out,
    const std::function<void(CommandOutcome)>& answer) {
  const auto answer_after = [this, index, answer](base::Micros delay,
                                                  CommandOutcome outcome) {
    this->ScheduleAfter(delay, [this, index, answer, outcome] {
      // A paused owner reads its answers when it resumes.
      const base::Micros resume_at = this->owners[index].paused_until;
      if (this->now < resume_at)
        this->ScheduleAfter(resume_at - this->now,
                            [answer, outcome] { answer(outcome); });
      else
        answer(outcome);
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
    // Nothing listens at the address until the next life starts on the box.
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
  if (is_partitioned || this->Chance(this->faults.lost_order)) {
    answer_after(kOrderTimeout, CommandOutcome::kUnknown);
    return;
  }
  const bool late = this->Chance(this->faults.late_order);
  const bool lost = late || this->Chance(this->faults.lost_answer);
  const base::Micros delay =
      late ? this->Between(2000, 6000) : this->Between(1, 30);
  if (lost)
    answer_after(kOrderTimeout, CommandOutcome::kUnknown);
  // An order that is under way is lost when the worker life ends.
  this->ScheduleAfter(delay, [this, id, carry_out, lost, answer_after,
                              born = found->second.born_ms] {
    Worker& worker = this->workers.at(id);
    if (!worker.alive || worker.born_ms != born) {
      if (!lost)
        answer_after(kOrderTimeout, CommandOutcome::kUnknown);
      return;
    }
    const CommandOutcome outcome = carry_out(worker);
    if (!lost)
      answer_after(this->Between(1, 30), outcome);
  });
}

void SchedulerModel::SendStart(std::size_t index,
                               const scheduler::StartRun& order) {
  scheduler::Scheduler& sender = *this->owners[index].scheduler;
  const base::Micros end = sender.LeaseEnd(this->now);
  const base::Micros deadline =
      milliseconds(sender.LeaseDeadline(order.worker, end));
  if (deadline <= base::Micros::zero() || end <= this->now ||
      !sender.IsStillNeeded(order)) {
    sender.StartAnswered(order, CommandOutcome::kNotSent, this->now);
    return;
  }
  sender.LeaseGranted(order.worker, end);
  const std::uint64_t epoch = this->owners[index].epoch;
  auto clock = std::make_shared<base::Micros>();
  this->Deliver(
      index, order.worker.id,
      [this, order, epoch, deadline, clock](Worker& worker) {
        *clock = this->ClockOf(worker);
        return this->BeginRun(worker, order, epoch, deadline);
      },
      [this, index, order, clock](CommandOutcome outcome) {
        this->owners[index].scheduler->StartAnswered(order, outcome, this->now,
                                                     base::Millis(*clock));
      });
}

void SchedulerModel::SendStop(std::size_t index,
                              const scheduler::StopRun& order) {
  const std::uint64_t epoch = this->owners[index].epoch;
  this->Deliver(
      index, order.worker.id,
      [this, order, epoch](Worker& worker) {
        if (epoch < worker.epoch)
          return CommandOutcome::kFenced;
        worker.epoch = epoch;
        int& over = worker.highest_over_run[order.task];
        over = std::max(over, order.run);
        const auto run = worker.running.find(order.task);
        if (run != worker.running.end() && run->second.number == order.run &&
            !run->second.stopping) {
          this->CheckDisruption(order.task, "stop order");
          run->second.stopping = true;
          run->second.ends = this->now + this->Between(0, 380);
        }
        return CommandOutcome::kDone;
      },
      [this, index, order](CommandOutcome outcome) {
        this->owners[index].scheduler->StopAnswered(order, outcome, this->now);
      });
}

void SchedulerModel::SendLook(std::size_t index,
                              const scheduler::PollWorker& order) {
  scheduler::Scheduler& sender = *this->owners[index].scheduler;
  const base::Micros end = sender.LeaseEnd(this->now);
  const base::Micros deadline =
      order.renews_lease ? milliseconds(sender.LeaseDeadline(order.worker, end))
                         : milliseconds(0);
  sender.PollSent(order, this->now);
  if (deadline > base::Micros::zero())
    sender.PollGrantsLease(order.worker, end);
  const std::uint64_t epoch = this->owners[index].epoch;
  auto listing = std::make_shared<scheduler::WorkerReport>();
  this->Deliver(
      index, order.worker.id,
      [this, order, epoch, deadline, listing](Worker& worker) {
        if (epoch < worker.epoch)
          return CommandOutcome::kFenced;
        worker.epoch = epoch;
        this->GrantLease(worker, deadline);
        this->AcknowledgeEnds(worker, order.acknowledged);
        *listing = this->ListingOf(worker);
        return CommandOutcome::kDone;
      },
      [this, index, order, listing](CommandOutcome outcome) {
        scheduler::Scheduler& owner = *this->owners[index].scheduler;
        if (outcome == CommandOutcome::kDone)
          owner.WorkerReported(order.worker, *listing, this->now);
        else
          owner.PollFailed(order.worker, outcome, this->now);
      });
}

}  // namespace quartzhoist::testing
