#include "scheduler/idle_boxes.h"

#include <algorithm>
#include <utility>

#include "scheduler/fleet.h"

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longer than a cycle of demand that peaks in one pool after another (4 to 5 s
// each): a box that rests between two peaks costs two moves and is missing for
// the first 1.5 s of the second.
constexpr base::Micros kNeedWindow = seconds(20);

// Cores kept beyond the highest need of the window, for peaks that are higher
// than the last ones.
constexpr double kNeedMargin = 1.15;

// A rest of less than 2.6 s costs more than it saves: a move costs as much as
// 1.1 box-seconds, and its 1.5 s are paid for.
constexpr base::Micros kMinIdleTime = seconds(2);

// Plans are made every 0.25 s. After a longer gap, neither the need nor what
// the boxes did is known.
constexpr base::Micros kMaxObservationGap = milliseconds(1000);

// Rounding errors of the allocation must not keep a whole box from resting.
constexpr double kRoundingCores = 1e-6;

}  // namespace

std::vector<FleetPool> ScaleGrowth(std::vector<FleetPool> pools,
                                   double fraction) {
  for (FleetPool& pool : pools) {
    for (auto& [priority, demand] : pool.demand)
      demand.expected_cores *= fraction;
  }
  return pools;
}

void IdleBoxes::Observe(double need_cores,
                        const std::vector<Candidate>& idle,
                        base::Micros now) {
  const bool starts_anew =
      this->needs.empty() || now - this->observed_at > kMaxObservationGap;
  if (starts_anew) {
    this->needs.clear();
    this->idle_boxes.clear();
    this->observed_since = now;
  }
  this->observed_at = now;
  this->needs.push_back({.at = now, .cores = need_cores});
  while (this->needs.front().at < now - kNeedWindow)
    this->needs.pop_front();
  std::map<std::string, Idle> next;
  for (const Candidate& box : idle) {
    const auto found = this->idle_boxes.find(box.name);
    const bool is_still_idle = found != this->idle_boxes.end() &&
                               found->second.box.worker == box.worker &&
                               found->second.box.pool == box.pool;
    next[box.name] = {.box = box,
                      .since = is_still_idle ? found->second.since : now};
  }
  this->idle_boxes = std::move(next);
}

double IdleBoxes::HighestNeed() const {
  double highest = 0.0;
  for (const Need& need : this->needs)
    highest = std::max(highest, need.cores);
  return highest;
}

bool IdleBoxes::HasObservedWindow(base::Micros now) const {
  return !this->needs.empty() && now - this->observed_since >= kNeedWindow;
}

bool IdleBoxes::CoversNeed(double pool_cores, base::Micros now) const {
  return this->HasObservedWindow(now) &&
         pool_cores >= kNeedMargin * this->HighestNeed();
}

std::vector<std::string> IdleBoxes::Select(
    double pool_cores,
    std::map<std::string, double> surplus,
    base::Micros now) const {
  if (!this->HasObservedWindow(now))
    return {};
  std::vector<const Idle*> candidates;
  for (const auto& [name, idle] : this->idle_boxes) {
    if (now - idle.since >= kMinIdleTime)
      candidates.push_back(&idle);
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const Idle* a, const Idle* b) { return a->since < b->since; });
  double beyond = pool_cores - kNeedMargin * this->HighestNeed();
  std::vector<std::string> selected;
  for (const Idle* idle : candidates) {
    const Candidate& box = idle->box;
    const auto pool = surplus.find(box.pool);
    const bool may_rest = box.cores <= beyond + kRoundingCores &&
                          pool != surplus.end() &&
                          box.cores <= pool->second + kRoundingCores;
    if (!may_rest)
      continue;
    beyond -= box.cores;
    pool->second -= box.cores;
    selected.push_back(box.name);
  }
  return selected;
}

}  // namespace quartzhoist::scheduler
