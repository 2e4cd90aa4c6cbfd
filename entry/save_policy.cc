#include "entry/save_policy.h"

#include <algorithm>

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A longer save marks the store as slow; under normal load a save takes 4 to
// 9 ms.
constexpr base::Micros kSlowWriteThreshold = milliseconds(60);

// Confirmations arrive every 0.45 s, and a slow store delays them by about
// 0.4 s. Later writes would still be safe, because they are conditional; they
// are held back so that an owner does not flood a store that rejects it.
constexpr base::Micros kMaxAnswerAge = milliseconds(1200);

// How long each write is limited to one part after the store refused a write
// over several. Covers several save intervals (0.2 s), and is shorter than the
// store outages seen on the sites (3 to 9 s), so that writes are batched again
// soon after one.
constexpr base::Micros kSinglePartPeriod = seconds(2);

}  // namespace

// If the store accepts writes over several parts, batching rows of many parts
// keeps the number of calls low while the store is fast. It is harmful in two
// cases. A slow store serializes the calls of each part, so a write over
// several parts blocks all of them. A store with some parts unavailable refuses
// every write that touches one of these: at peak demand nearly every write
// does, and no task starts at all. (In a replayed day with 6 s of such an
// outage, 84% of the work was served by value, against 73% with multi-part
// writes throughout; 540 workers, one run each.) A throttled write (429) does
// not limit writes to one part, since that would send more calls to an
// overloaded store.
void SavePolicy::OnWriteFinished(const platform::WriteResult& result,
                                 std::size_t parts,
                                 base::Micros took,
                                 base::Micros now) {
  using platform::WriteOutcome;
  this->last_latency = took;
  const bool refused = result.outcome == WriteOutcome::kNotDone;
  if (refused && parts > 1 && !result.throttled)
    this->single_part_until = now + kSinglePartPeriod;
  const bool answered = result.outcome == WriteOutcome::kDone ||
                        result.outcome == WriteOutcome::kConflict;
  if (answered)
    this->last_answer_at = now;
}

bool SavePolicy::single_part_only(base::Micros now) const {
  return !this->can_span_parts || this->is_slow() ||
         now < this->single_part_until;
}

// If only the part that holds the ownership row is unavailable, the saves
// themselves show that the store accepts writes.
bool SavePolicy::may_write(base::Micros now) const {
  return now - std::max(this->confirmed_at, this->last_answer_at) <
         kMaxAnswerAge;
}

bool SavePolicy::is_slow() const {
  return this->last_latency > kSlowWriteThreshold;
}

}  // namespace quartzhoist::entry
