#include "scheduler/ready_tasks.h"

#include <array>
#include <iterator>
#include <vector>

namespace quartzhoist::scheduler {

namespace {

// A pool counts as overloaded for so long after a job has run out of time
// unbegun, or of use: longer than a turn of the scheduler, shorter than a
// height of demand (some seconds on the sites).
constexpr base::Micros kOverloadDuration = std::chrono::seconds(1);

constexpr std::array<SchedulingClass, 6> kClassOrder{
    SchedulingClass::kLongRunning, SchedulingClass::kStarted,
    SchedulingClass::kNotStarted,  SchedulingClass::kLate,
    SchedulingClass::kOverRate,    SchedulingClass::kExpired};

ReadyTask RangeBegin(int priority, SchedulingClass scheduling_class) {
  ReadyTask first;
  first.priority = priority;
  first.scheduling_class = scheduling_class;
  first.soft_deadline = base::Micros::min();
  first.firm_deadline = base::Micros::min();
  return first;
}

// Comes after all tasks of this priority and prospect.
ReadyTask RangeEnd(int priority, SchedulingClass scheduling_class) {
  ReadyTask end = RangeBegin(priority, scheduling_class);
  end.soft_deadline = base::Micros::max();
  end.firm_deadline = base::Micros::max();
  return end;
}

}  // namespace

// The load pattern is a height of demand: for some seconds a pool is handed
// more than all boxes it can get could do. By the nearest end alone every job
// waits until it has just run out of time, and then begins: all are late.
// Whoever is left behind then changes nothing for those that are late anyway,
// so that the newest go first, and most of what the pool can do is in time (6 s
// of 2.5 times what a pool can do, simulated in ready_tasks_test: 24% in time
// by the nearest end, 50% so). What has begun is finished first. The same holds
// for jobs that are late once some of them run out of their use: by the nearest
// end they begin when they are just too late for that (of the same 6 s 53% of
// use, 61% so). In calm, when nobody runs out of time, the nearest end goes
// first. Jobs beyond what their organisation is due come after all that others
// are due: at a height one organisation's flood costs the others nothing, and
// is served from what they leave.
void ReadyTasks::TryInOrder(
    base::Micros now,
    const std::function<AttemptResult(const ReadyTask& task)>& attempt) {
  // 1. What has run out of time falls behind what has not.
  this->Demote(now);
  // 2. By priority, then by prospect.
  auto next = this->tasks.begin();
  while (next != this->tasks.end()) {
    const int priority = next->priority;
    for (const SchedulingClass scheduling_class : kClassOrder) {
      const bool newest_first = now < this->overloaded_until[scheduling_class];
      if (!this->TryInOrderWithin(priority, scheduling_class, newest_first,
                                  attempt))
        return;
    }
    next = this->tasks.lower_bound(
        RangeBegin(priority + 1, SchedulingClass::kLongRunning));
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
    next = this->tasks.lower_bound(
        RangeBegin(priority + 1, SchedulingClass::kLongRunning));
  }
}

// Each range is in the order of its ends: only those that are over are touched.
void ReadyTasks::DemoteWithin(int priority,
                              SchedulingClass scheduling_class,
                              base::Micros now) {
  auto it = this->tasks.lower_bound(RangeBegin(priority, scheduling_class));
  while (it != this->tasks.end() && it->priority == priority &&
         it->scheduling_class == scheduling_class && it->deadline() < now) {
    ReadyTask demoted = *it;
    it = this->tasks.erase(it);
    if (scheduling_class != SchedulingClass::kStarted)
      this->overloaded_until[scheduling_class] = now + kOverloadDuration;
    demoted.scheduling_class = demoted.firm_deadline >= now
                                   ? SchedulingClass::kLate
                                   : SchedulingClass::kExpired;
    this->tasks.insert(demoted);
  }
}

bool ReadyTasks::TryInOrderWithin(
    int priority,
    SchedulingClass scheduling_class,
    bool newest_first,
    const std::function<AttemptResult(const ReadyTask& task)>& attempt) {
  const auto is_inside = [&](Set::const_iterator at) {
    return at != this->tasks.end() && at->priority == priority &&
           at->scheduling_class == scheduling_class;
  };
  std::vector<ReadyTask> newly_started;
  AttemptResult result = AttemptResult::kKept;
  // What is tried lies before `it` with the newest first, at `it` otherwise.
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

// The other tasks of its step, which have the same end, come before jobs that
// have not begun: a job that is half done is worth nothing.
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
