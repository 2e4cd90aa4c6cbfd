// Time constants and clock helpers shared by the modules of a shard's owner.

#ifndef ENTRY_TIMING_H_
#define ENTRY_TIMING_H_

#include <chrono>
#include <cstdint>

#include "base/clock.h"

namespace quartzhoist::entry {

// Period of the owner's timer, which advances the scheduler's time.
inline constexpr base::Micros kTickPeriod = std::chrono::milliseconds(50);
// Delay between an event and the scheduling pass it triggers, so that events
// that arrive together are handled in one pass.
inline constexpr base::Micros kBatchDelay = std::chrono::milliseconds(2);
// A scheduling pass iterates over all workers. After an event, the next pass
// starts no sooner than this many times the duration of the last pass after its
// start, up to kMaxPassGap, so that passes take at most a twelfth of the time.
// Without a gap they took 38% of an owner's time with 350 workers.
inline constexpr int kPassGapFactor = 12;
inline constexpr base::Micros kMaxPassGap = std::chrono::milliseconds(50);
// A shard is taken over once its owner row has not changed for this long, which
// is about three missed confirmations. A slow store (80 times 4 ms) stays below
// it.
inline constexpr base::Micros kOwnerSilence = std::chrono::milliseconds(1300);
// Bound on every lease, counted from the last ownership confirmation by the
// store. A shorter outage of the store interrupts no runs; outages of up to 9 s
// occur at the sites.
inline constexpr base::Micros kMaxLeaseAfterConfirmation =
    std::chrono::milliseconds(10'000);

// Upper bound, on the local clock, of a time span measured by the clock of
// another box or worker. Monotonic clocks differ by 2%.
inline base::Micros WithClockDrift(base::Micros span) {
  constexpr double kClockDriftFactor = 1.05;
  return base::Micros(static_cast<std::int64_t>(
      static_cast<double>(span.count()) * kClockDriftFactor));
}

// Bound on the error of the estimated store clock, which is about the fastest
// response time of the store: some hundred ms if the store is slow.
inline constexpr base::Micros kStoreClockSlack =
    std::chrono::milliseconds(1000);

// Lower bound, on the local clock, of such a time span.
inline base::Micros WithoutClockDrift(base::Micros span) {
  constexpr double kClockDriftFactor = 0.95;
  return base::Micros(static_cast<std::int64_t>(
      static_cast<double>(span.count()) * kClockDriftFactor));
}

// Delay before a daemon does what no daemon has done yet: taking a shard that
// never had an owner, or determining the number of shards. It is inversely
// proportional to the cores of the daemon's box, so that the strongest box goes
// first. Each daemon adds a random delay below kClaimJitterMillis, as it does
// before it takes a released shard.
inline base::Micros FirstClaimDelay(double cores) {
  constexpr base::Micros kWholeCoreDelay = std::chrono::milliseconds(60);
  return base::Micros(static_cast<std::int64_t>(
      static_cast<double>(kWholeCoreDelay.count()) / cores));
}
inline constexpr std::int64_t kClaimJitterMillis = 120;

// Reading of the monotonic clock at the Unix epoch.
inline base::Micros MonotonicTimeAt1970() {
  const auto since_1970 = std::chrono::duration_cast<base::Micros>(
      std::chrono::system_clock::now().time_since_epoch());
  return base::MonotonicNow() - since_1970;
}

}  // namespace quartzhoist::entry

#endif  // ENTRY_TIMING_H_
