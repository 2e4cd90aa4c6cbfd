// Run time estimates from finished tasks, because callers' estimates are far
// off.

#ifndef SCHEDULER_RUN_TIMES_H_
#define SCHEDULER_RUN_TIMES_H_

#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace quartzhoist::scheduler {

class RunTimes {
 public:
  // Adds the run time of a finished task. `key` is its image, or its queue if
  // it has none.
  void AddSample(const std::string& key, base::Micros duration);
  // The moving average, or `fallback` before the first sample.
  base::Micros Estimate(const std::string& key, base::Micros fallback) const;

 private:
  std::unordered_map<std::string, double> mean_seconds;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_RUN_TIMES_H_
