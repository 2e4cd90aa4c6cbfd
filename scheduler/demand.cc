#include "scheduler/demand.h"

namespace quartzhoist::scheduler {

namespace {

constexpr base::Micros kWindow = std::chrono::seconds(1);

}  // namespace

void DemandTrend::RecordArrival(const std::string& queue,
                                double core_seconds,
                                base::Micros now) {
  std::deque<Arrival>& recent = this->arrivals[queue];
  recent.push_back({.at = now, .core_seconds = core_seconds});
  while (recent.front().at < now - 2 * kWindow)
    recent.pop_front();
}

double DemandTrend::CoresTrend(const std::string& queue,
                               base::Micros now) const {
  const auto found = this->arrivals.find(queue);
  if (found == this->arrivals.end())
    return 0.0;
  double trend = 0.0;
  for (const Arrival& arrival : found->second) {
    if (arrival.at >= now - kWindow)
      trend += arrival.core_seconds;
    else if (arrival.at >= now - 2 * kWindow)
      trend -= arrival.core_seconds;
  }
  return trend;
}

}  // namespace quartzhoist::scheduler
