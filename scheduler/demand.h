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
  // The jobs are partitioned into `shards`, of which this is one.
  explicit DemandTrend(int shards) : shards(shards) {}

  // Records work submitted to the queue at `at`, in any order.
  void RecordArrival(const std::string& queue,
                     double core_seconds,
                     base::Micros at);
  // Growth, in cores, that the arrivals prove: the work submitted over the last
  // second less that of the second before, less the standard error of this
  // difference if there are several shards. Zero while the arrival rate falls.
  double ExpectedGrowth(const std::string& queue, base::Micros now) const;

 private:
  struct Arrival {
    base::Micros at{};
    double core_seconds = 0.0;
  };
  int shards;
  std::map<std::string, std::deque<Arrival>> arrivals;  // oldest first
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_DEMAND_H_
