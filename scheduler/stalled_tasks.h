// Detects long-running tasks that have not been known to be at work for some
// seconds, and reports them.

#ifndef SCHEDULER_STALLED_TASKS_H_
#define SCHEDULER_STALLED_TASKS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "scheduler/actions.h"
#include "scheduler/job.h"

namespace quartzhoist::scheduler {

class StalledTasks {
 public:
  using Jobs = std::unordered_map<std::string, Job>;
  // Whether the task is known to be at work now.
  using IsAtWork = std::function<bool(const Task&)>;

  // Watches the job's long-running tasks, if it has any, until it is over.
  void Watch(const Job& job);
  bool IsDue(base::Micros now) const { return now >= this->next_evaluation; }
  // Returns what has changed since the last evaluation: `LongRunningStalled` by
  // job, and at most one `CountStalls`. Time in which there was no evaluation
  // counts towards no stall.
  std::vector<Action> Evaluate(const Jobs& jobs,
                               const IsAtWork& is_at_work,
                               base::Micros now);
  // Number of tasks that are stalled, as of the last evaluation.
  int count() const { return this->stalled_count; }

 private:
  // Occurrence and step.
  using StepPosition = std::pair<int, int>;
  struct Stall {
    base::Micros since{};          // the task was last known to be at work
    base::Micros next_count_at{};  // it is counted again
  };
  struct WatchedJob {
    std::optional<base::Micros> watched_since;  // without a gap
    // From when on the tasks of a released step are expected to be at work.
    std::map<StepPosition, base::Micros> expected_since;
    std::map<TaskPosition, Stall> stalls;
  };
  // Result of one evaluation of a job.
  struct Findings {
    bool has_changed = false;
    int counted = 0;
    base::Micros longest_ended{};
  };

  void EvaluateStep(const Job& job,
                    const StepPosition& position,
                    WatchedJob& watched,
                    const IsAtWork& is_at_work,
                    base::Micros now,
                    Findings& findings) const;
  Findings EvaluateJob(const Job& job,
                       WatchedJob& watched,
                       const IsAtWork& is_at_work,
                       base::Micros now) const;

  std::map<std::string, WatchedJob> watched_jobs;
  base::Micros last_evaluation{};
  base::Micros next_evaluation{};
  int stalled_count = 0;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_STALLED_TASKS_H_
