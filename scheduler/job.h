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
  kRoom,     // on the boxes of its pool, or its turn
  kQuota,    // its organisation's is used up
  kWorker,   // no worker has its label, or is large enough
  kAdvice,   // on which workers it may run
  kLease,    // one that ran out may have been renewed by another owner
  kSuspect,  // it is to start alone, or once its workers' fate is known
};

inline constexpr base::EnumNames<WaitReason, 6> kWaitReasonNames{{
    {WaitReason::kRoom, "room"},
    {WaitReason::kQuota, "quota"},
    {WaitReason::kWorker, "worker"},
    {WaitReason::kAdvice, "advice"},
    {WaitReason::kLease, "lease"},
    {WaitReason::kSuspect, "suspect"},
}};

// Could a box more let the task begin?
constexpr bool IsServedByBoxes(WaitReason reason) {
  return reason != WaitReason::kQuota && reason != WaitReason::kWorker;
}

struct Task {
  TaskState state = TaskState::kBlocked;
  jobs::WorkerIncarnation worker;  // while placed
  int run = 0;                     // while placed: the run's number
  int newest_run = 0;              // the highest number ever given
  int inherited_run = 0;   // the newest of earlier owners that is accounted for
  bool at_work = false;    // lasting: has been seen at full work
  std::string checkpoint;  // newest seen; empty: none
  base::Micros ready_since{};
  // The newest run was taken as over because its lease ran out. Another owner
  // may have renewed that lease unless the store has confirmed this one since.
  base::Micros lease_ended{};
  WaitReason waits_for = WaitReason::kRoom;  // while ready
  base::Micros newest_loss{};  // when a worker's was last noted under it
  std::vector<jobs::WorkerIncarnation> failed_on;  // newest last
  int moved = 0;  // times it was taken off a stalled or slow worker
};

// What is known of the workers that may run a step.
struct StepAdvice {
  std::map<jobs::WorkerIncarnation, std::string> tickets;
  base::Micros until{};  // they hold
  base::Micros asked{};  // when it was last asked for
  bool in_flight = false;
};

// One step of one repeat.
struct StepRuns {
  std::vector<Task> tasks;
  bool released = false;  // its tasks may start
  int done = 0;
  StepAdvice advice;  // where the queue asks for it
};

// One repeat of the steps.
struct Occurrence {
  base::Micros due{};
  std::vector<StepRuns> steps;
};

// A task's place within its job.
struct TaskPlace {
  int occurrence = 0;
  int step = 0;
  int index = 0;

  bool operator==(const TaskPlace&) const = default;
  bool operator<(const TaskPlace& other) const {
    return std::tie(this->occurrence, this->step, this->index) <
           std::tie(other.occurrence, other.step, other.index);
  }
};

// Where a job's time went under this owner, for people.
struct JobStory {
  std::optional<base::Micros> first_placed;  // since it was accepted
  base::Micros longest_wait{};               // of a task, for a place
  base::Micros longest_run{};  // of a task, from its place to its end
  int runs = 0;                // placed
  int lost_runs = 0;           // that did not end their task
};

struct PendingStart {
  TaskPlace place;
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
  base::Micros accepted{};
  JobStory story;
  bool beyond_due = false;  // its organisation had its due jobs already
  bool begun = false;       // a worker has said that it started a run of it
  bool cancelled = false;   // recorded, perhaps not yet carried out
  // Runs whose placement is being recorded, with the change that holds it;
  // their workers are told once it is saved.
  std::vector<PendingStart> pending_starts;
  // The row: its version, and which change of `progress` it holds.
  std::uint64_t version = 0;
  std::uint64_t change = 0;
  std::uint64_t saved_change = 0;
  std::uint64_t refused_change = 0;  // which the store does not take
  // The change that holds its failure, until that is saved; else 0.
  std::uint64_t unsaved_end = 0;
  bool saving = false;

  bool finished() const { return jobs::IsFinal(this->progress.state); }
  // It is over, and the store says so.
  bool end_stands() const { return this->finished() && this->unsaved_end == 0; }
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
inline constexpr std::uint64_t kRunsAnEpoch = 1000;
// The epoch of the owner that gave this number.
constexpr std::uint64_t EpochOf(int run) {
  return static_cast<std::uint64_t>(run) / kRunsAnEpoch + 1;
}

// The task's key in the job's record.
jobs::TaskKey KeyOf(const TaskPlace& place);
TaskPlace PlaceOf(const jobs::TaskId& task);
jobs::TaskId IdOf(const Job& job, const TaskPlace& place);
// Does the job have this task?
bool Exists(const Job& job, const TaskPlace& place);

StepRuns& StepAt(Job& job, const TaskPlace& place);
const StepRuns& StepAt(const Job& job, const TaskPlace& place);
Task& TaskAt(Job& job, const TaskPlace& place);
const jobs::Step& StepOf(const Job& job, const TaskPlace& place);

// What a task of the step takes of a worker's room.
jobs::Resources TakenBy(const jobs::Step& step);

// Releases steps whose turn has come; returns the places that became ready, one
// (the first task) for a gang.
std::vector<TaskPlace> ReleaseSteps(Job& job, base::Micros now);

// Of its tasks, those that are not started again for the crashes under them.
int GivenUpTasks(const Job& job);
// Every task of every repeat is done.
bool AllDone(const Job& job);
// Has a task that is not done failed as often as its queue allows?
bool IsOutOfAttempts(const Job& job);

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_JOB_H_
