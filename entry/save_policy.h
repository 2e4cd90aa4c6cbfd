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
  explicit SavePolicy(bool spans_parts) : may_span(spans_parts) {}

  // A write over so many parts has been answered, or given up, after `took`.
  void Answered(const platform::WriteResult& result,
                std::size_t parts,
                base::Micros took,
                base::Micros now);
  // The store confirmed the ownership; `at` is when it was asked.
  void Confirmed(base::Micros at) { this->confirmed_at = at; }

  // May the next write hold rows of one part only?
  bool one_part(base::Micros now) const;
  // Is a write worth its call: has the store taken one lately?
  bool may_write(base::Micros now) const;
  // The last save took long.
  bool slow() const;

 private:
  bool may_span = false;
  base::Micros last_took{};
  base::Micros apart_until{};
  base::Micros confirmed_at{};
  base::Micros taken_at{};  // the last write that the store answered in full
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_SAVE_POLICY_H_
