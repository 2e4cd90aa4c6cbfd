#include "entry/renewal_schedule.h"

namespace quartzhoist::entry {

base::Micros TimeUntilRenewal(std::int64_t store_ms, base::Micros min_wait) {
  const base::Micros earliest = std::chrono::milliseconds(store_ms) + min_wait;
  const std::int64_t periods =
      (earliest + kRenewalPeriod - base::Micros(1)) / kRenewalPeriod;
  return periods * kRenewalPeriod - std::chrono::milliseconds(store_ms);
}

}  // namespace quartzhoist::entry
