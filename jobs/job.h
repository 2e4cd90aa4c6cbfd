// What callers hand in: a job of steps, each of equal tasks.

#ifndef JOBS_JOB_H_
#define JOBS_JOB_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/enum_names.h"

namespace quartzhoist::jobs {

// What a task takes of a worker, or a worker has.
struct Resources {
  std::int64_t cpu_millis = 0;  // thousandths of a core
  std::int64_t memory_mb = 0;
  std::int64_t gpus = 0;

  bool operator==(const Resources&) const = default;
};

Resources operator+(const Resources& a, const Resources& b);
Resources operator-(const Resources& a, const Resources& b);
bool Fits(const Resources& wanted, const Resources& room);

struct Step {
  std::int64_t tasks = 1;
  Resources task_resources;
  std::int64_t estimate_ms = 0;  // the caller's guess of one task's run time
  std::vector<int> depends_on;   // steps whose tasks must all be done first
  bool checkpoints = false;      // progress is saved and can be resumed
  bool gang = false;             // the tasks work only together
  bool rack_local = false;       // a gang is slower over several racks
  bool allows_speculative_runs = false;  // two runs of one task may overlap
  bool long_running = false;             // runs until the job is cancelled
  bool fills = false;  // takes only processor time left by others
  std::string label;   // the worker must have it; empty: any worker
  std::string rack;    // the data lies there; slower elsewhere
  std::int64_t max_per_worker = 0;   // tasks of the step; 0: no limit
  std::string image;                 // what the tasks run
  std::int64_t max_unavailable = 0;  // lasting: tasks we may interrupt at once
  std::int64_t target_ms = 0;        // lasting: bound of the users' tail time
};

struct JobSpec {
  std::string text;  // handed to the tasks as it came
  std::vector<Step> steps;
  std::int64_t repeat_count = 0;  // 0: runs once, at once
  std::int64_t start_at_ms = 0;   // since 1970; the first repeat's time
  std::int64_t interval_ms = 0;   // between two repeats

  std::int64_t occurrences() const {
    return this->repeat_count > 0 ? this->repeat_count : 1;
  }
};

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

inline constexpr base::EnumNames<JobState, 5> kJobStateNames{{
    {JobState::kQueued, "queued"},
    {JobState::kRunning, "running"},
    {JobState::kCompleted, "completed"},
    {JobState::kFailed, "failed"},
    {JobState::kCancelled, "cancelled"},
}};

constexpr bool IsFinal(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

// Names one task: the job, which repeat of it, the step, and which task.
struct TaskId {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  bool operator==(const TaskId&) const = default;
  bool operator<(const TaskId& other) const {
    return std::tie(this->job, this->occurrence, this->step, this->index) <
           std::tie(other.job, other.occurrence, other.step, other.index);
  }
};

}  // namespace quartzhoist::jobs

#endif  // JOBS_JOB_H_
