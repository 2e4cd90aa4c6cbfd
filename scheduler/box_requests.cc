#include "scheduler/box_requests.h"

#include <algorithm>

namespace quartzhoist::scheduler {

// While the pool has an idle box and its tasks still wait, another box helps
// only if it is of another kind or in another rack. So further boxes are
// requested one at a time with exponential backoff.
int BoxRequests::MinBoxes(const std::string& pool,
                          int boxes,
                          int idle,
                          base::Micros now) {
  const auto [entry, is_new] = this->requests.try_emplace(pool);
  Request& request = entry->second;
  if (is_new || idle == 0) {
    request = {.boxes_before = boxes, .since = now};
    return boxes + 1;
  }
  if (now < request.backoff_until)
    return 0;
  const bool is_requesting = request.backoff_until <= request.since;
  if (!is_requesting) {
    request.boxes_before = boxes;
    request.since = now;
  }
  const bool has_arrived = boxes > request.boxes_before;
  if (!has_arrived && now < request.since + kArrivalTimeout)
    return request.boxes_before + 1;
  request.backoff_until = now + request.backoff;
  request.backoff = std::min(2 * request.backoff, kMaxBackoff);
  return 0;
}

}  // namespace quartzhoist::scheduler
