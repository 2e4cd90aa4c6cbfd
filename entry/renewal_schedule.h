// Schedule of ownership renewals. The holders of all shards renew at the same
// times of the store's clock, so that one read of the owner table returns all
// renewals of a period.

#ifndef ENTRY_RENEWAL_SCHEDULE_H_
#define ENTRY_RENEWAL_SCHEDULE_H_

#include <chrono>
#include <cstdint>

#include "base/clock.h"

namespace quartzhoist::entry {

// Interval between two renewals of an ownership. Each renewal costs one write,
// and one read by every daemon that follows the owner table.
inline constexpr base::Micros kRenewalPeriod = std::chrono::milliseconds(450);

// Returns the time from `store_ms` on the store's clock to the first renewal
// time that is at least `min_wait` away.
base::Micros TimeUntilRenewal(std::int64_t store_ms, base::Micros min_wait);

}  // namespace quartzhoist::entry

#endif  // ENTRY_RENEWAL_SCHEDULE_H_
