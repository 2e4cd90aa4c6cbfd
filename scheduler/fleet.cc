#include "scheduler/fleet.h"

#include <algorithm>
#include <cmath>

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;

// A pool wants so much more than its work takes: tasks do not fill a box
// exactly.
constexpr double kFill = 0.85;

// A pool is short from this part of a box on.
constexpr double kShortBoxes = 0.25;

// A moved box whose new life never shows is given up after this.
constexpr base::Micros kMoveLost = std::chrono::seconds(8);

// No box is back sooner, though clocks run a little apart.
base::Micros LeastTimeAway(base::Micros usual) {
  return usual * 9 / 10;
}

}  // namespace

Fleet::Fleet(const FleetLimits& chosen) : limits(chosen) {}

void Fleet::Inherit(const MoveBox& call, base::Micros now) {
  this->moves[call.box] = {.pool = call.pool,
                           .worker_before = call.life,
                           .since = now,
                           .is_inherited = true};
}

// Counted as away from here on: the earlier owner's call may be on its way.
void Fleet::Inherit(const UpkeepBox& call, base::Micros now) {
  WaveProgress& progress = this->waves[call.wave];
  progress.wave.number = call.wave;
  progress.boxes[call.box] = {.state = UpkeepState::kCalling,
                              .worker_before = call.life,
                              .since = now,
                              .may_have_begun = true,
                              .is_inherited = true};
}

// An earlier owner calls for empty boxes only, and places nothing on them
// before its call is settled: on a box where something runs the call was given
// up, or carried out long ago. One that nobody hears may be on its way.
Fleet::Inherited Fleet::JudgeInherited(const BoxesByName& boxes,
                                       const std::string& box) {
  const auto found = boxes.find(box);
  if (found == boxes.end() || !found->second->up)
    return Inherited::kWaits;
  return found->second->idle ? Inherited::kMayBeMade : Inherited::kIsVoid;
}

// A worker that crashed may have started again just before its box was taken:
// that life announces itself while the box is away.
void Fleet::BoxSeen(const std::string& box,
                    const jobs::WorkerIncarnation& worker,
                    const std::string& pool,
                    base::Micros now) {
  for (auto& [number, progress] : this->waves) {
    const auto found = progress.boxes.find(box);
    if (found == progress.boxes.end())
      continue;
    Upkeep& upkeep = found->second;
    const bool can_be_back =
        now >= upkeep.first_call + LeastTimeAway(this->limits.upkeep_time);
    if (upkeep.state == UpkeepState::kDown && can_be_back &&
        jobs::IsDifferentIncarnation(upkeep.worker_before, worker))
      upkeep.state = UpkeepState::kDone;
  }
  const auto move = this->moves.find(box);
  if (move == this->moves.end() ||
      !jobs::IsDifferentIncarnation(move->second.worker_before, worker))
    return;
  const bool can_be_back =
      pool == move->second.pool &&
      now >= move->second.first_call + LeastTimeAway(this->limits.move_time);
  if (!can_be_back)
    return;
  if (move->second.done)
    this->moves.erase(move);
  else
    move->second.arrived = true;
}

void Fleet::SetBoxes(const std::vector<BoxInfo>& boxes,
                     base::Micros asked,
                     base::Micros now) {
  this->listed.clear();
  for (const BoxInfo& box : boxes)
    this->listed[box.name] = box;
  this->has_list = true;
  // A box that has been taken away moves nowhere.
  std::erase_if(this->moves, [this](const auto& entry) {
    return entry.second.is_inherited && !this->listed.contains(entry.first);
  });
  this->CompareWavesWithList(asked, now);
}

