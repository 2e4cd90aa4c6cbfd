#include "base/clock.h"

#include <ctime>

namespace quartzhoist::base {

namespace {

ClockReader reader_in_use = &BootTimeNow;

}  // namespace

// The steady clock stands while the machine is suspended: an owner that woke
// would take its lease for lasting, though another has taken over meanwhile.
Micros BootTimeNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::duration_cast<Micros>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

Micros MonotonicNow() {
  return reader_in_use();
}

void ReadClockFrom(ClockReader reader) {
  reader_in_use = reader;
}

}  // namespace quartzhoist::base
