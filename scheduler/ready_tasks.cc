#include "scheduler/ready_tasks.h"

#include <array>
#include <iterator>
#include <vector>

namespace quartzhoist::scheduler {

namespace {

// A pool counts as overloaded for so long after a job has run out of time
// unbegun, or of use: longer than a turn of the scheduler, shorter than a
// height of demand (some seconds on the sites).
constexpr base::Micros kOverloadLasts = std::chrono::seconds(1);

constexpr std::array<Prospect, 6> kInOrder{
    Prospect::kLasting, Prospect::kBegun,  Prospect::kWaiting,
    Prospect::kLate,    Prospect::kBeyond, Prospect::kHopeless};

ReadyTask First(int priority, Prospect prospect) {
  ReadyTask first;
  first.priority = priority;
  first.prospect = prospect;
  first.in_time = base::Micros::min();
  first.of_use = base::Micros::min();
  return first;
}

// Comes after all tasks of this priority and prospect.
ReadyTask Behind(int priority, Prospect prospect) {
  ReadyTask behind = First(priority, prospect);
  behind.in_time = base::Micros::max();
  behind.of_use = base::Micros::max();
  return behind;
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
void ReadyTasks::Try(
    base::Micros now,
    const std::function<Tried(const ReadyTask& task)>& attempt) {
  // 1. What has run out of time falls behind what has not.
  this->Age(now);
  // 2. By priority, then by prospect.
  auto next = this->tasks.begin();
  while (next != this->tasks.end()) {
    const int priority = next->priority;
    for (const Prospect prospect : kInOrder) {
      const bool newest_first = now < this->too_many_until[prospect];
      if (!this->TryRange(priority, prospect, newest_first, attempt))
        return;
    }
    next = this->tasks.lower_bound(First(priority + 1, Prospect::kLasting));
  }
}

void ReadyTasks::Age(base::Micros now) {
  auto next = this->tasks.begin();
  while (next != this->tasks.end()) {
    const int priority = next->priority;
    for (const Prospect prospect : {Prospect::kBegun, Prospect::kWaiting,
                                    Prospect::kLate, Prospect::kBeyond})
      this->AgeRange(priority, prospect, now);
    next = this->tasks.lower_bound(First(priority + 1, Prospect::kLasting));
  }
}

// Each range is in the order of its ends: only those that are over are touched.
void ReadyTasks::AgeRange(int priority, Prospect prospect, base::Micros now) {
  auto it = this->tasks.lower_bound(First(priority, prospect));
  while (it != this->tasks.end() && it->priority == priority &&
         it->prospect == prospect && it->latest() < now) {
    ReadyTask aged = *it;
    it = this->tasks.erase(it);
    if (prospect != Prospect::kBegun)
      this->too_many_until[prospect] = now + kOverloadLasts;
    aged.prospect = aged.of_use >= now ? Prospect::kLate : Prospect::kHopeless;
    this->tasks.insert(aged);
  }
}

bool ReadyTasks::TryRange(
    int priority,
    Prospect prospect,
    bool newest_first,
    const std::function<Tried(const ReadyTask& task)>& attempt) {
  const auto is_inside = [&](Set::const_iterator at) {
    return at != this->tasks.end() && at->priority == priority &&
           at->prospect == prospect;
  };
  std::vector<ReadyTask> begun;
  Tried tried = Tried::kStays;
  // What is tried lies before `it` with the newest first, at `it` otherwise.
  auto it = this->tasks.lower_bound(newest_first ? Behind(priority, prospect)
                                                 : First(priority, prospect));
  while (tried != Tried::kStop) {
    if (newest_first && it == this->tasks.begin())
      break;
    const auto next = newest_first ? std::prev(it) : it;
    if (!is_inside(next))
      break;
    tried = attempt(*next);
    const bool leaves = tried == Tried::kPlaced || tried == Tried::kUnwanted;
    const bool was_unbegun =
        prospect == Prospect::kWaiting || prospect == Prospect::kBeyond;
    if (tried == Tried::kPlaced && was_unbegun)
      begun.push_back(*next);
    if (leaves)
      it = this->tasks.erase(next);
    else
      it = newest_first ? next : std::next(next);
  }
  for (const ReadyTask& placed : begun)
    this->PutBegun(placed);
  return tried != Tried::kStop;
}

// The other tasks of its step, which have the same end, come before jobs that
// have not begun: a job that is half done is worth nothing.
void ReadyTasks::PutBegun(const ReadyTask& placed) {
  ReadyTask at = placed;
  at.number = 0;
  auto it = this->tasks.lower_bound(at);
  while (it != this->tasks.end() && it->priority == placed.priority &&
         it->prospect == placed.prospect && it->latest() == placed.latest()) {
    if (it->job != placed.job) {
      ++it;
      continue;
    }
    ReadyTask moved = *it;
    it = this->tasks.erase(it);
    moved.prospect = Prospect::kBegun;
    this->tasks.insert(moved);
  }
}

}  // namespace quartzhoist::scheduler
