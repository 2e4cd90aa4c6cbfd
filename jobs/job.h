// Jobs as submitted by callers: steps, each consisting of identical tasks.

#ifndef JOBS_JOB_H_
#define JOBS_JOB_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/enum_names.h"

namespace quartzhoist::jobs {

// Resources that a task requires, or that a worker provides.
struct Resources {
  std::int64_t cpu_millis = 0;  // thousandths of a core
  std::int64_t memory_mb = 0;
  std::int64_t gpus = 0;

  bool operator==(const Resources&) const = default;
};

Resources operator+(const Resources& a, const Resources& b);
Resources operator-(const Resources& a, const Resources& b);
bool Fits(const Resources& request, const Resources& available);
// How many such requests fit together, at most `most`.
std::int64_t CountFitting(const Resources& request,
                          const Resources& available,
                          std::int64_t most);

struct Step {
  std::int64_t tasks = 1;
  Resources task_resources;
  std::int64_t estimate_ms = 0;      // caller's estimate of a task's run time
  std::vector<int> depends_on;       // steps that must be completed first
  bool checkpoints = false;          // a task can resume from saved progress
  bool gang = false;                 // all tasks must run at the same time
  bool prefers_single_rack = false;  // a gang runs slower across racks
  bool allows_speculative_runs = false;  // runs of a task may overlap
  bool long_running = false;             // runs until the job is cancelled
  bool fills = false;  // best effort: uses only leftover CPU time
  std::string label;   // required of the worker; empty: any worker
  std::string rack;    // where the data is; tasks run slower elsewhere
  std::int64_t max_per_worker = 0;   // tasks of this step; 0: no limit
  std::string image;                 // image that the tasks run
  std::int64_t max_unavailable = 0;  // long-running: max interrupted at once
  std::int64_t target_ms = 0;        // long-running: bound on tail latency
};

struct JobSpec {
  std::string text;  // passed to the tasks unchanged
  std::vector<Step> steps;
  std::int64_t repeat_count = 0;  // 0: runs once, immediately
  std::int64_t start_at_ms = 0;   // Unix time of the first occurrence
  std::int64_t interval_ms = 0;   // between occurrences

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

// Identifies a task by job, occurrence, step and index.
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
