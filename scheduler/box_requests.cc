#include "scheduler/box_requests.h"

#include <algorithm>

namespace quartzhoist::scheduler {

// An idle box is the most that another one could offer: while the pool has one
// and its tasks wait on, more boxes help only if they are of another kind or
// rack. So one more is tried now and then, less and less often.
int BoxRequests::Ask(const std::string& pool,
                     int boxes,
                     int idle,
                     base::Micros now) {
  const auto [entry, is_new] = this->requests.try_emplace(pool);
  Request& request = entry->second;
  if (is_new || idle == 0) {
    request = {.boxes = boxes, .since = now};
    return boxes + 1;
  }
  if (now < request.paused_until)
    return 0;
  const bool is_asking = request.paused_until <= request.since;
  if (!is_asking) {
    request.boxes = boxes;
    request.since = now;
  }
  const bool has_come = boxes > request.boxes;
  if (!has_come && now < request.since + kBoxComes)
    return request.boxes + 1;
  request.paused_until = now + request.pause;
  request.pause = std::min(2 * request.pause, kLongestPause);
  return 0;
}

}  // namespace quartzhoist::scheduler
