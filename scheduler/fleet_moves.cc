// Moves of boxes between pools.

#include <algorithm>

#include "scheduler/fleet.h"

namespace quartzhoist::scheduler {

namespace {

// Pools get demand / kTargetUtilization cores, since tasks do not pack boxes
// exactly.
constexpr double kTargetUtilization = 0.85;

// A pool is short of cores once it lacks this fraction of a box.
constexpr double kShortageThreshold = 0.25;

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

// Moves idle boxes from pools above their allocation to the pool with the
// largest shortage. Spare boxes are used last, since boxes in pools are paid
// for anyway. Where no idle box is left, busy ones are reclaimed.
void FleetPlanner::PlanMoves(const FleetView& view,
                             base::Micros now,
                             std::vector<FleetAction>& actions) {
  this->reclaimed.clear();
  this->allocated_cores.clear();
  // 1. Compute each pool's surplus over its allocation.
  const std::map<std::string, double> held = this->CoresByPool(view);
  std::map<std::string, double> surplus = held;
  double total_cores = 0.0;
  double box_cores = 0.0;
  for (const auto& [pool, cores] : surplus)
    total_cores += cores;
  for (const FleetBox& box : view.boxes)
    box_cores = std::max(box_cores, box.cores);
  if (box_cores <= 0.0)
    return;
  std::vector<FleetPool> requesting;
  for (const FleetPool& pool : view.pools) {
    if (!pool.spare)
      requesting.push_back(pool);
  }
  const std::map<std::string, double> allocated =
      AllocateCores(requesting, total_cores * kTargetUtilization,
                    box_cores * kTargetUtilization);
  for (const FleetPool& pool : requesting) {
    const double cores = allocated.at(pool.name) / kTargetUtilization;
    this->allocated_cores[pool.name] = cores;
    surplus[pool.name] -= cores;
  }
  // 2. Move boxes to the pool with the largest shortage until no pool is short
  // or no donor is left.
  double short_cores = 0.0;
  while (true) {
    const FleetPool* shortest = nullptr;
    for (const FleetPool& pool : requesting) {
      const double threshold = ShortageThreshold(held.at(pool.name), box_cores);
      if (surplus[pool.name] >= -threshold)
        continue;
      if (!shortest || surplus[pool.name] < surplus[shortest->name])
        shortest = &pool;
    }
    if (!shortest)
      break;
    const FleetBox* donor = this->FindDonor(view, surplus, *shortest);
    if (!donor) {
      for (const FleetPool& pool : requesting)
        short_cores += std::max(0.0, -surplus[pool.name]);
      break;
    }
    surplus[donor->pool] -= donor->cores;
    surplus[shortest->name] += donor->cores;
    Move& move = this->moves[donor->name];
    move.pool = shortest->name;
    move.worker_before_call = donor->worker;
    move.since = now;
    move.first_call_at = now;
    move.in_flight = true;
    actions.emplace_back(MoveBox{.box = donor->name,
                                 .pool = shortest->name,
                                 .incarnation = donor->worker});
  }
  // 3. For the remaining shortage, reclaim busy boxes of pools with a surplus.
  this->SelectReclaimed(view, surplus, short_cores);
}

const FleetBox* FleetPlanner::FindDonor(
    const FleetView& view,
    const std::map<std::string, double>& surplus,
    const FleetPool& to) const {
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
    const bool may_move =
        box.available && !box.in_evacuated_zone && box.idle &&
        box.pool != to.name && !this->moves.contains(box.name) &&
        !this->IsInMaintenance(box.name) && pool != surplus.end();
    if (!may_move)
      continue;
    const bool is_spare = std::any_of(
        view.pools.begin(), view.pools.end(), [&box](const FleetPool& known) {
          return known.name == box.pool && known.spare;
        });
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
    const bool may_move = box.available && !box.in_evacuated_zone &&
                          !box.idle && box.long_running_tasks == 0 &&
                          !this->moves.contains(box.name) &&
                          !this->IsInMaintenance(box.name);
    if (may_move)
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
