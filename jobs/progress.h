// Stored progress of a job: its state, which tasks are done, and the failed
// runs of the others. The row is rewritten as tasks end.

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

// A step of one occurrence of a repeated job.
struct StepKey {
  int occurrence = 0;
  int step = 0;

  bool operator==(const StepKey&) const = default;
  bool operator<(const StepKey& other) const {
    return std::tie(this->occurrence, this->step) <
           std::tie(other.occurrence, other.step);
  }
};

struct TaskKey {
  StepKey step;
  int index = 0;

  bool operator==(const TaskKey&) const = default;
  bool operator<(const TaskKey& other) const {
    return std::tie(this->step, this->index) <
           std::tie(other.step, other.index);
  }
};

// Run numbers of a task. A set, so that a run reported twice counts once and
// one reported after a later run still counts.
using RunNumbers = std::set<int>;

// The worker that a run of a task was assigned to. Stored before the run is
// sent to the worker, so that a later owner knows which worker to query.
struct Placement {
  WorkerIncarnation worker;
  int run = 0;

  bool operator==(const Placement&) const = default;
  // Later runs sort last.
  bool operator<(const Placement& other) const {
    return std::tie(this->run, this->worker) <
           std::tie(other.run, other.worker);
  }
};
using Placements = std::set<Placement>;

// The loss of a worker incarnation that may have been executing a run of the
// task.
struct WorkerLoss {
  int run = 0;
  std::string box;                // empty: unknown
  bool has_crashed = false;       // else it stopped answering, and may return
  bool was_sole_suspect = false;  // no other run there was suspected
  bool start_confirmed = false;   // the worker had reported the run as started

  bool operator==(const WorkerLoss&) const = default;
};
using WorkerLosses = std::map<WorkerIncarnation, WorkerLoss>;

struct Progress {
  JobState state = JobState::kQueued;
  // Epoch of the shard's owner that found the job's failure; 0 if the job has
  // not failed, and in rows of versions that did not store it.
  std::uint64_t failure_epoch = 0;
  // The organisation whose key submitted the job; empty if it was accepted
  // without one. Nothing in rows of versions that did not store it.
  std::optional<std::string> organisation;
  std::string queue;  // that accepted the job; empty in rows without it
  std::map<StepKey, std::vector<bool>> done;
  std::map<TaskKey, RunNumbers> failures;  // no value is empty
  std::map<TaskKey, Placement> placed;     // tasks that are not done
  // Runs ordered to stop because their task is done or placed elsewhere. They
  // occupy resources until they end, and may be missing from their workers'
  // listings. No value is empty.
  std::map<TaskKey, Placements> stopping;
  std::map<TaskKey, WorkerLosses> losses;  // of tasks that are not done
  // Runs placed although many workers had been lost while executing the task.
  std::map<TaskKey, RunNumbers> last_tries;  // no value is empty

  bool IsDone(const StepKey& step, int index) const;
  // Whether no task of the job runs or will run.
  bool IsOver() const {
    return IsFinal(this->state) && this->placed.empty() &&
           this->stopping.empty();
  }
  void MarkDone(const StepKey& step, int index);
  bool IsStopping(const TaskKey& task, int run) const;
  // Removes the run from those that are being stopped. False if it was none.
  bool MarkStopEnded(const TaskKey& task, int run);
  void MarkFailed(const TaskKey& task, int run);
  // Flags set for an incarnation are kept when its loss is reported again.
  void MarkLost(const TaskKey& task,
                const WorkerIncarnation& life,
                const WorkerLoss& loss);
  // The number of failed runs of the task.
  int FailureCount(const TaskKey& task) const;
};

std::string EncodeProgress(const Progress& progress);
// Empty if the text is malformed.
std::optional<Progress> DecodeProgress(std::string_view text);

// Combines the progress recorded by two writers. Both record facts: a task that
// is done or a run that failed for either is so in the result, a run that
// either was stopping is stopping, and of two placements of a task the later
// run wins. An organisation or queue that either names is kept.
Progress Merge(const Progress& a, const Progress& b);

}  // namespace quartzhoist::jobs

#endif  // JOBS_PROGRESS_H_
