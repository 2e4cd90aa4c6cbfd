// Times that another daemon stored, as readings of the store's clock.

#ifndef ENTRY_STORE_CLOCK_H_
#define ENTRY_STORE_CLOCK_H_

#include <cstdint>

#include "base/clock.h"
#include "entry/timing.h"
#include "platform/store.h"

namespace quartzhoist::entry {

// Upper bound on the local time at which the store's clock shows `store_ms`, as
// another daemon estimated it.
inline base::Micros LatestLocalTime(const platform::ClockReading& reading,
                                    std::int64_t store_ms) {
  const base::Micros ahead =
      std::chrono::milliseconds(store_ms - reading.store_ms) + kStoreClockSlack;
  return reading.at + (ahead > base::Micros::zero() ? WithClockDrift(ahead)
                                                    : WithoutClockDrift(ahead));
}

}  // namespace quartzhoist::entry

#endif  // ENTRY_STORE_CLOCK_H_
