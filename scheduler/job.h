// A job as the scheduler keeps it: its tasks, what has ended, what is next.

#ifndef SCHEDULER_JOB_H_
#define SCHEDULER_JOB_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "base/enum_names.h"
#include "jobs/job.h"
#include "jobs/progress.h"
#include "jobs/queue.h"

namespace quartzhoist::scheduler {

enum class TaskState {
  kBlocked,  // steps before it are not done, or its time has not come
  kReady,
  kPlaced,  // a run of it is, or may be, on a worker
  kDone,
  kFailed,   // all its attempts failed
  kGivenUp,  // workers crash under it: it is not started again
};

// What a ready task waits for.
enum class WaitReason {
  kCapacity,          // on the boxes of its pool, or its turn
  kQuota,             // its organisation's is used up
  kNoSuitableWorker,  // no worker has its label, or is large enough
  kAdvice,            // on which workers it may run
  kLease,             // one that ran out may have been renewed by another owner
  kSuspect,  // it is to start alone, or once its workers' fate is known
};

inline constexpr base::EnumNames<WaitReason, 6> kWaitReasonNames{{
    {WaitReason::kCapacity, "room"},
    {WaitReason::kQuota, "quota"},
    {WaitReason::kNoSuitableWorker, "worker"},
    {WaitReason::kAdvice, "advice"},
    {WaitReason::kLease, "lease"},
    {WaitReason::kSuspect, "suspect"},
}};

// Could a box more let the task begin?
constexpr bool MoreBoxesMayHelp(WaitReason reason) {
  return reason != WaitReason::kQuota &&
         reason != WaitReason::kNoSuitableWorker;
}

struct Task {
  TaskState state = TaskState::kBlocked;
  jobs::WorkerLife worker;  // while placed
  int run = 0;              // while placed: the run's number
  int latest_run = 0;       // the highest number ever given
  int inherited_run = 0;  // the newest of earlier owners that is accounted for
  bool is_serving = false;  // lasting: has been seen at full work
  std::string checkpoint;   // newest seen; empty: none
  base::Micros ready_since{};
  // The newest run was taken as over because its lease ran out. Another owner
  // may have renewed that lease unless the store has confirmed this one since.
  base::Micros lease_expired_at{};
  WaitReason wait_reason = WaitReason::kCapacity;  // while ready
  base::Micros latest_loss_at{};  // when a worker's was last noted under it
  std::vector<jobs::WorkerLife> failed_on;  // newest last
  int migrations = 0;  // times it was taken off a stalled or slow worker
};

// What is known of the workers that may run a step.
struct StepAdvice {
  std::map<jobs::WorkerLife, std::string> tickets;
  base::Micros valid_until{};   // they hold
  base::Micros requested_at{};  // when it was last asked for
  bool in_flight = false;
};

// One step of one repeat.
struct StepState {
  std::vector<Task> tasks;
  bool released = false;  // its tasks may start
  int tasks_done = 0;
  StepAdvice advice;  // where the queue asks for it
};

// One repeat of the steps.
struct Occurrence {
  base::Micros due{};
  std::vector<StepState> steps;
};

// A task's place within its job.
struct TaskPosition {
  int occurrence = 0;
  int step = 0;
  int index = 0;

  bool operator==(const TaskPosition&) const = default;
  bool operator<(const TaskPosition& other) const {
    return std::tie(this->occurrence, this->step, this->index) <
           std::tie(other.occurrence, other.step, other.index);
  }
};

// Where a job's time went under this owner, for people.
struct JobTimings {
  std::optional<base::Micros> first_placed;  // since it was accepted
  base::Micros longest_wait{};               // of a task, for a place
  base::Micros longest_run{};  // of a task, from its place to its end
  int runs = 0;                // placed
  int lost_runs = 0;           // that did not end their task
};

struct PendingStart {
  TaskPosition place;
  int run = 0;
  std::uint64_t change = 0;
};

struct Job {
  std::string id;
  std::string organisation;  // whose quota it counts towards; empty: none
  jobs::Queue queue;  // as configured, or as it was when the job was accepted
  jobs::JobSpec spec;
  jobs::Progress progress;
  std::vector<Occurrence> occurrences;
  base::Micros accepted_at{};
  JobTimings timings;
  bool exceeds_share = false;  // its organisation had its due jobs already
  bool has_started = false;    // a worker has said that it started a run of it
  bool cancelled = false;      // recorded, perhaps not yet carried out
  // Runs whose placement is being recorded, with the change that holds it;
  // their workers are told once it is saved.
  std::vector<PendingStart> pending_starts;
  // The row: its version, and which change of `progress` it holds.
  std::uint64_t version = 0;
  std::uint64_t change = 0;
  std::uint64_t saved_change = 0;
  std::uint64_t rejected_change = 0;  // which the store does not take
  // The change that holds its failure, until that is saved; else 0.
  std::uint64_t unsaved_failure = 0;
  bool save_in_flight = false;

  bool finished() const { return jobs::IsFinal(this->progress.state); }
  // It is over, and the store says so.
  bool end_is_saved() const {
    return this->finished() && this->unsaved_failure == 0;
  }
};

// Builds the tasks of a job from its spec and what is recorded of it.
// `time_of_day_offset` is the monotonic clock's reading at 1970.
Job MakeJob(std::string id,
            jobs::Queue queue,
            jobs::JobSpec spec,
            jobs::Progress progress,
            base::Micros accepted,
            base::Micros time_of_day_offset);

// A later owner's runs are numbered above every earlier owner's, which started
// fewer runs of one task than this.
inline constexpr std::uint64_t kRunsPerEpoch = 1000;
// The epoch of the owner that gave this number.
constexpr std::uint64_t EpochOf(int run) {
  return static_cast<std::uint64_t>(run) / kRunsPerEpoch + 1;
}

// The task's key in the job's record.
jobs::TaskKey KeyOf(const TaskPosition& place);
TaskPosition PositionOf(const jobs::TaskId& task);
jobs::TaskId IdOf(const Job& job, const TaskPosition& place);
// Does the job have this task?
bool HasTask(const Job& job, const TaskPosition& place);

StepState& StepAt(Job& job, const TaskPosition& place);
const StepState& StepAt(const Job& job, const TaskPosition& place);
Task& TaskAt(Job& job, const TaskPosition& place);
const jobs::Step& StepOf(const Job& job, const TaskPosition& place);

// What a task of the step takes of a worker's room.
jobs::Resources ReservedBy(const jobs::Step& step);

// Releases steps whose turn has come; returns the places that became ready, one
// (the first task) for a gang.
std::vector<TaskPosition> ReleaseSteps(Job& job, base::Micros now);

// Of its tasks, those that are not started again for the crashes under them.
int CountGivenUpTasks(const Job& job);
// Every task of every repeat is done.
bool AreAllTasksDone(const Job& job);
// Has a task that is not done failed as often as its queue allows?
bool HasExhaustedAttempts(const Job& job);

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_JOB_H_
