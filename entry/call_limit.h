// Limits how many calls are made in any second.

#ifndef ENTRY_CALL_LIMIT_H_
#define ENTRY_CALL_LIMIT_H_

#include <cstddef>
#include <deque>

#include "base/clock.h"

namespace quartzhoist::entry {

class CallLimit {
 public:
  explicit CallLimit(std::size_t calls_per_second)
      : max_calls(calls_per_second) {}

  // Returns whether a call may be made now, and counts it if so.
  bool Take(base::Micros now);

 private:
  std::size_t max_calls;
  std::deque<base::Micros> calls;  // of the last second, oldest first
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_CALL_LIMIT_H_
