// A maintenance roll-out over a generated fleet in simulated time, with
// failures, under a policy. Drives the pure planner alone: no network, no
// processes.

#ifndef BENCH_FLEET_SIM_H_
#define BENCH_FLEET_SIM_H_

#include <cstdint>
#include <string>

#include "base/enum_names.h"
#include "bench/signature.h"
#include "table/snapshot.h"

namespace quartzhoist::bench {

enum class Policy { kRolling, kLockstep, kOneAtATime };

inline constexpr base::EnumNames<Policy, 3> kPolicyNames{{
    {Policy::kRolling, "rolling"},
    {Policy::kLockstep, "lockstep"},
    {Policy::kOneAtATime, "one at a time"},
}};

struct FleetShape {
  std::string name;
  int pools = 5;
  int boxes = 50;  // of all pools together
  int zones = 3;
  int boxes_a_rack = 4;
  int away_percent = 20;
  int pace = 100;
};

struct FailurePlan {
  bool rack = false;     // one rack fails in the midst
  bool zone = false;     // one zone fails in the midst
  int single_boxes = 0;  // boxes that fail, one every few minutes
};

struct RollOut {
  double hours = 0;              // until every box was done
  double bound_hours = 0;        // ceil(boxes / may be away) x time away
  double drawn_bound_hours = 0;  // the same from the trips as they were drawn
  std::int64_t spare_boxes = 0;  // most that were away at once, over all pools
  double idle_box_hours = 0;     // serving beyond need, until then
  std::int64_t moves = 0;
  double lowest_share = 1;  // least of any service, failures included
  std::int64_t broken = 0;  // departures that went below need
  bool finished = false;
};

// A snapshot with the shape's pools, services and boxes; every box is due.
table::SnapshotPtr MakeFleet(const FleetShape& shape);

RollOut Simulate(const FleetShape& shape,
                 Policy policy,
                 const FailurePlan& failures,
                 std::uint64_t seed,
                 Signature& signature);

}  // namespace quartzhoist::bench

#endif  // BENCH_FLEET_SIM_H_
