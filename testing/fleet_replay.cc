#include "testing/fleet_replay.h"

#include <algorithm>

#include <fmt/format.h>

#include "testing/fleet_bench.h"

namespace quartzhoist::testing {

namespace {

using scheduler::BoxState;
using scheduler::MoveBox;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Micros kStep = milliseconds(250);
constexpr base::Micros kListPeriod = milliseconds(1500);
constexpr double kBoxCores = 16.0;
constexpr base::Micros kPinnedFor = seconds(3);
constexpr int kMaxProceeding = 4;
// Growth of the last second counts this many times, as in the scheduler.
constexpr double kTrendWeight = 4.0;

scheduler::FleetPlanner MakePlanner(bool idle_boxes_rest) {
  return scheduler::FleetPlanner(
      kFleetTimings, idle_boxes_rest ? scheduler::IdleBoxPolicy::kAlwaysRest
                                     : scheduler::IdleBoxPolicy::kNeverRest);
}

std::string PoolName(int pool) {
  return fmt::format("pool-{}", pool);
}

}  // namespace

FleetReplay::FleetReplay(int count, int box_count, bool has_spare, bool rest)
    : pools(count),
      has_spare_pool(has_spare),
      idle_boxes_rest(rest),
      fleet(MakePlanner(rest)) {
  for (int i = 0; i < box_count; ++i)
    this->boxes[fmt::format("box-{:03}", i)] = {.pool = PoolName(i % count)};
}

void FleetReplay::TakeOver() {
  this->fleet = MakePlanner(this->idle_boxes_rest);
  for (const auto& [name, call] : this->open_calls)
    this->fleet.Inherit(call, this->now);
}

int FleetReplay::CountPaid() const {
  return static_cast<int>(std::count_if(
      this->boxes.begin(), this->boxes.end(), [this](const auto& entry) {
        return !IsSpare(entry.second) || entry.second.up_at > this->now;
      }));
}

void FleetReplay::BeginWave(int max_concurrent, base::Micros duration) {
  scheduler::Wave wave{.number = 1,
                       .boxes = {},
                       .duration = duration,
                       .max_concurrent = max_concurrent};
  int index = 0;
  for (auto& [name, box] : this->boxes) {
    wave.boxes.push_back(name);
    if (index++ % 3 == 0)
      box.pinned_for = kPinnedFor;
  }
  this->fleet.SetWave(wave, {}, this->now);
}

int FleetReplay::CountLeftInWave() const {
  return static_cast<int>(std::count_if(
      this->boxes.begin(), this->boxes.end(),
      [](const auto& entry) { return !entry.second.is_maintained; }));
}

void FleetReplay::RunUntil(base::Micros end, const Demand& demand) {
  for (; this->now < end; this->now += kStep) {
    for (auto& [name, box] : this->boxes) {
      const bool is_back =
          box.up_at <= this->now && box.announced_at < box.up_at;
      if (is_back && !IsSpare(box)) {
        box.announced_at = this->now;
        this->fleet.OnBoxAnnounced(name, {.id = name, .start_ms = ++box.worker},
                                   box.pool, this->now);
      }
    }
    this->DeliverList();
    this->proceeding = 0;
    for (const scheduler::FleetAction& action :
         this->fleet.Plan(this->View(demand), this->now)) {
      if (const auto* move = std::get_if<MoveBox>(&action))
        this->Call(*move);
      else if (const auto* call = std::get_if<scheduler::MaintainBox>(&action))
        this->Call(*call);
      else if (const auto* box = std::get_if<scheduler::EvacuateBox>(&action))
        this->Evacuate(*box);
    }
    std::erase_if(this->open_calls, [this](const auto& entry) {
      return !this->fleet.HasPendingCall(entry.first);
    });
    this->paid_box_seconds += this->CountPaid() * 0.25;
  }
}

void FleetReplay::DeliverList() {
  if (!this->list.empty() && this->now >= this->list_asked + this->list_lag) {
    this->fleet.SetBoxes(this->list, this->list_asked, this->now);
    this->list.clear();
  }
  if (!this->list.empty() || this->now < this->list_asked + kListPeriod)
    return;
  this->list_asked = this->now;
  for (const auto& [name, box] : this->boxes)
    this->list.push_back(
        {.name = name,
         .pool = box.pool,
         .state = box.up_at > this->now ? BoxState::kMoving : BoxState::kUp,
         .cores = kBoxCores});
}

void FleetReplay::Call(const MoveBox& call) {
  Box& box = this->boxes.at(call.box);
  const bool is_idle = std::find(this->idle.begin(), this->idle.end(),
                                 call.box) != this->idle.end();
  ++this->calls;
  this->open_calls[call.box] = call;
  scheduler::BoxCallOutcome outcome = scheduler::BoxCallOutcome::kDone;
  const bool is_repeated = box.pool == call.pool;
  if (!is_repeated && box.up_at > this->now) {
    outcome = scheduler::BoxCallOutcome::kBusy;
    this->violations.push_back(call.box + " is called while it moves");
  } else if (!is_repeated) {
    if (!is_idle)
      this->violations.push_back(call.box + " is moved with its runs");
    box.pool = call.pool;
    box.up_at = this->now + kFleetTimings.move_duration;
  }
  this->fleet.OnMoveOutcome(
      call,
      this->answers_are_lost ? scheduler::BoxCallOutcome::kUnknown : outcome,
      this->now);
}

void FleetReplay::Call(const scheduler::MaintainBox& call) {
  Box& box = this->boxes.at(call.box);
  box.is_maintained = true;
  box.up_at = this->now + kFleetTimings.maintenance_duration;
  this->fleet.OnMaintenanceOutcome(call, scheduler::BoxCallOutcome::kDone,
                                   this->now);
}

void FleetReplay::Evacuate(const scheduler::EvacuateBox& action) {
  Box& box = this->boxes.at(action.box);
  scheduler::EvacuationStep step = scheduler::EvacuationStep::kProceeds;
  if (box.pinned_for > base::Micros::zero()) {
    if (++this->proceeding <= kMaxProceeding)
      box.pinned_for -= kStep;
    else
      step = scheduler::EvacuationStep::kWaits;
  }
  this->fleet.OnEvacuationStep(action.box, step, this->now);
}

scheduler::FleetView FleetReplay::View(const Demand& demand) {
  scheduler::FleetView view;
  this->idle.clear();
  if (this->has_spare_pool)
    view.pools.push_back({.name = "rest", .spare = true});
  for (int i = 0; i < this->pools; ++i) {
    const double wanted = demand(i, this->now);
    const double before = demand(i, this->now - seconds(1));
    if (wanted > demand(i, this->now - kStep))
      this->risen_at[i] = this->now;
    scheduler::FleetPool pool{.name = PoolName(i)};
    pool.demand[0] = {
        .current_cores = wanted,
        .expected_cores = kTrendWeight * std::max(0.0, wanted - before)};
    view.pools.push_back(pool);
    double left = wanted;
    for (const auto& [name, box] : this->boxes) {
      if (box.pool != pool.name || box.up_at > this->now)
        continue;
      scheduler::FleetBox seen = IdleBox(name, pool.name);
      seen.worker = {.id = name, .start_ms = box.worker};
      if (!this->fleet.IsLeaving(name)) {
        seen.busy_cores = std::min(left, kBoxCores);
        left -= seen.busy_cores;
      }
      seen.long_running_tasks = box.pinned_for > base::Micros::zero();
      seen.idle = seen.busy_cores <= 0.0 && seen.long_running_tasks == 0;
      if (seen.idle)
        this->idle.push_back(name);
      view.boxes.push_back(seen);
    }
    const auto risen = this->risen_at.find(i);
    if (risen != this->risen_at.end() && this->now < risen->second + seconds(2))
      this->short_core_seconds += left * 0.25;
  }
  for (const auto& [name, box] : this->boxes) {
    if (IsSpare(box) && box.up_at <= this->now)
      this->idle.push_back(name);
  }
  return view;
}

}  // namespace quartzhoist::testing
