// Recognises that a whole availability zone does not answer, from calls to a
// few of its workers. Performs no I/O.

#ifndef SCHEDULER_ZONE_HEALTH_H_
#define SCHEDULER_ZONE_HEALTH_H_

#include <map>
#include <string>

#include "base/clock.h"
#include "scheduler/worker.h"

namespace quartzhoist::scheduler {

class ZoneHealth {
 public:
  // Reassesses all zones by what is known of their workers.
  void Update(const std::map<jobs::WorkerIncarnation, Worker>& workers,
              base::Micros now);
  // The worker's zone does not answer, and the worker has not answered since.
  // Nothing is placed on it before it has answered a poll.
  bool IsDoubtful(const Worker& worker) const;

 private:
  // When the first of the calls was sent that showed it, by zone.
  std::map<std::string, base::Micros> silent_since;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_ZONE_HEALTH_H_
