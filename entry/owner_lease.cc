#include "entry/owner_lease.h"

#include <algorithm>
#include <chrono>

namespace quartzhoist::entry {

namespace {

// Time between the holder's last command and the earliest takeover. Covers
// steady clocks that differ by 2% over the owner's silence (26 ms), the
// transmission to a worker (a few ms), and a delayed event loop on a slow box.
constexpr base::Micros kCommandMargin = std::chrono::milliseconds(150);

}  // namespace

// The row may be written at any time after the first attempt was sent, and the
// other daemons measure the silence from that write. A later attempt of the
// same renewal therefore does not extend the lease.
void OwnerLease::OnRenewalSent(std::uint64_t epoch,
                               std::uint64_t sequence,
                               base::Micros now,
                               base::Micros silence) {
  const auto [entry, is_first] = this->pending.try_emplace({epoch, sequence});
  Attempts& attempts = entry->second;
  if (is_first) {
    attempts.first_sent = now;
    attempts.expiry = now + silence - kCommandMargin;
  }
  ++attempts.count;
}

std::optional<base::Micros> OwnerLease::FirstAttempt(
    std::uint64_t epoch,
    std::uint64_t sequence) const {
  const auto found = this->pending.find({epoch, sequence});
  return found == this->pending.end()
             ? std::nullopt
             : std::optional<base::Micros>(found->second.first_sent);
}

// Earlier attempts of the same renewal may still be written.
void OwnerLease::OnRenewalNotWritten(std::uint64_t epoch,
                                     std::uint64_t sequence) {
  const auto found = this->pending.find({epoch, sequence});
  if (found != this->pending.end() && found->second.count == 1)
    this->pending.erase(found);
}

void OwnerLease::OnRenewalWritten(std::uint64_t epoch, std::uint64_t sequence) {
  const auto found = this->pending.find({epoch, sequence});
  if (found == this->pending.end())
    return;
  this->expiry = std::max(this->expiry, found->second.expiry);
  this->renewed_at = std::max(this->renewed_at, found->second.first_sent);
  this->pending.erase(this->pending.begin(), std::next(found));
}

}  // namespace quartzhoist::entry
