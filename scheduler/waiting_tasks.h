// Tasks that have waited long, for operators: why no run of them is known to be
// at work.

#ifndef SCHEDULER_WAITING_TASKS_H_
#define SCHEDULER_WAITING_TASKS_H_

#include <optional>
#include <string>

#include "base/clock.h"
#include "jobs/job.h"
#include "scheduler/job.h"
#include "scheduler/worker.h"

namespace quartzhoist::scheduler {

struct WaitingTask {
  jobs::TaskId task;
  std::string pool;
  TaskState state = TaskState::kBlocked;
  base::Micros waited{};
  bool is_queued = false;  // in its pool's queue of ready tasks
  WaitReason reason = WaitReason::kCapacity;  // while ready
  // While placed: the run, and its state on its worker. Empty if the worker is
  // not known or has no such run.
  jobs::WorkerIncarnation worker;
  int run = 0;
  std::optional<RunState> run_state;
  std::optional<base::Micros> last_answer_ago;  // of the worker
  base::Micros lease_left{};  // longest lease the worker may hold
  int failed_calls = 0;       // to the worker, since its last answer
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_WAITING_TASKS_H_
