// Requests that a daemon holds briefly since it has just started and cannot
// serve them yet. Pure: times are passed in.

#ifndef ENTRY_START_HOLD_H_
#define ENTRY_START_HOLD_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace quartzhoist::entry {

template <typename Request>
class StartHold {
 public:
  // A daemon that has just started learns the configuration and the number of
  // shards by one read each, of some ms.
  static constexpr base::Micros kMaxTime{100'000};
  // More are answered at once: held ones keep connections occupied.
  static constexpr std::size_t kMaxRequests = 64;

  // False if there is no room.
  bool Add(Request request, base::Micros now) {
    if (this->held.size() >= kMaxRequests)
      return false;
    this->held.push_back({std::move(request), now + kMaxTime});
    return true;
  }

  // Removes and returns those that are to be answered now, in the order of
  // their arrival: all, if they can be served, and else those held for
  // kMaxTime.
  std::vector<Request> Take(base::Micros now, bool can_serve) {
    std::vector<Request> taken;
    while (!this->held.empty() &&
           (can_serve || this->held.front().second <= now)) {
      taken.push_back(std::move(this->held.front().first));
      this->held.pop_front();
    }
    return taken;
  }

  // When the next one has been held for kMaxTime; empty if none is held.
  std::optional<base::Micros> next_expiry() const {
    if (this->held.empty())
      return std::nullopt;
    return this->held.front().second;
  }

 private:
  std::deque<std::pair<Request, base::Micros>> held;  // with their expiry
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_START_HOLD_H_
