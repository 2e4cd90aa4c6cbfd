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

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_START_CONSTRAINTS_H_
