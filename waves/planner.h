// Which boxes leave or join which pool, and when: a pure decision on a
// snapshot and what is known of the boxes.
//
// A box moves through the states of its own row: serving, draining, away,
// serving again, perhaps in another pool. A pool plan holds the steps that may
// be taken now; taken or not, the next plan starts from what the rows say.

#ifndef WAVES_PLANNER_H_
#define WAVES_PLANNER_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/enum_names.h"
#include "table/snapshot.h"
#include "waves/facts.h"

namespace quartzhoist::waves {

enum class StepKind {
  kDepart,  // serving to draining
  kEmpty,   // draining to away: nothing is in flight to it any more
  kReturn,  // away to serving, in its next pool
  kCancel,  // draining to serving, in its old pool
};

inline constexpr base::EnumNames<StepKind, 4> kStepKindNames{{
    {StepKind::kDepart, "depart"},
    {StepKind::kEmpty, "empty"},
    {StepKind::kReturn, "return"},
    {StepKind::kCancel, "cancel"},
}};

struct Step {
  StepKind kind = StepKind::kDepart;
  std::string box;
  std::string next_pool;  // of a departure

  bool operator==(const Step&) const = default;
};

// Why a pool that has work to do lets no box go.
enum class Hold {
  kNone,
  kBudget,        // no more may be away
  kFailureBurst,  // several boxes failed a short while ago
};

inline constexpr base::EnumNames<Hold, 3> kHoldNames{{
    {Hold::kNone, "none"},
    {Hold::kBudget, "budget"},
    {Hold::kFailureBurst, "failure_burst"},
}};

struct PoolPlan {
  std::string pool;
  std::vector<Step> steps;
  Hold hold = Hold::kNone;
  std::int64_t serving = 0;  // live and serving now
  std::int64_t need = 0;     // must stay serving through every planned step
  std::int64_t on_way = 0;   // boxes that are draining or away
  std::int64_t waiting = 0;  // boxes that are still to move or be maintained
};

// A box's row beside what else is known of it.
struct BoxView {
  const table::Box* box;
  const BoxFacts* facts;
};

// The fleet by pools, so that one pool's plan need not read the others' boxes.
class Fleet {
 public:
  Fleet(table::SnapshotPtr snapshot, const Facts& facts);

  const table::Snapshot& snapshot() const { return *this->current; }
  // The boxes whose row names the pool; none for an unknown pool.
  const std::vector<BoxView>& BoxesOf(const std::string& pool) const;
  // Boxes that the pool has, less those leaving it, with those coming.
  std::int64_t Committed(const std::string& pool) const;
  std::int64_t MayBeAway(const std::string& pool) const;

 private:
  // What the fleet holds of one pool.
  struct PoolView {
    std::vector<BoxView> boxes;
    std::int64_t committed = 0;
    std::int64_t away_percent = 100;
  };

  const PoolView* Find(const std::string& pool) const;

  table::SnapshotPtr current;
  std::unordered_map<std::string, PoolView> pools;
};

// The steps that may be taken now, for one pool. `fleet` must not hold plans
// of an older snapshot.
PoolPlan PlanPool(const Fleet& fleet, const std::string& pool);

// For every pool, in the order of their rows. Pools that compete for boxes do
// not overshoot.
std::vector<PoolPlan> PlanAll(const Fleet& fleet);

}  // namespace quartzhoist::waves

#endif  // WAVES_PLANNER_H_
