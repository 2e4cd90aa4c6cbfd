// The tasks of a pool that wait to be placed, and in which order they are
// tried.

#ifndef SCHEDULER_READY_TASKS_H_
#define SCHEDULER_READY_TASKS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <tuple>

#include "base/clock.h"
#include "scheduler/job.h"

namespace quartzhoist::scheduler {

// What a task may still come to, the best to be tried first.
enum class Prospect {
  kLasting,   // runs until its job is cancelled: late from the first moment on
  kBegun,     // can be in time, and its job has begun
  kWaiting,   // can be in time, and nothing of its job has begun
  kLate,      // can no longer be in time, but soon enough to be of use
  kBeyond,    // beyond what its organisation is due, nothing of it has begun
  kHopeless,  // too late to be of use; it runs all the same
};

// `in_time`, `of_use`: when it must begin at the latest to be that.
struct ReadyTask {
  int priority = 0;
  Prospect prospect = Prospect::kWaiting;
  base::Micros in_time{};
  base::Micros of_use{};
  std::uint64_t number = 0;  // rises with each one
  Job* job = nullptr;        // jobs are never dropped
  TaskPosition place;

  // The end of the prospect that it has now.
  base::Micros latest() const {
    const bool by_use = this->prospect == Prospect::kLate ||
                        this->prospect == Prospect::kBeyond;
    return by_use ? this->of_use : this->in_time;
  }
  bool operator<(const ReadyTask& other) const {
    return std::make_tuple(this->priority, this->prospect, this->latest(),
                           this->number) <
           std::make_tuple(other.priority, other.prospect, other.latest(),
                           other.number);
  }
};

class ReadyTasks {
 public:
  using Set = std::set<ReadyTask>;
  // What came of a task that was tried.
  enum class Tried {
    kPlaced,    // it leaves the set, and its job has begun
    kUnwanted,  // it leaves the set
    kStays,
    kStop,  // it stays, and nothing further is tried
  };

  void Insert(const ReadyTask& task) { this->tasks.insert(task); }
  // Tries the tasks one by one, by priority and prospect, until `attempt` says
  // to stop. It may insert no task.
  void Try(base::Micros now,
           const std::function<Tried(const ReadyTask& task)>& attempt);

  bool empty() const { return this->tasks.empty(); }
  Set::const_iterator begin() const { return this->tasks.begin(); }
  Set::const_iterator end() const { return this->tasks.end(); }

 private:
  void Age(base::Micros now);
  void AgeRange(int priority, Prospect prospect, base::Micros now);
  // False if nothing further is to be tried.
  bool TryRange(int priority,
                Prospect prospect,
                bool newest_first,
                const std::function<Tried(const ReadyTask& task)>& attempt);
  void PutBegun(const ReadyTask& placed);

  Set tasks;
  // Until when tasks of this prospect count as more than can be done: some have
  // lately run out of time.
  std::map<Prospect, base::Micros> too_many_until;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_READY_TASKS_H_
