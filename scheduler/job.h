// In-memory state of a job: its steps and tasks, and which are ready or done.

#ifndef SCHEDULER_JOB_H_
#define SCHEDULER_JOB_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "base/enum_names.h"
#include "jobs/job.h"
#include "jobs/progress.h"
#include "jobs/queue.h"
#include "scheduler/failed_search.h"
#include "scheduler/step_advice.h"
#include "scheduler/wait_reason.h"

namespace quartzhoist::scheduler {

enum class TaskState {
  kBlocked,  // its predecessors are not done, or it is not due
  kReady,
  kPlaced,  // a run of it is, or may be, active on a worker
  kDone,
  kFailed,   // all of its attempts failed
  kGivenUp,  // workers crash while running it; not started again
};

inline constexpr base::EnumNames<TaskState, 6> kTaskStateNames{{
    {TaskState::kBlocked, "blocked"},
    {TaskState::kReady, "ready"},
    {TaskState::kPlaced, "placed"},
    {TaskState::kDone, "done"},
    {TaskState::kFailed, "failed"},
    {TaskState::kGivenUp, "given_up"},
}};

// Cause of a job's failure.
enum class FailureCause {
  kAttempts,  // a task's attempts are used up
  kGivenUp,   // workers crash while running a task
  kRow,       // the store's row does not hold the job's progress
};

inline constexpr base::EnumNames<FailureCause, 3> kFailureCauseNames{{
    {FailureCause::kAttempts, "attempts"},
    {FailureCause::kGivenUp, "given_up"},
    {FailureCause::kRow, "row"},
}};

// Saved work that a run can resume from.
struct Checkpoint {
  std::string text;  // empty: there is none
  int run = 0;       // that saved it, or a later one that resumed from it
};

struct Task {
  TaskState state = TaskState::kBlocked;
  jobs::WorkerIncarnation worker;  // while placed
  int run = 0;                     // run number, while placed
  int latest_run = 0;              // highest run number assigned so far
  int inherited_run = 0;           // latest run of earlier owners accounted for
  bool is_serving = false;        // long-running task: reported in full service
  base::Micros last_served_at{};  // latest report that showed it so
  Checkpoint checkpoint;          // latest reported
  base::Micros ready_since{};
  // When the latest run was presumed over because its lease had expired.
  // Another owner may have renewed that lease unless the store has confirmed
  // this ownership since.
  base::Micros lease_expired_at{};
  WaitReason wait_reason = WaitReason::kCapacity;  // while ready
  base::Micros latest_loss_at{};  // last worker loss recorded for it
  std::vector<jobs::WorkerIncarnation> failed_on;  // latest last
  int migrations = 0;  // times it was moved off a stalled or slow worker
  // Another worker than the one it is placed on may have a run of it.
  bool has_other_run = false;
};

// State of one step in one repeat of the job.
struct StepState {
  std::vector<Task> tasks;
  bool released = false;  // its predecessors are done and it is due
  int tasks_done = 0;
  // The latest that any member of the gang has saved.
  Checkpoint gang_checkpoint;
  StepAdvice advice;  // used if the queue requires advice
  StepSearches searches;
};

// One repeat of all steps of the job.
struct Occurrence {
  base::Micros due{};
  std::vector<StepState> steps;
};

// Position of a task within its job.
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

// Breakdown of a job's time under this owner, for operators.
struct JobTimings {
  std::optional<base::Micros> first_placed;  // since it was accepted
  base::Micros longest_wait{};               // of a task, until it is placed
  base::Micros longest_run{};  // of a task, from its placement to its end
  int runs = 0;                // placed
  int lost_runs = 0;           // that did not complete their task
};

struct PendingStart {
  TaskPosition position;
  int run = 0;
  std::uint64_t change = 0;
  std::string checkpoint;  // to resume from; the same for all of a gang
};

// A run that is stopped once `change` is saved, which first names it.
struct PendingStop {
  TaskPosition position;
  jobs::Placement run;
  std::uint64_t change = 0;
};

// A failure that this owner has found and not reported yet.
struct UnreportedFailure {
  jobs::TaskKey task;
  FailureCause cause = FailureCause::kAttempts;
};

inline constexpr std::size_t kNoRowLimit =
    std::numeric_limits<std::size_t>::max();

// The job's row: what it takes, and what may go into it.
struct RowUse {
  // Upper bound of the encoded progress, with all that the placed runs may add;
  // 0 until measured.
  std::size_t bytes = 0;
  base::Micros measured_at{};
  std::uint64_t measured_change = 0;  // of the job's progress
  std::size_t saved_bytes = 0;        // of the last save
  std::size_t limit = kNoRowLimit;    // lower once a row has been rejected
  int rejections = 0;                 // since the last successful save
  base::Micros save_not_before{};
};

struct Job {
  std::string id;
  std::string organisation;  // charged with its quota; empty if none
  jobs::Queue queue;         // current configuration, or that at acceptance
  jobs::JobSpec spec;
  jobs::Progress progress;
  std::vector<Occurrence> occurrences;
  base::Micros accepted_at{};
  JobTimings timings;
  bool is_over_rate = false;  // its organisation had used up its fair share
  bool has_started = false;   // a worker has confirmed a start
  bool cancelled = false;     // recorded, perhaps not yet executed
  // Runs whose placement is being saved, with the change that contains it.
  // Their starts are sent once that change is saved.
  std::vector<PendingStart> pending_starts;
  std::vector<PendingStop> pending_stops;
  // Version of the stored row, and the latest change of `progress` in it.
  std::uint64_t version = 0;
  std::uint64_t change = 0;
  std::uint64_t saved_change = 0;
  RowUse row;
  // The change that contains the job's failure, until it is saved; else 0.
  std::uint64_t unsaved_failure = 0;
  std::optional<UnreportedFailure> unreported_failure;
  bool save_in_flight = false;

