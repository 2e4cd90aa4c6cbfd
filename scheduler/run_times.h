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
  void Learn(const std::string& kind, base::Micros took);
  // The mean, or `guess` while nothing is known.
  base::Micros Expect(const std::string& kind, base::Micros guess) const;

 private:
  std::unordered_map<std::string, double> mean_seconds;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_RUN_TIMES_H_
