// Time as the decisions see it: microseconds on a monotonic clock, handed in.

#ifndef BASE_CLOCK_H_
#define BASE_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace quartzhoist::base {

// An instant on the monotonic clock, or a span between two.
using Micros = std::chrono::microseconds;

// Seconds with a fraction, for people and for headers.
constexpr double Seconds(Micros span) {
  return std::chrono::duration<double>(span).count();
}

// Whole milliseconds, rounded down, for logs and for the wire.
constexpr std::int64_t Millis(Micros span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

// The monotonic clock. Pure decisions never call this: they are handed `now`.
inline Micros MonotonicNow() {
  return std::chrono::duration_cast<Micros>(
      std::chrono::steady_clock::now().time_since_epoch());
}

}  // namespace quartzhoist::base

#endif  // BASE_CLOCK_H_
