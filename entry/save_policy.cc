#include "entry/save_policy.h"

#include <algorithm>

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A save that took longer shows a slow store (4 to 9 ms on a calm day).
constexpr base::Micros kSlowWriteThreshold = milliseconds(60);

// Confirmations come each 0.45 s, a slow store answers them some 0.4 s late.
// What is written later than this is still conditional: it is only spared, so
// that an owner which the store turns away does not flood it.
constexpr base::Micros kWriteAllowance = milliseconds(1200);

// After a refused write over several parts each part goes alone for so long:
// several rounds of saves (0.2 s), shorter than outages of a store (3 to 9 s on
// the sites), so that calls are few again soon after.
constexpr base::Micros kSinglePartPeriod = seconds(2);

}  // namespace

// Where one write may span parts, a quick store takes rows of several at once,
// in few calls. Two loads make that the wrong choice. A slow store writes each
// part's calls in turn, and one over several parts holds up all of them. A
// store of which some parts are away refuses every write that touches one of
// them: at a height of demand nearly every write does, and nothing starts at
// all. (Of a day with 6 s of that 84% of the work was served, by its value, 73%
// with rows of several parts in a call throughout; 540 workers, one play each.)
// A store that is only too busy (429) is not asked more often for it.
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

// Where the part of the ownership alone is away, the saves themselves show that
// the store takes writes.
bool SavePolicy::may_write(base::Micros now) const {
  return now - std::max(this->confirmed_at, this->last_answer_at) <
         kWriteAllowance;
}

bool SavePolicy::is_slow() const {
  return this->last_latency > kSlowWriteThreshold;
}

}  // namespace quartzhoist::entry
