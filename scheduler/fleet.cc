#include "scheduler/fleet.h"

#include <algorithm>

namespace quartzhoist::scheduler {

namespace {

// A confirmed move is dropped if no new worker instance announces itself within
// this time.
constexpr base::Micros kMoveTimeout = std::chrono::seconds(8);

// Lower bound on the time a box is away; 10% less than the configured time
// allows for clock drift.
base::Micros MinTimeAway(base::Micros duration) {
  return duration * 9 / 10;
}

}  // namespace

FleetPlanner::FleetPlanner(const FleetTimings& initial, IdleBoxPolicy policy)
    : timings(initial), idle_box_policy(policy) {}

void FleetPlanner::Inherit(const MoveBox& call, base::Micros now) {
  this->moves[call.box] = {.pool = call.pool,
                           .worker_before_call = call.incarnation,
                           .since = now,
                           .may_have_begun = true,
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
// ago. If its worker has not answered, the box may be moving or going down,
// until a list shows otherwise. A placement that the worker has not reported
// may be older than the call.
FleetPlanner::InheritedCall FleetPlanner::ClassifyInherited(
    const BoxesByName& boxes,
    const std::string& box,
    bool is_listed_up) {
  const auto found = boxes.find(box);
  if (found == boxes.end())
    return is_listed_up ? InheritedCall::kRetry : InheritedCall::kUnresolved;
  const FleetBox& seen = *found->second;
  // Repeated, the call keeps a late one of the earlier owner from the box. But
  // only an answer shows that runs which are presumed over have ended.
  if (!seen.available && is_listed_up)
    return seen.idle && !seen.runs_presumed_over ? InheritedCall::kRetry
                                                 : InheritedCall::kObsolete;
  if (!seen.available || seen.has_only_inherited_runs)
    return InheritedCall::kUnresolved;
  return seen.idle ? InheritedCall::kRetry : InheritedCall::kObsolete;
}

bool FleetPlanner::IsListedUpAfter(const std::string& box,
                                   base::Micros since,
                                   base::Micros asked) const {
  const auto found = this->listed.find(box);
  return found != this->listed.end() && found->second.state == BoxState::kUp &&
         asked >= since + kBoxCallTimeLimit;
}

// A box that is gone or up in its destination needs no call. One that is moving
// or in maintenance is shown up by a later list.
void FleetPlanner::ReconcileInheritedMoves(base::Micros asked) {
  for (auto it = this->moves.begin(); it != this->moves.end();) {
    Move& move = it->second;
    const auto found = this->listed.find(it->first);
    const bool is_removed = found == this->listed.end();
    const bool is_up = this->IsListedUpAfter(it->first, move.since, asked);
    if (move.is_inherited &&
        (is_removed || (is_up && found->second.pool == move.pool))) {
      it = this->moves.erase(it);
      continue;
    }
    move.is_listed_up = move.is_inherited && is_up;
    ++it;
  }
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
  this->ReconcileInheritedMoves(asked);
  // No worker announces itself in a spare pool. Only a list requested after the
  // outcome of the call shows the box after its move.
  std::erase_if(this->moves, [this, asked](const auto& entry) {
    const Move& move = entry.second;
    const auto found = this->listed.find(entry.first);
    return move.done && asked > move.since && found != this->listed.end() &&
           found->second.state == BoxState::kUp &&
           found->second.pool == move.pool && this->IsSparePool(move.pool);
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
      this->SetListedMoving(command.box, move.pool);
      // An earlier call, which got no answer, moved the box; it is back
      // already.
      if (move.arrived) {
        this->moves.erase(found);
        break;
      }
      move.done = true;
      move.since = now;
      this->rested += this->IsSparePool(move.pool);
      break;
    case BoxCallOutcome::kUnknown:
      move.may_have_begun = true;
      move.next_call_at = now + kCallRetryDelay;
      break;
    case BoxCallOutcome::kNotSent:
    case BoxCallOutcome::kThrottled:
      // Nobody has looked at the box: an earlier call that got no answer may
      // have moved it.
      if (move.may_have_begun)
        move.next_call_at = now + kCallRetryDelay;
      else
        this->moves.erase(found);
      break;
    case BoxCallOutcome::kFenced:
    case BoxCallOutcome::kBusy:
    case BoxCallOutcome::kRefused:
      this->moves.erase(found);
      break;
  }
}

// The list in hand is older than the move. Were the box still taken as shown
// there, it would count as a spare box once its worker is gone.
void FleetPlanner::SetListedMoving(const std::string& box,
                                   const std::string& pool) {
  const auto found = this->listed.find(box);
  if (found == this->listed.end())
    return;
  found->second.pool = pool;
  found->second.state = BoxState::kMoving;
}

bool FleetPlanner::IsSparePool(const std::string& pool) const {
  return std::find(this->spare_pools.begin(), this->spare_pools.end(), pool) !=
         this->spare_pools.end();
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
    if (this->IsSparePool(info.pool)) {
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
  this->spare_pools.clear();
  for (const FleetPool& pool : seen.pools) {
    if (pool.spare)
      this->spare_pools.push_back(pool.name);
  }
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
    const InheritedCall inherited =
        move.is_inherited
            ? ClassifyInherited(boxes, it->first, move.is_listed_up)
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
    if (move.is_inherited)
      return LeavingReason::kInheritedMove;
    if (this->IsSparePool(move.pool))
      return LeavingReason::kResting;
    return move.done ? LeavingReason::kMoved : LeavingReason::kMoving;
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
