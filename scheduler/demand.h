// Trend of the work submitted to each queue.

#ifndef SCHEDULER_DEMAND_H_
#define SCHEDULER_DEMAND_H_

#include <deque>
#include <map>
#include <string>

#include "base/clock.h"

namespace quartzhoist::scheduler {

class DemandTrend {
 public:
  // Records work submitted to the queue.
  void RecordArrival(const std::string& queue,
                     double core_seconds,
                     base::Micros now);
  // Growth, in cores, that the arrivals prove: the work submitted over the last
  // second less that of the second before, less the standard error of this
  // difference. Zero while the arrival rate is steady or falls.
  double ExpectedGrowth(const std::string& queue, base::Micros now) const;

 private:
  struct Arrival {
    base::Micros at{};
    double core_seconds = 0.0;
  };
  std::map<std::string, std::deque<Arrival>> arrivals;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_DEMAND_H_
