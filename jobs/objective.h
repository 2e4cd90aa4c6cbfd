// Time within which a job is to be done, from its steps and its queue.

#ifndef JOBS_OBJECTIVE_H_
#define JOBS_OBJECTIVE_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "base/clock.h"
#include "jobs/job.h"
#include "jobs/queue.h"

namespace quartzhoist::jobs {

// Returns the run time of a task of the step.
using RunTimeOf = std::function<base::Micros(const Step& step)>;

// Duration of the longest chain of steps that starts at step `from`. If `from`
// is the number of steps, the longest chain of all.
base::Micros LongestChain(const std::vector<Step>& steps,
                          std::size_t from,
                          const RunTimeOf& run_time_of);

// The queue's target latency plus the job's longest chain multiplied by the
// queue's extension factor.
base::Micros ObjectiveFor(const Queue& queue, base::Micros chain);

}  // namespace quartzhoist::jobs

#endif  // JOBS_OBJECTIVE_H_
