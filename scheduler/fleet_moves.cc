// Moves of boxes between pools.

#include <algorithm>
#include <utility>

#include "scheduler/fleet.h"

namespace quartzhoist::scheduler {

namespace {

// Pools get demand / kTargetUtilization cores, since tasks do not pack boxes
// exactly.
constexpr double kTargetUtilization = 0.85;

// A pool is short of cores once it lacks this fraction of a box.
constexpr double kShortageThreshold = 0.25;

// Minimum time between two reports of boxes that were moved to the spare pool.
constexpr base::Micros kRestReportPeriod = std::chrono::seconds(1);

// Without any box a pool is short as soon as it needs a core: a small task
// would wait there for good.
double ShortageThreshold(double held_cores, double box_cores) {
  return held_cores > 0.0 ? kShortageThreshold * box_cores : 0.0;
}

}  // namespace

// Cores per pool; a moving box counts for its destination.
std::map<std::string, double> FleetPlanner::CoresByPool(
    const FleetView& view) const {
  std::map<std::string, double> held;
  for (const FleetPool& pool : view.pools)
    held[pool.name] = 0.0;
  for (const FleetBox& box : view.boxes) {
    if (box.in_evacuated_zone)
      continue;
    const auto move = this->moves.find(box.name);
    const bool moves_now = move != this->moves.end();
    if ((box.available || moves_now) && !this->IsInMaintenance(box.name))
      held[moves_now ? move->second.pool : box.pool] += box.cores;
  }
  return held;
}

// The same with the boxes that no worker shows: a box that moves has none for a
// while, and one that leaves the spare pool has none before. Allocations leave
// them out, so that further idle boxes are requested for a shortage while the
// first ones are on their way: a steep rise needs them by then.
std::map<std::string, double> FleetPlanner::CoresWithMoves(
    const FleetView& view) const {
  std::map<std::string, double> held = this->CoresByPool(view);
  std::set<std::string> seen;
  for (const FleetBox& box : view.boxes)
    seen.insert(box.name);
  for (const auto& [name, move] : this->moves) {
    const auto found = this->listed.find(name);
    if (!seen.contains(name) && found != this->listed.end() &&
        !this->IsEvacuated(found->second.zone) && !this->IsInMaintenance(name))
      held[move.pool] += found->second.cores;
  }
  return held;
}

bool FleetPlanner::BoxesMayRest() const {
  if (this->spare_pools.empty())
    return false;
  switch (this->idle_box_policy) {
    case IdleBoxPolicy::kNeverRest:
      return false;
    case IdleBoxPolicy::kRestInLargeFleets:
      return this->listed.size() >= kMinBoxesForRest;
    case IdleBoxPolicy::kAlwaysRest:
      return true;
  }
  return false;
}

bool FleetPlanner::MayMove(const FleetBox& box) const {
  return box.available && !box.in_evacuated_zone &&
         !this->moves.contains(box.name) && !this->IsInMaintenance(box.name);
}

// Moves idle boxes from pools above their allocation to the pools that lack
// cores, reclaims busy ones where no idle box is left, and moves idle boxes
// that no pool needs to the spare pool.
void FleetPlanner::PlanMoves(const FleetView& view,
                             base::Micros now,
                             std::vector<FleetAction>& actions) {
  this->reclaimed.clear();
  this->allocated_cores.clear();
  std::vector<FleetPool> requesting;
  for (const FleetPool& pool : view.pools) {
    if (!pool.spare)
      requesting.push_back(pool);
  }
  CoreBalance balance = this->BalanceCores(view, requesting);
  if (balance.box_cores <= 0.0)
    return;
  this->ServeShortages(view, requesting, balance, now, actions);
  double short_cores = 0.0;
  for (const FleetPool& pool : requesting)
    short_cores += std::max(0.0, -balance.surplus[pool.name]);
  this->SelectReclaimed(view, balance.surplus,
                        balance.donors_exhausted ? short_cores : 0.0);
  if (this->BoxesMayRest())
    this->RestIdleBoxes(view, balance, now, actions);
}

// Computes each pool's allocation and its surplus over it.
FleetPlanner::CoreBalance FleetPlanner::BalanceCores(
    const FleetView& view,
    const std::vector<FleetPool>& requesting) {
  CoreBalance balance;
  balance.held = this->CoresByPool(view);
  double total_cores = 0.0;
  for (const auto& [pool, cores] : balance.held)
    total_cores += cores;
  for (const FleetBox& box : view.boxes)
    balance.box_cores = std::max(balance.box_cores, box.cores);
  if (balance.box_cores <= 0.0)
    return balance;
  const auto allocate = [&](const std::vector<FleetPool>& pools) {
    std::map<std::string, double> allocated =
        AllocateCores(pools, total_cores * kTargetUtilization,
                      balance.box_cores * kTargetUtilization);
    for (auto& [pool, cores] : allocated)
      cores /= kTargetUtilization;
    return allocated;
  };
  this->allocated_cores = allocate(requesting);
  balance.surplus = balance.held;
  for (const auto& [pool, cores] : this->allocated_cores)
    balance.surplus[pool] -= cores;
  balance.need_surplus = balance.surplus;
  if (!this->BoxesMayRest())
    return balance;
  // Spare boxes are requested once: each one would have to return.
  balance.need_surplus = this->CoresWithMoves(view);
  for (const auto& [pool, cores] : balance.need_surplus) {
    if (!this->IsSparePool(pool))
      balance.pool_cores += cores;
  }
  for (const auto& [pool, cores] :
       allocate(ScaleGrowth(requesting, kSpareGrowthFraction))) {
    balance.need_surplus[pool] -= cores;
    balance.need_cores += cores;
  }
  return balance;
}

// Moves boxes to the pool with the largest shortage until no pool is short or
// no donor is left.
void FleetPlanner::ServeShortages(const FleetView& view,
                                  const std::vector<FleetPool>& requesting,
                                  CoreBalance& balance,
                                  base::Micros now,
                                  std::vector<FleetAction>& actions) {
  std::set<std::string> without_donor;
  while (true) {
    const FleetPool* shortest = nullptr;
    for (const FleetPool& pool : requesting) {
      const double threshold =
          ShortageThreshold(balance.held.at(pool.name), balance.box_cores);
      if (balance.surplus[pool.name] >= -threshold ||
          without_donor.contains(pool.name))
        continue;
      if (!shortest ||
          balance.surplus[pool.name] < balance.surplus[shortest->name])
        shortest = &pool;
    }
    if (!shortest)
      return;
    const FleetBox* donor =
        this->FindDonor(view, balance.surplus, *shortest,
                        this->MayUseSpareBox(balance, *shortest, now));
    if (!donor) {
      // Without a donor only since spare boxes are kept from the growth, the
      // pool makes no other one give busy boxes away.
      balance.donors_exhausted =
          balance.donors_exhausted ||
          !this->FindDonor(view, balance.surplus, *shortest, true);
      if (!this->BoxesMayRest())
        return;
      without_donor.insert(shortest->name);
      continue;
    }
    balance.surplus[donor->pool] -= donor->cores;
    balance.surplus[shortest->name] += donor->cores;
    balance.need_surplus[donor->pool] -= donor->cores;
    balance.need_surplus[shortest->name] += donor->cores;
    if (this->IsSparePool(donor->pool))
      balance.pool_cores += donor->cores;
    balance.served.insert(shortest->name);
    this->BeginMove(*donor, shortest->name, now, actions);
  }
}

// A box at rest is free: while the pools cover the need of late, it comes only
// for what is short without the growth. Otherwise it comes for the growth too,
// or fleets that are nearly full would be late at each rise. The first box of a
// pool comes for any demand: tasks would wait there for good.
bool FleetPlanner::MayUseSpareBox(const CoreBalance& balance,
                                  const FleetPool& to,
                                  base::Micros now) const {
  const double held = balance.held.at(to.name);
  const bool is_first = held <= 0.0 && !balance.served.contains(to.name);
  return !this->BoxesMayRest() || is_first ||
         !this->idle_boxes.CoversNeed(balance.pool_cores, now) ||
         balance.need_surplus.at(to.name) <
             -ShortageThreshold(held, balance.box_cores);
}

void FleetPlanner::RestIdleBoxes(const FleetView& view,
                                 const CoreBalance& balance,
                                 base::Micros now,
                                 std::vector<FleetAction>& actions) {
  std::vector<IdleBoxes::Candidate> idle;
  BoxesByName boxes;
  for (const FleetBox& box : view.boxes) {
    // A box that a wave is about to take would keep it waiting for its move.
    const bool may_rest =
        box.idle && this->MayMove(box) && !this->IsSparePool(box.pool) &&
        this->listed.contains(box.name) && !this->IsDueInWave(box.name);
    if (!may_rest)
      continue;
    boxes[box.name] = &box;
    idle.push_back({.name = box.name,
                    .pool = box.pool,
                    .worker = box.worker,
                    .cores = box.cores});
  }
  this->idle_boxes.Observe(balance.need_cores, idle, now);
  // With the moves of this plan.
  this->pool_cores = 0.0;
  for (const auto& [pool, cores] : this->CoresWithMoves(view)) {
    if (!this->IsSparePool(pool))
      this->pool_cores += cores;
  }
  for (const std::string& box :
       this->idle_boxes.Select(this->pool_cores, balance.surplus, now))
    this->BeginMove(*boxes.at(box), this->spare_pools.front(), now, actions);
}

std::optional<BoxesRested> FleetPlanner::TakeRestReport(base::Micros now) {
  if (this->rested == 0 || now < this->next_rest_report)
    return std::nullopt;
  this->next_rest_report = now + kRestReportPeriod;
  return BoxesRested{.boxes = std::exchange(this->rested, 0),
                     .need_cores = this->idle_boxes.HighestNeed(),
                     .pool_cores = this->pool_cores};
}

void FleetPlanner::BeginMove(const FleetBox& box,
                             const std::string& pool,
                             base::Micros now,
                             std::vector<FleetAction>& actions) {
  Move& move = this->moves[box.name];
  move.pool = pool;
  move.worker_before_call = box.worker;
  move.since = now;
  move.first_call_at = now;
  move.in_flight = true;
  actions.emplace_back(
      MoveBox{.box = box.name, .pool = pool, .incarnation = box.worker});
}

const FleetBox* FleetPlanner::FindDonor(
    const FleetView& view,
    const std::map<std::string, double>& surplus,
    const FleetPool& to,
    bool may_use_spare) const {
  // A pool that needs boxes and has none gets its first one even if the donor
  // pool then falls short by up to one box.
  const bool has_no_box =
      to.min_boxes > 0 &&
      std::none_of(view.boxes.begin(), view.boxes.end(),
                   [this, &to](const FleetBox& box) {
                     return box.available && !box.in_evacuated_zone &&
                            box.pool == to.name && !this->IsLeaving(box.name);
                   });
  const FleetBox* best = nullptr;
  double best_remaining = -1e9;
  for (const FleetBox& box : view.boxes) {
    const auto pool = surplus.find(box.pool);
    const bool is_spare = this->IsSparePool(box.pool);
    const bool may_move = this->MayMove(box) && box.idle &&
                          box.pool != to.name && pool != surplus.end() &&
                          (may_use_spare || !is_spare);
    if (!may_move)
      continue;
    // Surplus that the donor pool keeps.
    const double remaining = is_spare ? 0.0 : pool->second - box.cores;
    const double min_remaining = has_no_box ? -box.cores : 0.0;
    if (remaining < min_remaining || remaining <= best_remaining)
      continue;
    best = &box;
    best_remaining = remaining;
  }
  return best;
}

void FleetPlanner::SelectReclaimed(const FleetView& view,
                                   std::map<std::string, double>& surplus,
                                   double short_cores) {
  std::vector<const FleetBox*> busy;
  for (const FleetBox& box : view.boxes) {
    if (this->MayMove(box) && !box.idle && box.long_running_tasks == 0)
      busy.push_back(&box);
  }
  // Least loaded boxes first: they should become idle soonest.
  std::stable_sort(busy.begin(), busy.end(),
                   [](const FleetBox* a, const FleetBox* b) {
                     return a->busy_cores < b->busy_cores;
                   });
  for (const FleetBox* box : busy) {
    if (short_cores <= 0.0)
      return;
    const auto pool = surplus.find(box->pool);
    if (pool == surplus.end() || pool->second < box->cores)
      continue;
    pool->second -= box->cores;
    short_cores -= box->cores;
    this->reclaimed.insert(box->name);
  }
}

}  // namespace quartzhoist::scheduler
