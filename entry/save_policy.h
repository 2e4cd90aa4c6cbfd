// Whether saves go to the store now, and whether each part has a call of its
// own: from what came of earlier writes. Outcomes go in, answers come out.

#ifndef ENTRY_SAVE_POLICY_H_
#define ENTRY_SAVE_POLICY_H_

#include <cstddef>

#include "base/clock.h"
#include "platform/store.h"

namespace quartzhoist::entry {

class SavePolicy {
 public:
  // `spans_parts`: the store takes one write over several parts.
  explicit SavePolicy(bool spans_parts) : can_span_parts(spans_parts) {}

  // A write over so many parts has been answered, or given up, after `took`.
  void OnWriteFinished(const platform::WriteResult& result,
                       std::size_t parts,
                       base::Micros took,
                       base::Micros now);
  // The store confirmed the ownership; `at` is when it was asked.
  void OnOwnershipConfirmed(base::Micros at) { this->confirmed_at = at; }

  // May the next write hold rows of one part only?
  bool single_part_only(base::Micros now) const;
  // Is a write worth its call: has the store taken one lately?
  bool may_write(base::Micros now) const;
  // The last save took long.
  bool is_slow() const;

 private:
  bool can_span_parts = false;
  base::Micros last_latency{};
  base::Micros single_part_until{};
  base::Micros confirmed_at{};
  base::Micros
      last_answer_at{};  // the last write that the store answered in full
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_SAVE_POLICY_H_
