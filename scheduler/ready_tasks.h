// Queue of a pool's tasks that are ready to be placed, ordered by priority,
// scheduling class and deadline.

#ifndef SCHEDULER_READY_TASKS_H_
#define SCHEDULER_READY_TASKS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <tuple>

#include "base/clock.h"
#include "scheduler/job.h"

namespace quartzhoist::scheduler {

// Scheduling classes in descending precedence within a priority.
enum class SchedulingClass {
  kInterrupted,  // long-running, and has run before: an outage until it runs
  kLongRunning,  // runs until cancelled; overdue from the start
  kStarted,      // can meet the target; the job has started
  kNotStarted,   // can meet the target; the job has not started
  kLate,         // misses the target, but is still useful
  kOverRate,     // job over its organisation's rate, not started
  kExpired,      // too late to be useful, but runs anyway
};

// A job is useful for up to this multiple of its objective.
inline constexpr int kUsefulnessFactor = 3;
// After this multiple of its objective a job counts as expired. The chain is
// computed from mean run times, while a step ends with its slowest task; one
// more objective on the estimate excludes no job that is still useful.
inline constexpr int kExpiryFactor = kUsefulnessFactor + 1;

// Time that the chain of steps takes, in percent of the sum of mean run times:
// a step ends with its slowest task.
inline constexpr int kSlowestTaskPercent = 130;

// The deadlines are latest start times: after the soft one the task misses its
// target, after the useful one its result probably comes too late to be useful,
// and after the firm one it certainly does.
struct ReadyTask {
  int priority = 0;
  SchedulingClass scheduling_class = SchedulingClass::kNotStarted;
  base::Micros soft_deadline{};
  base::Micros useful_deadline{};
  base::Micros firm_deadline{};
  std::uint64_t sequence = 0;  // insertion order; breaks ties
  Job* job = nullptr;          // jobs are never erased, so this stays valid
  TaskPosition position;

  // The deadline at which the task leaves its current class.
  base::Micros deadline() const {
    const bool uses_firm_deadline =
        this->scheduling_class == SchedulingClass::kLate ||
        this->scheduling_class == SchedulingClass::kOverRate;
    return uses_firm_deadline ? this->firm_deadline : this->soft_deadline;
  }
  // The class after the deadlines that have passed by `now`.
  SchedulingClass ClassAt(base::Micros now) const;
  bool operator<(const ReadyTask& other) const {
    return std::make_tuple(this->priority, this->scheduling_class,
                           this->deadline(), this->sequence) <
           std::make_tuple(other.priority, other.scheduling_class,
                           other.deadline(), other.sequence);
  }
};

// Whether the entry stands for this task; that of a gang stands for all of its
// tasks.
bool StandsFor(const ReadyTask& queued,
               const Job& job,
               const TaskPosition& position);

class ReadyTasks {
 public:
  using Set = std::set<ReadyTask>;
  // Outcome of an attempt to place a task.
  enum class AttemptResult {
    kPlaced,    // removed from the queue; its job has started
    kObsolete,  // removed from the queue without a placement
    kKept,
    kStop,  // kept; ends the iteration
  };

  void Insert(const ReadyTask& task) { this->tasks.insert(task); }
  // Calls `attempt` for each task by priority and scheduling class until it
  // returns kStop. `attempt` must not insert tasks.
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
  // Returns false if the attempts have been stopped.
  bool TryInOrderWithin(
      int priority,
      SchedulingClass scheduling_class,
      base::Micros now,
      const std::function<AttemptResult(const ReadyTask& task)>& attempt);
  // Attempts the late tasks whose useful deadline is next. Returns false if the
  // attempts have been stopped.
  bool TryExpiring(
      int priority,
      base::Micros now,
      const std::function<AttemptResult(const ReadyTask& task)>& attempt);
  // Whether the pool can start all useful tasks of the priority, at its present
  // rate, before the ones that become late now expire.
  bool CanDrain(int priority) const;
  void RecordPlacement(base::Micros now);
  void PromoteStartedStep(const ReadyTask& placed);

  Set tasks;
  // Times of the placements of the last kRateWindow, oldest first.
  std::deque<base::Micros> placements;
  // Placements of expiring tasks that the other placements allow.
  double expiring_allowance = 0.0;
  // Until when a class counts as overloaded: some of its tasks have recently
  // missed their deadline.
  std::map<SchedulingClass, base::Micros> overloaded_until;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_READY_TASKS_H_
