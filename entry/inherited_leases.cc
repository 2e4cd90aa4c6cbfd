#include "entry/inherited_leases.h"

#include <algorithm>

namespace quartzhoist::entry {

std::string LeaseWriterOf(const Settings& settings) {
  return settings.id + "@" + settings.callers_address;
}

// The end of the record's writer bounds the leases that it granted itself,
// which are those of the workers that it held. The workers that it had only
// inherited may be reached by an owner before it, which is cut off and still
// grants: their recorded bound stays.
base::Micros InheritedLeaseEnd(const LeaseHolder& holder,
                               std::optional<base::Micros> recorded_end,
                               const EarlierOwners& earlier,
                               const GrantBounds& bounds) {
  const base::Micros by_confirmation =
      earlier.confirmed + bounds.after_confirmation;
  if (!recorded_end)
    return by_confirmation;
  if (!holder.held)
    return std::min(by_confirmation, *recorded_end);
  if (!earlier.writer_ended)
    return by_confirmation;
  // A held worker refuses the commands of owners before the writer; the
  // recorded end covers what they had granted.
  const base::Micros last_grant_end =
      *earlier.writer_ended + bounds.longest_grant;
  return std::min(by_confirmation, std::max(*recorded_end, last_grant_end));
}

}  // namespace quartzhoist::entry
