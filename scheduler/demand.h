// How much work each queue is handed, and how that changes.

#ifndef SCHEDULER_DEMAND_H_
#define SCHEDULER_DEMAND_H_

#include <deque>
#include <map>
#include <string>

#include "base/clock.h"

namespace quartzhoist::scheduler {

class DemandTrend {
 public:
  // Work in core-seconds.
  void RecordArrival(const std::string& queue,
                     double core_seconds,
                     base::Micros now);
  // The change of what is handed in: cores over the last second, less those
  // over the second before. Negative while it falls.
  double CoresTrend(const std::string& queue, base::Micros now) const;

 private:
  struct Arrival {
    base::Micros at{};
    double core_seconds = 0.0;
  };
  std::map<std::string, std::deque<Arrival>> arrivals;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_DEMAND_H_
