#include "scheduler/start_constraints.h"

#include <algorithm>
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

bool IsBelowStepLimit(const Worker& worker,
                      const Job& job,
                      const TaskPosition& position,
                      int allocated) {
  const std::int64_t limit = StepOf(job, position).max_per_worker;
  return limit == 0 ||
         CountOtherRunsOfStep(worker, IdOf(job, position)) + allocated < limit;
}

bool HasRequiredLabel(const Worker& worker, const jobs::Step& step) {
  const std::vector<std::string>& labels = worker.info.labels;
  return step.label.empty() ||
         std::find(labels.begin(), labels.end(), step.label) != labels.end();
}

bool IsSuitable(const Worker& worker,
                const Job& job,
                const TaskPosition& position) {
  return worker.info.service == job.queue.service &&
         HasRequiredLabel(worker, StepOf(job, position)) &&
         IsBelowStepLimit(worker, job, position);
}

}  // namespace quartzhoist::scheduler
