// Validity of a shard ownership as its holder may assume it. Where workers and
// boxes do not reject the commands of an earlier holder, the holder sends none
// after the lease has expired, which is before another daemon may take over.

#ifndef ENTRY_OWNER_LEASE_H_
#define ENTRY_OWNER_LEASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "base/clock.h"

namespace quartzhoist::entry {

class OwnerLease {
 public:
  // The renewal with this sequence number is about to be sent. Other daemons
  // take over no sooner than `silence` after it is written.
  void OnRenewalSent(std::uint64_t epoch,
                     std::uint64_t sequence,
                     base::Micros now,
                     base::Micros silence);
  // The last attempt was not written and never will be.
  void OnRenewalNotWritten(std::uint64_t epoch, std::uint64_t sequence);
  // The row contains this renewal.
  void OnRenewalWritten(std::uint64_t epoch, std::uint64_t sequence);

  // When this renewal was first sent; empty if its outcome is known or no
  // attempt was made.
  std::optional<base::Micros> FirstAttempt(std::uint64_t epoch,
                                           std::uint64_t sequence) const;

  // Commands may be sent before this time; zero before the first renewal.
  base::Micros valid_until() const { return this->expiry; }
  // When the newest renewal that the row is known to contain was first sent.
  // A later holder can tell no more from the row, whichever answers were lost.
  base::Micros last_renewal() const { return this->renewed_at; }

 private:
  struct Attempts {
    base::Micros first_sent{};  // of the first attempt
    base::Micros expiry{};      // of the lease, once written
    int count = 0;
  };

  // Renewals with an unknown outcome, by epoch and sequence number.
  std::map<std::pair<std::uint64_t, std::uint64_t>, Attempts> pending;
  base::Micros expiry{};
  base::Micros renewed_at{};
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_OWNER_LEASE_H_
