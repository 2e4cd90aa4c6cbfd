#include "scheduler/start_constraints.h"

#include <limits>

namespace quartzhoist::scheduler {

// The step's recorded placements do not tell: a run whose task is placed
// elsewhere, or is done, goes on until it has been stopped.
int CountOtherRunsOfStep(const Worker& worker, const jobs::TaskId& task) {
  jobs::TaskId first = task;
  first.index = std::numeric_limits<int>::min();
  int count = 0;
  for (auto run = worker.runs.lower_bound(first); run != worker.runs.end();
       ++run) {
    const jobs::TaskId& other = run->first;
    if (other.job != task.job || other.occurrence != task.occurrence ||
        other.step != task.step)
      break;
    count += other.index != task.index;
  }
  return count;
}

}  // namespace quartzhoist::scheduler
