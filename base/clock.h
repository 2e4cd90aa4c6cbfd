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

// The monotonic clock, which counts the time of a suspension as well. Pure
// decisions never call this: they are handed `now`.
Micros MonotonicNow();

// The system's clock that counts suspensions.
Micros BootTimeNow();

using ClockReader = Micros (*)();
// Sets what MonotonicNow() reads from here on. For tests of suspensions; at the
// start it is the system's clock.
void ReadClockFrom(ClockReader reader);

}  // namespace quartzhoist::base

#endif  // BASE_CLOCK_H_
