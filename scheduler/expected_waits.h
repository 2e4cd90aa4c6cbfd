// Estimates how long a new job of each queue waits for its first start: the
// work of the tasks placed before it, divided by the cores of its pool.

#ifndef SCHEDULER_EXPECTED_WAITS_H_
#define SCHEDULER_EXPECTED_WAITS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "jobs/queue.h"
#include "scheduler/job.h"
#include "scheduler/ready_tasks.h"

namespace quartzhoist::scheduler {

// Expected wait of a new job for its first start, by queue.
struct ExpectedWait {
  base::Micros
      within_rate{};         // a job within its organisation's guaranteed rate
  base::Micros over_rate{};  // a job over it

  bool operator==(const ExpectedWait&) const = default;
};

struct Work {
  Work& operator+=(const Work& other);

  double core_seconds = 0.0;
  double ready_cores = 0.0;  // of the tasks that could start at once
};

// Work of one priority that waits in a pool.
struct WaitingWork {
  Work on_time;  // placed before a new job within its rate
  Work late_or_over_rate;
};

// Input of the expected waits of one pool.
struct PoolWork {
  // Adds work of a task of this class; expired work is left out.
  void Add(int priority, SchedulingClass scheduling_class, const Work& work);

  std::map<int, WaitingWork> waiting;  // by priority
  double usable_cores = 0.0;           // of the usable boxes
  double free_cores = 0.0;             // of them, not used now
  double allocated_cores = 0.0;        // by the last plan of boxes
  double long_running_cores = 0.0;     // taken by long-running tasks
};

// Occurrences of jobs of which a task has been started or placed.
using BegunOccurrences = std::set<std::pair<const Job*, int>>;

// Whether the task's work is ahead of the tasks that follow it in its queue.
bool WaitsForCores(const ReadyTask& task);

// Expected wait until the pool's cores have done the work ahead; empty if the
// pool has no cores to wait for.
std::optional<base::Micros> ComputeExpectedWait(const Work& ahead,
                                                const PoolWork& pool);

// `pools` is by name. Queues of pools without any cores to wait for are left
// out.
std::map<std::string, ExpectedWait> ComputeExpectedWaits(
    const std::vector<jobs::Queue>& queues,
    const std::map<std::string, PoolWork>& pools);

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_EXPECTED_WAITS_H_
