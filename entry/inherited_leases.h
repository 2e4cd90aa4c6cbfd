// Bounds on the leases that earlier owners of a shard granted, which a new
// owner waits out at workers that do not answer.

#ifndef ENTRY_INHERITED_LEASES_H_
#define ENTRY_INHERITED_LEASES_H_

#include <optional>
#include <string>

#include "base/clock.h"
#include "entry/settings.h"
#include "entry/tables.h"

namespace quartzhoist::entry {

// A new owner's knowledge of the owners before it.
struct EarlierOwners {
  // The ownership of none of them was confirmed later.
  base::Micros confirmed{};
  // The daemon that wrote the lease record had ended by this time, or had lost
  // the shard; empty if it may still grant leases.
  std::optional<base::Micros> writer_ended;
};

// On the clock of the new owner.
struct GrantBounds {
  // From the last confirmation of an owner to the end of its last lease.
  base::Micros after_confirmation{};
  base::Micros longest_grant{};
};

// Name of the daemon in the lease records that it writes. With its address: a
// box that takes the place of another may have the other's id, while that one
// is only cut off.
std::string LeaseWriterOf(const Settings& settings);

// Upper bound on the end of the lease of a worker in the lease record.
// `recorded_end` is the recorded bound on this process's clock, if it is known.
base::Micros InheritedLeaseEnd(const LeaseHolder& holder,
                               std::optional<base::Micros> recorded_end,
                               const EarlierOwners& earlier,
                               const GrantBounds& bounds);

}  // namespace quartzhoist::entry

#endif  // ENTRY_INHERITED_LEASES_H_
