#include "scheduler/fleet.h"

#include <algorithm>
#include <cmath>

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;

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

// A confirmed move is dropped if no new worker instance announces itself within
// this time.
constexpr base::Micros kMoveTimeout = std::chrono::seconds(8);

// Lower bound on the time a box is away; 10% less than the configured time
// allows for clock drift.
base::Micros MinTimeAway(base::Micros duration) {
  return duration * 9 / 10;
}

}  // namespace

FleetPlanner::FleetPlanner(const FleetTimings& initial) : timings(initial) {}

void FleetPlanner::Inherit(const MoveBox& call, base::Micros now) {
  this->moves[call.box] = {.pool = call.pool,
                           .worker_before_call = call.incarnation,
                           .since = now,
                           .is_inherited = true};
}

// The box counts as away from now on: the previous owner's call may still be in
// flight.
void FleetPlanner::Inherit(const MaintainBox& call, base::Micros now) {
  WaveProgress& progress = this->waves[call.wave];
  progress.wave.number = call.wave;
  progress.boxes[call.box] = {.state = MaintenanceState::kRequested,
                              .worker_before_call = call.incarnation,
                              .since = now,
                              .may_have_begun = true,
                              .is_inherited = true};
}

// Owners call for idle boxes only and place nothing on them until the call is
// resolved. So if the box has runs, the call was abandoned or carried out long
// ago. If its worker has not answered, the box may be moving or going down. A
// placement that the worker has not reported may be older than the call.
FleetPlanner::InheritedCall FleetPlanner::ClassifyInherited(
    const BoxesByName& boxes,
    const std::string& box) {
  const auto found = boxes.find(box);
  if (found == boxes.end() || !found->second->available ||
      found->second->has_only_inherited_runs)
    return InheritedCall::kUnresolved;
  return found->second->idle ? InheritedCall::kRetry : InheritedCall::kObsolete;
}

// A new worker instance alone does not show that the box is back: a crashed
// worker may have restarted just before the box went away, and announces itself
// while it is away. Hence the minimum time away.
void FleetPlanner::OnBoxAnnounced(const std::string& box,
                                  const jobs::WorkerIncarnation& worker,
                                  const std::string& pool,
                                  base::Micros now) {
  for (auto& [number, progress] : this->waves) {
    const auto found = progress.boxes.find(box);
    if (found == progress.boxes.end())
      continue;
    Maintenance& maintenance = found->second;
    const bool may_be_back =
        now >= maintenance.first_call_at +
                   MinTimeAway(this->timings.maintenance_duration);
    if (maintenance.state == MaintenanceState::kDown && may_be_back &&
        jobs::IsDifferentIncarnation(maintenance.worker_before_call, worker))
      maintenance.state = MaintenanceState::kDone;
  }
  const auto move = this->moves.find(box);
  if (move == this->moves.end() ||
      !jobs::IsDifferentIncarnation(move->second.worker_before_call, worker))
    return;
  const bool may_be_back = pool == move->second.pool &&
                           now >= move->second.first_call_at +
                                      MinTimeAway(this->timings.move_duration);
  if (!may_be_back)
    return;
  if (move->second.done)
    this->moves.erase(move);
  else
    move->second.arrived = true;
}

void FleetPlanner::SetBoxes(const std::vector<BoxInfo>& boxes,
                            base::Micros asked,
                            base::Micros now) {
  this->listed.clear();
  for (const BoxInfo& box : boxes)
    this->listed[box.name] = box;
  this->has_list = true;
  // Drop inherited moves of boxes that no longer exist.
  std::erase_if(this->moves, [this](const auto& entry) {
    return entry.second.is_inherited && !this->listed.contains(entry.first);
  });
  this->ReconcileWaves(asked, now);
}

void FleetPlanner::OnMoveOutcome(const MoveBox& command,
                                 BoxCallOutcome outcome,
                                 base::Micros now) {
  const auto found = this->moves.find(command.box);
  if (found == this->moves.end())
    return;
  Move& move = found->second;
  move.in_flight = false;
  switch (outcome) {
    case BoxCallOutcome::kDone:
      // An earlier call, which got no answer, moved the box; it is back
      // already.
      if (move.arrived) {
        this->moves.erase(found);
        break;
      }
      move.done = true;
      move.since = now;
      break;
    case BoxCallOutcome::kUnknown:
      move.next_call_at = now + kCallRetryDelay;
      break;
    case BoxCallOutcome::kNotSent:
    case BoxCallOutcome::kFenced:
    case BoxCallOutcome::kBusy:
    case BoxCallOutcome::kRefused:
    case BoxCallOutcome::kThrottled:
      this->moves.erase(found);
      break;
  }
}

