// Times that the owner's parts share.

#ifndef ENTRY_TIMING_H_
#define ENTRY_TIMING_H_

#include <chrono>
#include <cstdint>

#include "base/clock.h"

namespace quartzhoist::entry {

// How often the owner lets time pass.
inline constexpr base::Micros kTickPeriod = std::chrono::milliseconds(50);
// News is acted on after this, so that what comes together is placed together.
inline constexpr base::Micros kBatchDelay = std::chrono::milliseconds(2);
// A turn walks over all workers. After news the next one leaves so many times
// what the last one took, so that turns take a twelfth of the time at most
// (350 workers: 38% of an owner's time without a distance).
inline constexpr int kPassGapFactor = 12;
inline constexpr base::Micros kMaxPassGap = std::chrono::milliseconds(50);
// A holder of the ownership whose row has not changed for this long is taken
// over: three confirmations missed. A slow store (80 times 4 ms) stays below
// it.
inline constexpr base::Micros kOwnerSilence = std::chrono::milliseconds(1300);
// No lease lasts longer than this after the store confirmed the ownership: a
// store that is away for less interrupts nothing (sites: up to 9 s).
inline constexpr base::Micros kMaxLeaseAfterConfirmation =
    std::chrono::milliseconds(10'000);

// A span that another box's or worker's clock measured, on ours at most: steady
// clocks differ by 2%.
inline base::Micros WithClockDrift(base::Micros span) {
  constexpr double kClockDriftFactor = 1.05;
  return base::Micros(static_cast<std::int64_t>(
      static_cast<double>(span.count()) * kClockDriftFactor));
}

// What no daemon has done yet (owning a shard for the first time, counting the
// shards) one with a whole core does after this, one with a part of a core
// later in proportion, so that the strongest box comes first; and each after a
// draw below the spread more.
inline base::Micros FirstClaimDelay(double cores) {
  constexpr base::Micros kWholeCoreDelay = std::chrono::milliseconds(60);
  return base::Micros(static_cast<std::int64_t>(
      static_cast<double>(kWholeCoreDelay.count()) / cores));
}
inline constexpr std::int64_t kClaimJitterMillis = 120;

// The monotonic clock's reading at 1970.
inline base::Micros MonotonicTimeAt1970() {
  const auto since_1970 = std::chrono::duration_cast<base::Micros>(
      std::chrono::system_clock::now().time_since_epoch());
  return base::MonotonicNow() - since_1970;
}

}  // namespace quartzhoist::entry

#endif  // ENTRY_TIMING_H_
