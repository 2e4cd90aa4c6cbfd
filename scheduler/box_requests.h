// Requests for additional boxes in pools that have enough cores but hold tasks
// that fit on none of their boxes, for lack of memory or because of limits on
// tasks per box.

#ifndef SCHEDULER_BOX_REQUESTS_H_
#define SCHEDULER_BOX_REQUESTS_H_

#include <chrono>
#include <map>
#include <string>

#include "base/clock.h"

namespace quartzhoist::scheduler {

class BoxRequests {
 public:
  // Returns the minimum number of boxes for a pool with such tasks; 0: no
  // minimum. `boxes` counts the pool's boxes, `idle` those that are usable and
  // empty.
  int MinBoxes(const std::string& pool, int boxes, int idle, base::Micros now);
  // The pool has no such tasks any more.
  void Clear(const std::string& pool) { this->requests.erase(pool); }

 private:
  // Exponential backoff after a request that did not help: no box came, or one
  // came and nothing started on it.
  static constexpr base::Micros kInitialBackoff = std::chrono::seconds(4);
  static constexpr base::Micros kMaxBackoff = std::chrono::seconds(64);
  // If no box arrives within this time, no pool can spare one.
  static constexpr base::Micros kArrivalTimeout = std::chrono::seconds(4);

  struct Request {
    int boxes_before = 0;  // in the pool when it was made
    base::Micros since{};
    base::Micros backoff = kInitialBackoff;
    base::Micros backoff_until{};
  };

  std::map<std::string, Request> requests;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_BOX_REQUESTS_H_