  bool finished() const { return jobs::IsFinal(this->progress.state); }
  // It is finished and, if it failed, its failure has been saved.
  bool end_is_saved() const {
    return this->finished() && this->unsaved_failure == 0;
  }
};

// Builds a job from its spec and its stored progress. `time_of_day_offset` is
// the reading of the monotonic clock at the Unix epoch.
Job MakeJob(std::string id,
            jobs::Queue queue,
            jobs::JobSpec spec,
            jobs::Progress progress,
            base::Micros accepted,
            base::Micros time_of_day_offset);

// Range of run numbers per epoch. A later owner's runs are numbered above those
// of every earlier owner, each of which starts fewer runs of a task than this.
inline constexpr std::uint64_t kRunsPerEpoch = 1000;
// Epoch of the owner that assigned this run number.
constexpr std::uint64_t EpochOf(int run) {
  return static_cast<std::uint64_t>(run) / kRunsPerEpoch + 1;
}

// Key of the task in the job's stored progress.
jobs::TaskKey KeyOf(const TaskPosition& position);
TaskPosition PositionOf(const jobs::TaskId& task);
TaskPosition PositionOf(const jobs::TaskKey& key);
jobs::TaskId IdOf(const Job& job, const TaskPosition& position);
// Whether the job contains this task.
bool HasTask(const Job& job, const TaskPosition& position);

StepState& StepAt(Job& job, const TaskPosition& position);
const StepState& StepAt(const Job& job, const TaskPosition& position);
Task& TaskAt(Job& job, const TaskPosition& position);
const jobs::Step& StepOf(const Job& job, const TaskPosition& position);

// Whether the task is placed on the worker as this run.
bool IsPlacedAs(const Task& task,
                const jobs::WorkerIncarnation& worker,
                int run);

// Resources that a task of the step reserves on its worker.
jobs::Resources ReservedBy(const jobs::Step& step);

// Releases steps that are due and whose predecessors are done. Returns the
// tasks that became ready; for a gang only its first task.
std::vector<TaskPosition> ReleaseSteps(Job& job, base::Micros now);

// Whether the task belongs to a gang of which a member is placed.
bool IsGangWithPlacedMember(const Job& job, const TaskPosition& position);

// Records what a run of the task has reported as saved. That of an earlier run
// than the one recorded is passed over: it may have been reported late.
void RecordCheckpoint(Job& job,
                      const TaskPosition& position,
                      const Checkpoint& reported);
// Checkpoint that the next run of the task resumes from; empty if from none.
std::string CheckpointFor(const Job& job, const TaskPosition& position);

// To be called when the job's queue has changed: what earlier searches found
// may not hold for another pool or priority.
void ForgetSearches(Job& job);

// Number of tasks that were given up because of worker crashes.
int CountGivenUpTasks(const Job& job);
// Whether every task of every repeat is done.
bool AreAllTasksDone(const Job& job);
// An unfinished task that has failed as often as its queue allows.
std::optional<jobs::TaskKey> FindExhaustedTask(const Job& job);

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_JOB_H_
