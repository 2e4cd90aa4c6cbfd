// Searches that found no worker for a task. The next search visits only the
// workers that have opened since: all others still lack what they lacked.

#ifndef SCHEDULER_FAILED_SEARCH_H_
#define SCHEDULER_FAILED_SEARCH_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/clock.h"
#include "scheduler/wait_reason.h"

namespace quartzhoist::scheduler {

// Which workers a search may choose. A failure holds for all later kinds too.
enum class SearchKind {
  kOrdinary,   // any that has room, also one that a wave can't evacuate
  kProbe,      // any candidate that has room
  kIdleProbe,  // only idle candidates
};

inline constexpr std::size_t kSearchKinds = 3;

struct FailedSearch {
  std::uint64_t pass = 0;  // the latest pass that it holds for; 0: none
  // For a gang: upper bound of the members that the workers have room for.
  std::int64_t room = 0;
};

// Findings of the placement passes about a step's waiting tasks.
struct StepSearches {
  // The latest pass in which a task of the step could not be placed, and why.
  // The step's other tasks need the same, so that they are not tried in it.
  std::uint64_t unplaced_in = 0;
  WaitReason unplaced_reason = WaitReason::kCapacity;
  std::array<FailedSearch, kSearchKinds> failed;
  // The latest pass that found no worker to reserve; 0: none.
  std::uint64_t unreservable_in = 0;
  // Whether any worker of the fleet suits the step, when that was found out,
  // and the count of changes of workers by then.
  bool has_suitable = true;
  base::Micros suitable_checked_at{};
  std::uint64_t suitable_at_change = 0;

  FailedSearch& Of(SearchKind kind);
  // The latest failure that holds for this kind.
  const FailedSearch& LatestFor(SearchKind kind) const;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_FAILED_SEARCH_H_
