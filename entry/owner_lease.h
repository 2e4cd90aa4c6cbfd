// Until when the holder of the ownership may give orders, where neither workers
// nor boxes refuse those of an earlier holder: it stops before another may take
// over.

#ifndef ENTRY_OWNER_LEASE_H_
#define ENTRY_OWNER_LEASE_H_

#include <cstdint>
#include <map>
#include <utility>

#include "base/clock.h"

namespace quartzhoist::entry {

class OwnerLease {
 public:
  // A confirmation with this beat is about to be written; others take over no
  // sooner than `silence` after it has been.
  void OnRenewalSent(std::uint64_t epoch,
                     std::uint64_t sequence,
                     base::Micros now,
                     base::Micros silence);
  // The last try has not been written, and never will be.
  void OnRenewalNotWritten(std::uint64_t epoch, std::uint64_t sequence);
  // The row holds it.
  void OnRenewalWritten(std::uint64_t epoch, std::uint64_t sequence);

  // Orders may leave before this; zero before the first confirmation.
  base::Micros valid_until() const { return this->expiry; }
  // When the newest confirmation that the row holds was first asked for: what a
  // later holder can tell of this one's, whatever answers were lost.
  base::Micros last_renewal() const { return this->renewed_at; }

 private:
  struct Attempts {
    base::Micros first_sent{};  // when the first try was asked for
    base::Micros expiry{};      // that it gives
    int count = 0;
  };

  // Confirmations whose fate is open, by epoch and beat.
  std::map<std::pair<std::uint64_t, std::uint64_t>, Attempts> pending;
  base::Micros expiry{};
  base::Micros renewed_at{};
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_OWNER_LEASE_H_
