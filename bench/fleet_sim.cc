#include "bench/fleet_sim.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <vector>

#include <fmt/format.h>

#include "table/codec.h"
#include "waves/planner.h"
#include "waves/steps.h"

namespace quartzhoist::bench {

namespace {

using table::Box;
using table::BoxState;

constexpr double kTick = 4;  // seconds between two plans
constexpr double kMaxSeconds = 96 * 3600;
constexpr double kMeanDrain = 30;     // until the last request is done
constexpr double kMeanAway = 600;     // reboot and checks
constexpr double kAwaySpread = 0.35;  // of the log-normal
constexpr double kRepairSeconds = 1800;
constexpr double kFailuresBegin = 1500;
constexpr double kSingleFailureEvery = 400;
constexpr double kSecondsAnHour = 3600;

// A box's part in the simulation.
struct Trip {
  double drained_at = 0;
  double ready_at = 0;
};

class Simulation {
 public:
  Simulation(const FleetShape& of,
             Policy by,
             const FailurePlan& with,
             std::uint64_t seed,
             Signature& sum)
      : shape(of),
        policy(by),
        failures(with),
        random(seed),
        failure_random(seed + 1),
        signature(sum),
        snapshot(MakeFleet(of)) {
    for (const auto& [name, box] : this->snapshot->boxes())
      this->facts[name] = {};
  }

  RollOut Run() {
    this->SetBound();
    while (this->now < kMaxSeconds && !this->result.finished) {
      this->Fail();
      this->Arrive();
      this->Plan();
      this->Measure();
      this->now += kTick;
    }
    this->result.hours = this->now / kSecondsAnHour;
    this->SetDrawnBound();
    this->signature.Add(static_cast<std::uint64_t>(this->result.moves));
    return this->result;
  }

 private:
  double Draw(double mean, double spread) {
    std::lognormal_distribution<double> draw(
        std::log(mean) - spread * spread / 2, spread);
    return draw(this->random);
  }

  // What no policy can beat: the pool with the most rounds.
  void SetBound() {
    const waves::Fleet fleet(this->snapshot, this->facts);
    double rounds = 0;
    for (const auto& [id, row] : this->snapshot->rows()) {
      const auto* pool = std::get_if<table::PoolRow>(&row);
      if (!pool)
        continue;
      const double may = static_cast<double>(
          std::max<std::int64_t>(1, fleet.MayBeAway(pool->name)));
      rounds =
          std::max(rounds, std::ceil(static_cast<double>(pool->boxes) / may));
    }
    this->result.bound_hours =
        rounds * (kMeanDrain + kMeanAway) / kSecondsAnHour;
  }

  // Correlated and single failures, and repairs.
  void Fail() {
    const auto fail = [this](const std::string& name) {
      this->facts[name].live = false;
      this->failed_at[name] = this->now;
    };
    const bool begins =
        this->now >= kFailuresBegin && this->now < kFailuresBegin + kTick;
    for (const auto& [name, box] : this->snapshot->boxes()) {
      const bool in_rack = this->failures.rack && box.rack == "p0-r0";
      const bool in_zone = this->failures.zone && box.zone == "z0";
      if (begins && (in_rack || in_zone))
        fail(name);
    }
    if (this->failures.single_boxes > this->singles &&
        this->now > kSingleFailureEvery * (this->singles + 1)) {
      ++this->singles;
      auto box = this->snapshot->boxes().begin();
      std::advance(box,
                   static_cast<std::ptrdiff_t>(this->failure_random() %
                                               this->snapshot->boxes().size()));
      fail(box->first);
    }
    for (auto& [name, since] : this->failed_at) {
      waves::BoxFacts& of_box = this->facts[name];
      of_box.gone_for = this->now - since;
      if (of_box.gone_for > kRepairSeconds)
        of_box = {.ready_epoch = of_box.ready_epoch,
                  .drained_epoch = of_box.drained_epoch};
    }
    std::erase_if(this->failed_at, [this](const auto& entry) {
      return this->facts[entry.first].live;
    });
  }

  // Acknowledgements and readiness that have come by now.
  void Arrive() {
    for (const auto& [name, trip] : this->trips) {
      const Box& box = *this->snapshot->FindBox(name);
      waves::BoxFacts& of_box = this->facts[name];
      if (box.state == BoxState::kDraining && this->now >= trip.drained_at)
        of_box.drained_epoch = box.epoch;
      if (box.state == BoxState::kAway && this->now >= trip.ready_at)
        of_box.ready_epoch = box.epoch;
    }
  }

  void Plan() {
    const waves::Fleet fleet(this->snapshot, this->facts);
    const table::Version next = this->snapshot->revision() + 1;
    table::Delta delta{
        .after = this->snapshot->revision(), .upto = next, .rows = {}};
    for (const waves::PoolPlan& plan : waves::PlanAll(fleet)) {
      const bool may_depart = this->MayDepart(fleet, plan.pool);
      std::int64_t departed = 0;
      for (const waves::Step& step : plan.steps) {
        const bool departs = step.kind == waves::StepKind::kDepart;
        if (departs && !may_depart)
          continue;
        if (departs && this->policy == Policy::kOneAtATime && departed > 0)
          continue;
        departed += departs ? 1 : 0;
        this->Take(step, next, delta);
      }
      if (plan.serving - departed < plan.need && departed > 0)
        this->result.broken += departed;
    }
    if (!delta.rows.empty())
      this->snapshot = table::Snapshot::Apply(this->snapshot, delta).snapshot;
  }

