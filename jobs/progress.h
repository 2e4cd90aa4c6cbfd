// What is kept of a job's progress: its state, the tasks that are done, and
// how often others failed. Its row is rewritten as ends come in.

#ifndef JOBS_PROGRESS_H_
#define JOBS_PROGRESS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "jobs/job.h"
#include "jobs/worker_incarnation.h"

namespace quartzhoist::jobs {

// One step of one repeat.
struct StepKey {
  int occurrence = 0;
  int step = 0;

  bool operator==(const StepKey&) const = default;
  bool operator<(const StepKey& other) const {
    return std::tie(this->occurrence, this->step) <
           std::tie(other.occurrence, other.step);
  }
};

// One task of a step.
struct TaskKey {
  StepKey step;
  int index = 0;

  bool operator==(const TaskKey&) const = default;
  bool operator<(const TaskKey& other) const {
    return std::tie(this->step, this->index) <
           std::tie(other.step, other.index);
  }
};

// Runs of a task by number: one that is told twice counts once, and one that is
// told after a later one counts too.
using RunNumbers = std::set<int>;

// Where a run of a task was placed: recorded before the worker is told, so that
// a later owner knows which worker to ask about the task.
struct Placement {
  WorkerIncarnation worker;
  int run = 0;

  bool operator==(const Placement&) const = default;
};

// A worker's life that was lost while a run of the task may have been at work
// there.
struct WorkerLoss {
  int run = 0;
  std::string box;                // empty: not known
  bool has_crashed = false;       // else it is silent, and may answer again
  bool was_sole_suspect = false;  // nothing else there was suspected of a crash
  bool start_confirmed = false;   // the worker had said that it started the run

  bool operator==(const WorkerLoss&) const = default;
};
using WorkerLosses = std::map<WorkerIncarnation, WorkerLoss>;

struct Progress {
  JobState state = JobState::kQueued;
  std::map<StepKey, std::vector<bool>> done;
  std::map<TaskKey, RunNumbers> failures;  // none of them empty
  std::map<TaskKey, Placement> placed;     // tasks that are not done
  // Runs that were told to stop when their task was done elsewhere: they take
  // room until they have ended, and a worker may list them nowhere meanwhile.
  std::map<TaskKey, Placement> stopping;
  std::map<TaskKey, WorkerLosses> losses;  // of tasks that are not done
  // Runs that were placed though many workers had been lost under the task.
  std::map<TaskKey, RunNumbers> last_tries;  // none of them empty

  bool IsDone(const StepKey& step, int index) const;
  // Nothing of the job runs or will.
  bool IsOver() const {
    return IsFinal(this->state) && this->placed.empty() &&
           this->stopping.empty();
  }
  void MarkDone(const StepKey& step, int index);
  void MarkFailed(const TaskKey& task, int run);
  // What is marked of a life stays so, whoever tells of it again.
  void MarkLost(const TaskKey& task,
                const WorkerIncarnation& life,
                const WorkerLoss& loss);
  // How many of its runs have failed.
  int FailureCount(const TaskKey& task) const;
};

std::string EncodeProgress(const Progress& progress);
// Nothing if the text is not of this form.
std::optional<Progress> DecodeProgress(std::string_view text);

// What two writers know together: both record facts, so a task done for one is
// done, a run that failed for one has failed, and of two placements the later
// run holds.
Progress Merge(const Progress& a, const Progress& b);

}  // namespace quartzhoist::jobs

#endif  // JOBS_PROGRESS_H_
