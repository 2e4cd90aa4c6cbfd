// Final checks of the model's jobs.

#include <algorithm>

#include <fmt/format.h>

#include "testing/scheduler_model.h"

namespace quartzhoist::testing {

namespace {

// A task may be given up from this many crashes on (the platform's pages).
constexpr int kMinCrashesToGiveUp = 2;

}  // namespace

void SchedulerModel::CheckFailureReport(const scheduler::JobFailed& failed) {
  if (this->StateOf(failed.job) != jobs::JobState::kFailed)
    this->ReportViolation(
        fmt::format("the failure of {} is reported unsaved", failed.job));
  if (!this->reported_failures.insert(failed.job).second)
    this->ReportViolation(
        fmt::format("the failure of {} is reported twice", failed.job));
}

jobs::JobState SchedulerModel::StateOf(const std::string& job) const {
  return jobs::DecodeProgress(this->jobs.at(job).progress)->state;
}

int SchedulerModel::TasksThatMayBeGivenUp(const std::string& job) const {
  const auto& lost = this->jobs.at(job).lost_workers;
  return static_cast<int>(std::count_if(
      lost.begin(), lost.end(),
      [](const auto& entry) { return entry.second >= kMinCrashesToGiveUp; }));
}

int SchedulerModel::RunningTasks(const std::string& job) const {
  int count = 0;
  for (const auto& [id, worker] : this->workers) {
    for (const auto& [task, run] : worker.running)
      count += worker.alive && task.job == job;
  }
  return count;
}

}  // namespace quartzhoist::testing
