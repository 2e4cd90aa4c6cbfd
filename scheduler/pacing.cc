// Filling tasks are slowed down before they harm the tasks that serve beside
// them.

#include <algorithm>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

// Of a serving task's target: above the first the filling tasks beside it are
// halved, above the second they rest, below the third they may do more.
constexpr double kHalveAbove = 0.75;
constexpr double kRestAbove = 0.95;
constexpr double kRaiseBelow = 0.55;
constexpr int kRaise = 20;  // percent a listing
constexpr int kLeast = 10;  // percent; below that it rests

// The worst tail on the worker, as a part of its target; negative if none.
double WorstTail(const Worker& worker) {
  double worst = -1.0;
  for (const auto& [task, run] : worker.runs) {
    if (run.target_ms > 0 && run.load >= 0)
      worst = std::max(worst, static_cast<double>(run.load) /
                                  static_cast<double>(run.target_ms));
  }
  return worst;
}

int NextPace(int pace, double tail) {
  if (tail > kRestAbove)
    return 0;
  if (tail > kHalveAbove)
    return pace / 2 < kLeast ? 0 : pace / 2;
  if (tail < kRaiseBelow)
    return std::min(100, pace + kRaise);
  return pace;
}

}  // namespace

void Scheduler::ThrottleFillers(Worker& worker) {
  const double tail = WorstTail(worker);
  for (auto& [task, run] : worker.runs) {
    if (!run.fills || run.state != RunState::kRunning)
      continue;
    // With nothing to serve beside it, it works at full speed.
    const int pace = tail < 0.0 ? 100 : NextPace(run.pace, tail);
    if (pace == run.pace)
      continue;
    run.pace = pace;
    this->actions.emplace_back(ThrottleRun{.worker = worker.info.life,
                                           .task = task,
                                           .run = run.number,
                                           .percent = pace});
  }
}

}  // namespace quartzhoist::scheduler
