// Decides from the results of earlier writes whether job progress is written to
// the store now, and whether each write is limited to one part.

#ifndef ENTRY_SAVE_POLICY_H_
#define ENTRY_SAVE_POLICY_H_

#include <cstddef>

#include "base/clock.h"
#include "platform/store.h"

namespace quartzhoist::entry {

class SavePolicy {
 public:
  // `spans_parts`: the store accepts a write that covers several parts.
  explicit SavePolicy(bool spans_parts) : can_span_parts(spans_parts) {}

  // Called when a write to `parts` parts was answered or abandoned, `took`
  // after it was sent.
  void OnWriteFinished(const platform::WriteResult& result,
                       std::size_t parts,
                       base::Micros took,
                       base::Micros now);
  // Called when the store confirmed the ownership; `at` is the send time of the
  // request.
  void OnOwnershipConfirmed(base::Micros at) { this->confirmed_at = at; }

  // Whether the next write is limited to rows of one part.
  bool single_part_only(base::Micros now) const;
  // Whether the store has answered recently enough to send it another write.
  bool may_write(base::Micros now) const;
  // Whether the last write exceeded the latency threshold.
  bool is_slow() const;

 private:
  bool can_span_parts = false;
  base::Micros last_latency{};
  base::Micros single_part_until{};
  base::Micros confirmed_at{};
  // When the store last applied a write or rejected it on a condition.
  base::Micros last_answer_at{};
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_SAVE_POLICY_H_
