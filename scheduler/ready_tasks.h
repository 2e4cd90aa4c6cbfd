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
enum class SchedulingClass {
  kLongRunning,  // runs until its job is cancelled: late from the first moment
                 // on
  kStarted,      // can be in time, and its job has begun
  kNotStarted,   // can be in time, and nothing of its job has begun
  kLate,         // can no longer be in time, but soon enough to be of use
  kOverRate,     // beyond what its organisation is due, nothing of it has begun
  kExpired,      // too late to be of use; it runs all the same
};

// `soft_deadline`, `firm_deadline`: when it must begin at the latest to be
// that.
struct ReadyTask {
  int priority = 0;
  SchedulingClass scheduling_class = SchedulingClass::kNotStarted;
  base::Micros soft_deadline{};
  base::Micros firm_deadline{};
  std::uint64_t sequence = 0;  // rises with each one
  Job* job = nullptr;          // jobs are never dropped
  TaskPlace place;

  // The end of the prospect that it has now.
  base::Micros deadline() const {
    const bool uses_firm_deadline =
        this->scheduling_class == SchedulingClass::kLate ||
        this->scheduling_class == SchedulingClass::kOverRate;
    return uses_firm_deadline ? this->firm_deadline : this->soft_deadline;
  }
  bool operator<(const ReadyTask& other) const {
    return std::make_tuple(this->priority, this->scheduling_class,
                           this->deadline(), this->sequence) <
           std::make_tuple(other.priority, other.scheduling_class,
                           other.deadline(), other.sequence);
  }
};

class ReadyTasks {
 public:
  using Set = std::set<ReadyTask>;
  // What came of a task that was tried.
  enum class AttemptResult {
    kPlaced,    // it leaves the set, and its job has begun
    kObsolete,  // it leaves the set
    kKept,
    kStop,  // it stays, and nothing further is tried
  };

  void Insert(const ReadyTask& task) { this->tasks.insert(task); }
  // Tries the tasks one by one, by priority and prospect, until `attempt` says
  // to stop. It may insert no task.
  void TryInOrder(
      base::Micros now,
      const std::function<AttemptResult(const ReadyTask& task)>& attempt);

  bool empty() const { return this->tasks.empty(); }
  Set::const_iterator begin() const { return this->tasks.begin(); }
  Set::const_iterator end() const { return this->tasks.end(); }

 private:
  void Demote(base::Micros now);
  void DemoteWithin(int priority,
                    SchedulingClass scheduling_class,
                    base::Micros now);
  // False if nothing further is to be tried.
  bool TryInOrderWithin(
      int priority,
      SchedulingClass scheduling_class,
      bool newest_first,
      const std::function<AttemptResult(const ReadyTask& task)>& attempt);
  void PromoteStartedStep(const ReadyTask& placed);

  Set tasks;
  // Until when tasks of this prospect count as more than can be done: some have
  // lately run out of time.
  std::map<SchedulingClass, base::Micros> overloaded_until;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_READY_TASKS_H_
