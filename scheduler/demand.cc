#include "scheduler/demand.h"

#include <algorithm>
#include <cmath>

namespace quartzhoist::scheduler {

namespace {

constexpr base::Micros kWindow = std::chrono::seconds(1);

}  // namespace

void DemandTrend::RecordArrival(const std::string& queue,
                                double core_seconds,
                                base::Micros at) {
  std::deque<Arrival>& recent = this->arrivals[queue];
  const auto later =
      std::upper_bound(recent.begin(), recent.end(), at,
                       [](base::Micros time, const Arrival& arrival) {
                         return time < arrival.at;
                       });
  recent.insert(later, {.at = at, .core_seconds = core_seconds});
  while (recent.front().at < recent.back().at - 2 * kWindow)
    recent.pop_front();
}

// The standard error is that of independent arrivals (a compound Poisson
// process), whose variance is the sum of the squares. In a fleet of many shards
// a shard gets less than a job a second of a queue: without it, each single job
// would pass for growth by its whole work, and boxes would be moved for it. A
// single shard gets all jobs of a queue; there boxes that come in time for a
// rise are worth more than those that are moved for noise cost.
double DemandTrend::ExpectedGrowth(const std::string& queue,
                                   base::Micros now) const {
  const auto found = this->arrivals.find(queue);
  if (found == this->arrivals.end())
    return 0.0;
  double growth = 0.0;
  double variance = 0.0;
  for (const Arrival& arrival : found->second) {
    if (arrival.at < now - 2 * kWindow)
      continue;
    const bool is_recent = arrival.at >= now - kWindow;
    growth += is_recent ? arrival.core_seconds : -arrival.core_seconds;
    variance += arrival.core_seconds * arrival.core_seconds;
  }
  const double error = this->shards > 1 ? std::sqrt(variance) : 0.0;
  return std::max(0.0, growth - error);
}

}  // namespace quartzhoist::scheduler
