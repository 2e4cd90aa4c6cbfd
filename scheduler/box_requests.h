// Boxes that a pool asks for though its cores suffice: tasks wait there that
// fit on none of its boxes, for memory or for those that may not share one.

#ifndef SCHEDULER_BOX_REQUESTS_H_
#define SCHEDULER_BOX_REQUESTS_H_

#include <chrono>
#include <map>
#include <string>

#include "base/clock.h"

namespace quartzhoist::scheduler {

class BoxRequests {
 public:
  // How many boxes the pool is to have at least for such tasks; 0: as many as
  // its cores need. `boxes` it has, of which `idle` could take anything.
  int MinBoxes(const std::string& pool, int boxes, int idle, base::Micros now);
  // Nothing waits so in the pool.
  void Clear(const std::string& pool) { this->requests.erase(pool); }

 private:
  // The first pause after a box came and nothing started on it, and the
  // longest.
  static constexpr base::Micros kInitialBackoff = std::chrono::seconds(4);
  static constexpr base::Micros kMaxBackoff = std::chrono::seconds(64);
  // A box that was asked for comes within this, or none can be spared.
  static constexpr base::Micros kArrivalTimeout = std::chrono::seconds(4);

  struct Request {
    int boxes_before = 0;  // that the pool had
    base::Micros since{};
    base::Micros backoff = kInitialBackoff;
    base::Micros backoff_until{};
  };

  std::map<std::string, Request> requests;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_BOX_REQUESTS_H_
