// How long tasks run, learned from those that ended; guesses of the callers
// are far off.

#ifndef SCHEDULER_RUN_TIMES_H_
#define SCHEDULER_RUN_TIMES_H_

#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace quartzhoist::scheduler {

class RunTimes {
 public:
  // A task of this image (or queue, where it has none) ran so long.
  void AddSample(const std::string& key, base::Micros duration);
  // The mean, or `fallback` while nothing is known.
  base::Micros Estimate(const std::string& key, base::Micros fallback) const;

 private:
  std::unordered_map<std::string, double> mean_seconds;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_RUN_TIMES_H_