  // The baselines wait until everybody is back.
  bool MayDepart(const waves::Fleet& fleet, const std::string& pool) const {
    if (this->policy == Policy::kRolling)
      return true;
    const auto& boxes = fleet.BoxesOf(pool);
    return std::all_of(boxes.begin(), boxes.end(),
                       [](const waves::BoxView& view) {
                         return view.box->state == BoxState::kServing;
                       });
  }

  void Take(const waves::Step& step, table::Version next, table::Delta& delta) {
    this->signature.Add(step.box);
    this->signature.Add(static_cast<std::uint64_t>(step.kind));
    delta.rows.push_back(
        {table::BoxKey(step.box), next, "",
         table::EncodeBox(waves::BoxAfter(*this->snapshot, step))});
    if (step.kind == waves::StepKind::kDepart) {
      ++this->result.moves;
      const double drained =
          this->now + std::min(this->Draw(kMeanDrain, 1.0), 120.0);
      const double ready = drained + this->Draw(kMeanAway, kAwaySpread);
      this->trips[step.box] = {.drained_at = drained, .ready_at = ready};
      const Box& box = *this->snapshot->FindBox(step.box);
      this->drawn_seconds[box.pool] += ready - this->now;
    }
    if (step.kind == waves::StepKind::kReturn)
      this->trips.erase(step.box);
  }

  void Measure() {
    const waves::Fleet fleet(this->snapshot, this->facts);
    bool all_done = true;
    for (const auto& [id, row] : this->snapshot->rows()) {
      const auto* pool = std::get_if<table::PoolRow>(&row);
      if (!pool)
        continue;
      std::int64_t serving = 0;
      std::int64_t away = 0;
      for (const auto& [box, of_box] : fleet.BoxesOf(pool->name)) {
        const bool in_service = box->state == BoxState::kServing;
        serving += in_service && of_box->live ? 1 : 0;
        away += in_service ? 0 : 1;
        all_done = all_done && in_service && box->maintained >= pool->maintain;
      }
      const std::int64_t need = pool->boxes - fleet.MayBeAway(pool->name);
      std::int64_t& peak = this->peak_away[pool->name];
      peak = std::max(peak, away);
      this->result.idle_box_hours +=
          static_cast<double>(std::max<std::int64_t>(0, serving - need)) *
          kTick / kSecondsAnHour;
      this->result.lowest_share = std::min(
          this->result.lowest_share,
          static_cast<double>(serving) / static_cast<double>(pool->boxes));
    }
    this->result.finished = all_done;
  }

  // What no policy could beat with the times that were drawn.
  void SetDrawnBound() {
    const waves::Fleet fleet(this->snapshot, this->facts);
    for (const auto& [pool, seconds] : this->drawn_seconds) {
      const double may =
          static_cast<double>(std::max<std::int64_t>(1, fleet.MayBeAway(pool)));
      this->result.drawn_bound_hours = std::max(this->result.drawn_bound_hours,
                                                seconds / may / kSecondsAnHour);
    }
    for (const auto& [pool, peak] : this->peak_away)
      this->result.spare_boxes += peak;
  }

  const FleetShape& shape;
  Policy policy;
  const FailurePlan& failures;
  std::mt19937_64 random;
  std::mt19937_64 failure_random;  // the same failures for every policy
  Signature& signature;
  table::SnapshotPtr snapshot;
  waves::Facts facts;
  std::map<std::string, Trip> trips;
  std::map<std::string, double> failed_at;
  std::map<std::string, double> drawn_seconds;    // of trips, by pool
  std::map<std::string, std::int64_t> peak_away;  // by pool
  int singles = 0;
  double now = 0;
  RollOut result;
};

}  // namespace

table::SnapshotPtr MakeFleet(const FleetShape& shape) {
  table::Delta delta{.after = 0, .upto = 1, .rows = {}};
  const auto put = [&delta](const table::Row& row) {
    delta.rows.push_back(
        {table::RowKey(table::IdOf(row)), 1, "", table::EncodeRow(row)});
  };
  for (int p = 0; p < shape.pools; ++p) {
    const std::string pool = fmt::format("p{}", p);
    const int size =
        shape.boxes / shape.pools + (p < shape.boxes % shape.pools ? 1 : 0);
    put(table::PoolRow{.name = pool,
                       .boxes = size,
                       .wave = size,
                       .pace = shape.pace,
                       .maintain = 1});
    put(table::ServiceRow{.name = fmt::format("s{}", p),
                          .pool = pool,
                          .away = shape.away_percent});
    for (int b = 0; b < size; ++b) {
      const Box box{.name = fmt::format("{}-{:03}", pool, b),
                    .zone = fmt::format("z{}", b % shape.zones),
                    .rack = fmt::format("{}-r{}", pool, b / shape.boxes_a_rack),
                    .address = "a",
                    .pool = pool};
      delta.rows.push_back(
          {table::BoxKey(box.name), 1, "", table::EncodeBox(box)});
    }
  }
  return table::Snapshot::Apply(table::Snapshot::Empty(), delta).snapshot;
}

RollOut Simulate(const FleetShape& shape,
                 Policy policy,
                 const FailurePlan& failures,
                 std::uint64_t seed,
                 Signature& signature) {
  return Simulation(shape, policy, failures, seed, signature).Run();
}

}  // namespace quartzhoist::bench
