// Tasks that wait, for operators: why no run of them is known to be at work.

#ifndef SCHEDULER_WAITING_TASKS_H_
#define SCHEDULER_WAITING_TASKS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

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

// A task of a job that an operator asked about.
struct ExplainedTask {
  TaskPosition position;
  TaskState state = TaskState::kBlocked;
  bool is_at_work = false;  // placed, and known to run or be stopping
  base::Micros since{};     // how long it has been so
  // A name of kWaitReasonNames, kWaitsForEvacuation or kWaitsForStore; empty if
  // it waits for other tasks, for its start's answer, or not at all.
  std::string_view waits_for;
  // Tasks before it in its pool's queue; nothing if it is not in the queue.
  std::optional<int> ahead;
  // How long it is expected to wait from now; only of tasks that wait for room.
  std::optional<base::Micros> expected_start;
};
struct ExplainedTasks {
  // First waiting tasks, then those at work, then those blocked by other tasks.
  std::vector<ExplainedTask> tasks;
  int left_out = 0;
};
// It would fit on a worker in a zone that an operator has evacuated.
inline constexpr std::string_view kWaitsForEvacuation = "evacuation";
// Its placement is being saved, or the store has not confirmed the ownership.
inline constexpr std::string_view kWaitsForStore = "store";

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_WAITING_TASKS_H_
