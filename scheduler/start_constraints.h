// Which workers may run a task, apart from their free capacity: the pool of its
// queue, the label and the limit of its step.

#ifndef SCHEDULER_START_CONSTRAINTS_H_
#define SCHEDULER_START_CONSTRAINTS_H_

#include "scheduler/job.h"
#include "scheduler/worker.h"

namespace quartzhoist::scheduler {

// Number of the worker's runs of other tasks of the same step and repeat. A run
// counts from its planning until its end is reported.
int CountOtherRunsOfStep(const Worker& worker, const jobs::TaskId& task);

// Whether the worker may run one more task of the step, beside `allocated`
// others that are about to be placed there.
bool IsBelowStepLimit(const Worker& worker,
                      const Job& job,
                      const TaskPosition& position,
                      int allocated = 0);
bool HasRequiredLabel(const Worker& worker, const jobs::Step& step);
// All constraints, but capacity.
bool IsSuitable(const Worker& worker,
                const Job& job,
                const TaskPosition& position);

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_START_CONSTRAINTS_H_