void Fleet::Moved(const MoveBox& order,
                  BoxCallOutcome outcome,
                  base::Micros now) {
  const auto found = this->moves.find(order.box);
  if (found == this->moves.end())
    return;
  Move& move = found->second;
  move.in_flight = false;
  switch (outcome) {
    case BoxCallOutcome::kDone:
      // An earlier call without an answer had moved it: it is back already.
      if (move.arrived) {
        this->moves.erase(found);
        break;
      }
      move.done = true;
      move.since = now;
      break;
    case BoxCallOutcome::kUnknown:
      move.next_call = now + kCallAgain;
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

// Boxes at rest run nothing that would announce itself: the platform's list
// alone knows them.
FleetView Fleet::WithBoxesAtRest(const FleetView& seen) const {
  FleetView view = seen;
  std::set<std::string> known;
  for (const FleetBox& box : seen.boxes)
    known.insert(box.name);
  for (const auto& [name, info] : this->listed) {
    if (known.contains(name) || info.state != BoxState::kUp)
      continue;
    const bool at_rest =
        std::any_of(view.pools.begin(), view.pools.end(),
                    [&info = info](const FleetPool& pool) {
                      return pool.spare && pool.name == info.pool;
                    });
    if (at_rest) {
      view.boxes.push_back({.name = name,
                            .pool = info.pool,
                            .worker = {.id = info.worker},
                            .up = true,
                            .idle = true,
                            .lasting = 0,
                            .cores = info.cores,
                            .busy_cores = 0.0});
    }
  }
  return view;
}

std::vector<FleetStep> Fleet::Plan(const FleetView& seen, base::Micros now) {
  const FleetView view = this->WithBoxesAtRest(seen);
  std::vector<FleetStep> steps;
  BoxesByName boxes;
  for (const FleetBox& box : view.boxes)
    boxes[box.name] = &box;
  for (auto& [number, progress] : this->waves) {
    if (!progress.completed)
      this->PlanWave(progress, boxes, now, steps);
  }
  this->RepeatMoves(boxes, now, steps);
  this->PlanMoves(view, now, steps);
  return steps;
}

void Fleet::RepeatMoves(const BoxesByName& boxes,
                        base::Micros now,
                        std::vector<FleetStep>& steps) {
  for (auto it = this->moves.begin(); it != this->moves.end();) {
    Move& move = it->second;
    const Inherited inherited = move.is_inherited
                                    ? JudgeInherited(boxes, it->first)
                                    : Inherited::kMayBeMade;
    const bool is_lost = move.done && now > move.since + kMoveLost;
    if (is_lost || inherited == Inherited::kIsVoid) {
      it = this->moves.erase(it);
      continue;
    }
    if (!move.done && inherited == Inherited::kMayBeMade &&
        MayBeAsked(move.in_flight, move.next_call, now)) {
      move.in_flight = true;
      move.is_inherited = false;
      steps.emplace_back(MoveBox{
          .box = it->first, .pool = move.pool, .life = move.worker_before});
    }
    ++it;
  }
}

// What each pool has, boxes on their way to it included.
std::map<std::string, double> Fleet::CoresHeld(const FleetView& view) const {
  std::map<std::string, double> held;
  for (const FleetPool& pool : view.pools)
    held[pool.name] = 0.0;
  for (const FleetBox& box : view.boxes) {
    const auto move = this->moves.find(box.name);
    const bool moves_now = move != this->moves.end();
    if ((box.up || moves_now) && !this->InUpkeep(box.name))
      held[moves_now ? move->second.pool : box.pool] += box.cores;
  }
  return held;
}

// An idle box goes from a pool that has more than its allotment to the one that
// is shortest; boxes at rest come last, since those in pools are paid for
// anyway. Where no box is idle, some are kept free of further work.
void Fleet::PlanMoves(const FleetView& view,
                      base::Micros now,
                      std::vector<FleetStep>& steps) {
  this->reclaimed.clear();
  // 1. What each pool has beyond its allotment.
  std::map<std::string, double> surplus = this->CoresHeld(view);
  double total_cores = 0.0;
  double box_cores = 0.0;
  for (const auto& [pool, cores] : surplus)
    total_cores += cores;
  for (const FleetBox& box : view.boxes)
    box_cores = std::max(box_cores, box.cores);
  if (box_cores <= 0.0)
    return;
  std::vector<FleetPool> asking;
  for (const FleetPool& pool : view.pools) {
    if (!pool.spare)
      asking.push_back(pool);
  }
  const std::map<std::string, double> allotted =
      AllotCores(asking, total_cores * kFill, box_cores * kFill);
  for (const FleetPool& pool : asking)
    surplus[pool.name] -= allotted.at(pool.name) / kFill;
  // 2. The shortest pool gets a box, until none is short or none can give.
  double short_cores = 0.0;
  while (true) {
    const FleetPool* shortest = nullptr;
    for (const FleetPool& pool : asking) {
      if (surplus[pool.name] >= -kShortBoxes * box_cores)
        continue;
      if (!shortest || surplus[pool.name] < surplus[shortest->name])
        shortest = &pool;
    }
    if (!shortest)
      break;
    const FleetBox* donor = this->FindDonor(view, surplus, *shortest);
    if (!donor) {
      for (const FleetPool& pool : asking)
        short_cores += std::max(0.0, -surplus[pool.name]);
      break;
    }
    surplus[donor->pool] -= donor->cores;
    surplus[shortest->name] += donor->cores;
    Move& move = this->moves[donor->name];
    move.pool = shortest->name;
    move.worker_before = donor->worker;
    move.since = now;
    move.first_call = now;
    move.in_flight = true;
    steps.emplace_back(MoveBox{
        .box = donor->name, .pool = shortest->name, .life = donor->worker});
  }
  // 3. Boxes that are busy in a pool that has too many are to run empty.
  this->Reclaim(view, surplus, short_cores);
}

const FleetBox* Fleet::FindDonor(const FleetView& view,
                                 const std::map<std::string, double>& surplus,
                                 const FleetPool& to) const {
  // A pool without a box for its lasting tasks gets one though the giver falls
  // short by as much as a box.
  const bool has_none = to.least_boxes > 0 &&
                        std::none_of(view.boxes.begin(), view.boxes.end(),
                                     [this, &to](const FleetBox& box) {
                                       return box.up && box.pool == to.name &&
                                              !this->IsLeaving(box.name);
                                     });
  const FleetBox* best = nullptr;
  double best_left = -1e9;
  for (const FleetBox& box : view.boxes) {
    const auto pool = surplus.find(box.pool);
    const bool may_go = box.up && box.idle && box.pool != to.name &&
                        !this->moves.contains(box.name) &&
                        !this->InUpkeep(box.name) && pool != surplus.end();
    if (!may_go)
      continue;
    const bool at_rest = std::any_of(
        view.pools.begin(), view.pools.end(), [&box](const FleetPool& known) {
          return known.name == box.pool && known.spare;
        });
    // What the giving pool keeps beyond its allotment.
    const double left = at_rest ? 0.0 : pool->second - box.cores;
    const double least_left = has_none ? -box.cores : 0.0;
    if (left < least_left || left <= best_left)
      continue;
    best = &box;
    best_left = left;
  }
  return best;
}

void Fleet::Reclaim(const FleetView& view,
                    std::map<std::string, double>& surplus,
                    double short_cores) {
  std::vector<const FleetBox*> busy;
  for (const FleetBox& box : view.boxes) {
    const bool may_go = box.up && !box.idle && box.lasting == 0 &&
                        !this->moves.contains(box.name) &&
                        !this->InUpkeep(box.name);
    if (may_go)
      busy.push_back(&box);
  }
  // Those that are soonest empty first.
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

bool Fleet::HasOpenCall(const std::string& box) const {
  const auto move = this->moves.find(box);
  if (move != this->moves.end() && !move->second.done)
    return true;
  return std::any_of(this->waves.begin(), this->waves.end(),
                     [&box](const auto& entry) {
                       const auto found = entry.second.boxes.find(box);
                       return found != entry.second.boxes.end() &&
                              found->second.state == UpkeepState::kCalling;
                     });
}

bool Fleet::IsLeaving(const std::string& box) const {
  return this->moves.contains(box) || this->reclaimed.contains(box) ||
         this->InUpkeep(box);
}

jobs::WorkerIncarnation Fleet::LifeBefore(const std::string& box) const {
  const auto move = this->moves.find(box);
  if (move != this->moves.end())
    return move->second.worker_before;
  for (const auto& [number, progress] : this->waves) {
    const auto found = progress.boxes.find(box);
    if (found != progress.boxes.end() &&
        found->second.state == UpkeepState::kDown)
      return found->second.worker_before;
  }
  return {};
}

bool Fleet::WantsBoxes() const {
  return !this->has_list || this->HasOpenWave() || !this->moves.empty();
}

}  // namespace quartzhoist::scheduler
