#include "scheduler/ready_tasks.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <vector>

namespace quartzhoist::scheduler {

namespace {

// A class counts as overloaded for this long after one of its tasks has missed
// its deadline (kStarted is exempt): longer than a scheduling pass, shorter
// than a demand peak (some seconds on the sites).
constexpr base::Micros kOverloadDuration = std::chrono::seconds(1);

// Late tasks whose useful deadline is at most this far off go before tasks that
// can still be on time. The tasks of a step are placed over several passes.
constexpr base::Micros kExpiringLead = std::chrono::milliseconds(1500);
// Share of the placements that expiring tasks may take from the others.
constexpr double kExpiringShare = 0.5;
// Bound on the allowance that accumulates while no task expires: the tasks of a
// few steps.
constexpr double kMaxExpiringAllowance = 32.0;
// Expiring tasks go first only while the backlog is at most this long. A longer
// one can't be worked off in time: each job saved would cost another one, and
// one that could have been on time.
constexpr double kMaxBacklogSeconds = 2.5;
constexpr base::Micros kRateWindow = std::chrono::seconds(1);

constexpr std::array<SchedulingClass, 7> kClassOrder{
    SchedulingClass::kInterrupted, SchedulingClass::kLongRunning,
    SchedulingClass::kStarted,     SchedulingClass::kNotStarted,
    SchedulingClass::kLate,        SchedulingClass::kOverRate,
    SchedulingClass::kExpired};

ReadyTask RangeBegin(int priority, SchedulingClass scheduling_class) {
  ReadyTask first;
  first.priority = priority;
  first.scheduling_class = scheduling_class;
  first.soft_deadline = base::Micros::min();
  first.firm_deadline = base::Micros::min();
  return first;
}

// Sorts after all tasks of this priority and class.
ReadyTask RangeEnd(int priority, SchedulingClass scheduling_class) {
  ReadyTask end = RangeBegin(priority, scheduling_class);
  end.soft_deadline = base::Micros::max();
  end.firm_deadline = base::Micros::max();
  return end;
}

}  // namespace

bool StandsFor(const ReadyTask& queued,
               const Job& job,
               const TaskPosition& position) {
  TaskPosition at = position;
  if (StepOf(*queued.job, queued.position).gang)
    at.index = queued.position.index;
  return queued.job == &job && at == queued.position;
}

SchedulingClass ReadyTask::ClassAt(base::Micros now) const {
  const bool is_long_running =
      this->scheduling_class == SchedulingClass::kInterrupted ||
      this->scheduling_class == SchedulingClass::kLongRunning;
  if (is_long_running || this->deadline() >= now)
    return this->scheduling_class;
  return this->firm_deadline >= now ? SchedulingClass::kLate
                                    : SchedulingClass::kExpired;
}

// Long-running tasks go in the order in which they became ready, those that
// have run before first. Otherwise a task that fails in a full pool would lose
// its own capacity to a task that has never run, and wait for all such tasks.
//
// Other tasks go earliest deadline first (EDF) unless their class is
// overloaded. In a demand peak a pool receives for some seconds more work than
// all the boxes it can get could run. EDF then starts every job just after its
// deadline, so that all are late. Starting the newest tasks first instead costs
// only jobs that would be late anyway, and most of the pool's capacity goes to
// jobs that finish on time (simulated in ready_tasks_test, 6 s at 2.5 times the
// capacity: 24% on time with EDF, 50% with newest first). The same holds for
// late jobs near their firm deadline (same peak: 53% useful with EDF, 61% with
// newest first). Jobs that have started are finished first. Jobs over their
// organisation's rate come after all jobs within theirs, so that one
// organisation's peak does not delay the others and uses only the capacity that
// they leave.
//
// With the newest first, the oldest jobs of a mild overload expire although the
// backlog is short: each is passed over until the peak ends. Late tasks that
// are about to expire therefore get up to half of the placements while the
// backlog is short enough to be worked off (simulated in expiring_tasks_test,
// 6 s at 1.5 times the capacity: 73% on time and 78% useful without, 69% and
// 85% with this rule).
void ReadyTasks::TryInOrder(
    base::Micros now,
    const std::function<AttemptResult(const ReadyTask& task)>& attempt) {
  // 1. Reclassify the tasks whose deadline has passed.
  this->Demote(now);
  // 2. Attempt by priority, then by class.
  auto next = this->tasks.begin();
  while (next != this->tasks.end()) {
    const int priority = next->priority;
    for (const SchedulingClass scheduling_class : kClassOrder) {
      if (scheduling_class == SchedulingClass::kNotStarted &&
          !this->TryExpiring(priority, now, attempt))
        return;
      if (!this->TryInOrderWithin(priority, scheduling_class, now, attempt))
        return;
    }
    next =
        this->tasks.lower_bound(RangeBegin(priority + 1, kClassOrder.front()));
  }
}

void ReadyTasks::Demote(base::Micros now) {
  auto next = this->tasks.begin();
  while (next != this->tasks.end()) {
    const int priority = next->priority;
    for (const SchedulingClass scheduling_class :
         {SchedulingClass::kStarted, SchedulingClass::kNotStarted,
          SchedulingClass::kLate, SchedulingClass::kOverRate})
      this->DemoteWithin(priority, scheduling_class, now);
    next =
        this->tasks.lower_bound(RangeBegin(priority + 1, kClassOrder.front()));
  }
}

// Each range is sorted by deadline, so only tasks past theirs are visited.
void ReadyTasks::DemoteWithin(int priority,
                              SchedulingClass scheduling_class,
                              base::Micros now) {
  auto it = this->tasks.lower_bound(RangeBegin(priority, scheduling_class));
  while (it != this->tasks.end() && it->priority == priority &&
         it->scheduling_class == scheduling_class && it->deadline() < now) {
    ReadyTask demoted = *it;
    demoted.scheduling_class = it->ClassAt(now);
    it = this->tasks.erase(it);
    if (scheduling_class != SchedulingClass::kStarted)
      this->overloaded_until[scheduling_class] = now + kOverloadDuration;
    this->tasks.insert(demoted);
  }
}

bool ReadyTasks::TryInOrderWithin(
    int priority,
    SchedulingClass scheduling_class,
    base::Micros now,
    const std::function<AttemptResult(const ReadyTask& task)>& attempt) {
  const bool newest_first = now < this->overloaded_until[scheduling_class];
  const auto is_inside = [&](Set::const_iterator at) {
    return at != this->tasks.end() && at->priority == priority &&
           at->scheduling_class == scheduling_class;
  };
  std::vector<ReadyTask> newly_started;
  AttemptResult result = AttemptResult::kKept;
  // The next task is the one before `it` with the newest first, otherwise the
  // one at `it`.
  auto it = this->tasks.lower_bound(
      newest_first ? RangeEnd(priority, scheduling_class)
                   : RangeBegin(priority, scheduling_class));
  while (result != AttemptResult::kStop) {
    if (newest_first && it == this->tasks.begin())
      break;
    const auto next = newest_first ? std::prev(it) : it;
    if (!is_inside(next))
      break;
    result = attempt(*next);
    const bool is_removed =
        result == AttemptResult::kPlaced || result == AttemptResult::kObsolete;
    const bool was_not_started =
        scheduling_class == SchedulingClass::kNotStarted ||
        scheduling_class == SchedulingClass::kOverRate;
    if (result == AttemptResult::kPlaced) {
      this->RecordPlacement(now);
      // Expiring tasks take nothing from started jobs.
      if (scheduling_class >= SchedulingClass::kNotStarted)
        this->expiring_allowance = std::min(
            kMaxExpiringAllowance,
            this->expiring_allowance + kExpiringShare / (1.0 - kExpiringShare));
    }
    if (result == AttemptResult::kPlaced && was_not_started)
      newly_started.push_back(*next);
    if (is_removed)
      it = this->tasks.erase(next);
    else
      it = newest_first ? next : std::next(next);
  }
  for (const ReadyTask& placed : newly_started)
    this->PromoteStartedStep(placed);
  return result != AttemptResult::kStop;
}

void ReadyTasks::RecordPlacement(base::Micros now) {
  this->placements.push_back(now);
  while (this->placements.front() <= now - kRateWindow)
    this->placements.pop_front();
}

bool ReadyTasks::CanDrain(int priority) const {
  std::size_t useful = 0;
  for (const SchedulingClass scheduling_class :
       {SchedulingClass::kStarted, SchedulingClass::kNotStarted,
        SchedulingClass::kLate}) {
    useful += static_cast<std::size_t>(std::distance(
        this->tasks.lower_bound(RangeBegin(priority, scheduling_class)),
        this->tasks.lower_bound(RangeEnd(priority, scheduling_class))));
  }
  const double per_second =
      static_cast<double>(this->placements.size()) / base::Seconds(kRateWindow);
  return static_cast<double>(useful) <= kMaxBacklogSeconds * per_second;
}

bool ReadyTasks::TryExpiring(
    int priority,
    base::Micros now,
    const std::function<AttemptResult(const ReadyTask& task)>& attempt) {
  const auto is_late = [&](Set::const_iterator at) {
    return at != this->tasks.end() && at->priority == priority &&
           at->scheduling_class == SchedulingClass::kLate;
  };
  auto it =
      this->tasks.lower_bound(RangeBegin(priority, SchedulingClass::kLate));
  if (!is_late(it) || !this->CanDrain(priority))
    return true;
  while (is_late(it) && this->expiring_allowance >= 1.0) {
    const bool is_expiring = it->useful_deadline >= now &&
                             it->useful_deadline <= now + kExpiringLead;
    if (!is_expiring) {
      ++it;
      continue;
    }
    const AttemptResult result = attempt(*it);
    if (result == AttemptResult::kStop)
      return false;
    if (result == AttemptResult::kPlaced) {
      this->RecordPlacement(now);
      this->expiring_allowance -= 1.0;
    }
    const bool is_removed =
        result == AttemptResult::kPlaced || result == AttemptResult::kObsolete;
    it = is_removed ? this->tasks.erase(it) : std::next(it);
  }
  return true;
}

// Moves the other tasks of the step, which have the same deadline, ahead of
// jobs that have not started: a half-finished job is worth nothing.
void ReadyTasks::PromoteStartedStep(const ReadyTask& placed) {
  ReadyTask at = placed;
  at.sequence = 0;
  auto it = this->tasks.lower_bound(at);
  while (it != this->tasks.end() && it->priority == placed.priority &&
         it->scheduling_class == placed.scheduling_class &&
         it->deadline() == placed.deadline()) {
    if (it->job != placed.job) {
      ++it;
      continue;
    }
    ReadyTask promoted = *it;
    it = this->tasks.erase(it);
    promoted.scheduling_class = SchedulingClass::kStarted;
    this->tasks.insert(promoted);
  }
}

}  // namespace quartzhoist::scheduler
