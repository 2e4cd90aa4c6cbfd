// Throttles filling (best-effort) tasks before they degrade the tail latency of
// serving tasks on the same worker.

#include <algorithm>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

// Thresholds on a serving task's tail latency, as fractions of its target.
// Above kHalveAbove the speed of the filling tasks beside it is halved, above
// kPauseAbove they are paused, below kRaiseBelow their speed is raised.
constexpr double kHalveAbove = 0.75;
constexpr double kPauseAbove = 0.95;
constexpr double kRaiseBelow = 0.55;
constexpr int kRaiseStep = 20;  // percentage points per worker report
constexpr int kMinPace = 10;    // percent; paused below it

// Highest ratio of tail latency to target on the worker; negative if no serving
// task has reported one.
double MaxTailRatio(const Worker& worker) {
  double max_ratio = -1.0;
  for (const auto& [task, run] : worker.runs) {
    if (run.target_ms > 0 && run.load >= 0)
      max_ratio = std::max(max_ratio, static_cast<double>(run.load) /
                                          static_cast<double>(run.target_ms));
  }
  return max_ratio;
}

int NextPace(int pace, double tail_ratio) {
  if (tail_ratio > kPauseAbove)
    return 0;
  if (tail_ratio > kHalveAbove)
    return pace / 2 < kMinPace ? 0 : pace / 2;
  if (tail_ratio < kRaiseBelow)
    return std::min(100, pace + kRaiseStep);
  return pace;
}

}  // namespace

void Scheduler::ThrottleFillers(Worker& worker) {
  const double tail_ratio = MaxTailRatio(worker);
  for (auto& [task, run] : worker.runs) {
    if (!run.fills || run.state != RunState::kRunning)
      continue;
    // Without a serving task on the worker it runs at full speed.
    const int pace = tail_ratio < 0.0 ? 100 : NextPace(run.pace, tail_ratio);
    if (pace == run.pace)
      continue;
    run.pace = pace;
    this->actions.emplace_back(ThrottleRun{.worker = worker.info.incarnation,
                                           .task = task,
                                           .run = run.number,
                                           .percent = pace});
  }
}

}  // namespace quartzhoist::scheduler
