// When the holders of several shards confirm: at the same moments of the
// store's clock, so that one look at the owner table shows all of them.

#ifndef ENTRY_RENEWAL_SCHEDULE_H_
#define ENTRY_RENEWAL_SCHEDULE_H_

#include <chrono>
#include <cstdint>

#include "base/clock.h"

namespace quartzhoist::entry {

// A holder confirms this often; each confirmation is a write, and a read for
// every daemon that follows.
inline constexpr base::Micros kRenewalPeriod = std::chrono::milliseconds(450);

// How long it is, at this moment of the store's clock, until the next beat that
// is at least so far away.
base::Micros TimeUntilRenewal(std::int64_t store_ms, base::Micros min_wait);

}  // namespace quartzhoist::entry

#endif  // ENTRY_RENEWAL_SCHEDULE_H_
