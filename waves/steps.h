// Steps as conditional writes, and as they change a snapshot.

#ifndef WAVES_STEPS_H_
#define WAVES_STEPS_H_

#include <string>

#include "platform/transaction.h"
#include "waves/planner.h"

namespace quartzhoist::waves {

// The box after the step. Throws std::logic_error unless the step fits the
// box's state.
table::Box BoxAfter(const table::Snapshot& snapshot, const Step& step);

// One transaction for all steps of a plan. It holds only if no box of it and
// no wave row it touches (the pool's, and that of each pool a box goes to) was
// written since the snapshot: so the budget that the plan counted still holds.
platform::Transaction ToTransaction(const table::Snapshot& snapshot,
                                    const PoolPlan& plan,
                                    const std::string& writer);

}  // namespace quartzhoist::waves

#endif  // WAVES_STEPS_H_