// Adds the boxes of spare pools. They run no worker that would announce itself,
// so only the platform's list has them.
FleetView FleetPlanner::WithSpareBoxes(const FleetView& seen) const {
  FleetView view = seen;
  std::set<std::string> known;
  for (const FleetBox& box : seen.boxes)
    known.insert(box.name);
  for (const auto& [name, info] : this->listed) {
    if (known.contains(name) || info.state != BoxState::kUp)
      continue;
    const bool is_spare =
        std::any_of(view.pools.begin(), view.pools.end(),
                    [&info = info](const FleetPool& pool) {
                      return pool.spare && pool.name == info.pool;
                    });
    if (is_spare) {
      view.boxes.push_back({.name = name,
                            .pool = info.pool,
                            .worker = {.id = info.worker},
                            .available = true,
                            .in_evacuated_zone = this->IsEvacuated(info.zone),
                            .idle = true,
                            .long_running_tasks = 0,
                            .cores = info.cores,
                            .busy_cores = 0.0});
    }
  }
  return view;
}

std::vector<FleetAction> FleetPlanner::Plan(const FleetView& seen,
                                            base::Micros now) {
  const FleetView view = this->WithSpareBoxes(seen);
  std::vector<FleetAction> actions;
  BoxesByName boxes;
  for (const FleetBox& box : view.boxes)
    boxes[box.name] = &box;
  for (auto& [number, progress] : this->waves) {
    if (!progress.completed)
      this->PlanWave(progress, boxes, now, actions);
  }
  this->RetryMoves(boxes, now, actions);
  this->PlanMoves(view, now, actions);
  return actions;
}

void FleetPlanner::RetryMoves(const BoxesByName& boxes,
                              base::Micros now,
                              std::vector<FleetAction>& actions) {
  for (auto it = this->moves.begin(); it != this->moves.end();) {
    Move& move = it->second;
    const InheritedCall inherited = move.is_inherited
                                        ? ClassifyInherited(boxes, it->first)
                                        : InheritedCall::kRetry;
    const bool is_lost = move.done && now > move.since + kMoveTimeout;
    if (is_lost || inherited == InheritedCall::kObsolete) {
      it = this->moves.erase(it);
      continue;
    }
    if (!move.done && inherited == InheritedCall::kRetry &&
        MayCall(move.in_flight, move.next_call_at, now)) {
      move.in_flight = true;
      move.is_inherited = false;
      actions.emplace_back(MoveBox{.box = it->first,
                                   .pool = move.pool,
                                   .incarnation = move.worker_before_call});
    }
    ++it;
  }
}

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

bool FleetPlanner::HasPendingCall(const std::string& box) const {
  const auto move = this->moves.find(box);
  if (move != this->moves.end() && !move->second.done)
    return true;
  return std::any_of(
      this->waves.begin(), this->waves.end(), [&box](const auto& entry) {
        const auto found = entry.second.boxes.find(box);
        return found != entry.second.boxes.end() &&
               found->second.state == MaintenanceState::kRequested;
      });
}

bool FleetPlanner::IsLeaving(const std::string& box) const {
  return this->moves.contains(box) || this->reclaimed.contains(box) ||
         this->IsInMaintenance(box);
}

std::optional<LeavingReason> FleetPlanner::LeavingReasonOf(
    const std::string& box) const {
  const auto found = this->moves.find(box);
  if (found != this->moves.end()) {
    const Move& move = found->second;
    if (move.done)
      return LeavingReason::kMoved;
    return move.is_inherited ? LeavingReason::kInheritedMove
                             : LeavingReason::kMoving;
  }
  for (const auto& [number, progress] : this->waves) {
    const auto listed = progress.boxes.find(box);
    if (listed == progress.boxes.end())
      continue;
    const Maintenance& maintenance = listed->second;
    switch (maintenance.state) {
      case MaintenanceState::kEvacuating:
        return LeavingReason::kEvacuating;
      case MaintenanceState::kRequested:
        return maintenance.is_inherited ? LeavingReason::kInheritedMaintenance
                                        : LeavingReason::kMaintenanceCalled;
      case MaintenanceState::kDown:
        return LeavingReason::kInMaintenance;
      case MaintenanceState::kPending:
      case MaintenanceState::kDone:
        break;
    }
  }
  if (this->reclaimed.contains(box))
    return LeavingReason::kReclaimed;
  return std::nullopt;
}

jobs::WorkerIncarnation FleetPlanner::WorkerBeforeCall(
    const std::string& box) const {
  const auto move = this->moves.find(box);
  if (move != this->moves.end())
    return move->second.worker_before_call;
  for (const auto& [number, progress] : this->waves) {
    const auto found = progress.boxes.find(box);
    if (found != progress.boxes.end() &&
        found->second.state == MaintenanceState::kDown)
      return found->second.worker_before_call;
  }
  return {};
}

bool FleetPlanner::NeedsBoxList() const {
  return !this->has_list || this->HasOpenWave() || !this->moves.empty();
}

}  // namespace quartzhoist::scheduler
