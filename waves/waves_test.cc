// Waves over the platform's stand-in, in simulated time: several drivers at
// once on stale snapshots, lost replies, drivers that die at any step, racks
// that fail.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "table/codec.h"
#include "testing/memory_table.h"
#include "waves/forecast.h"
#include "waves/planner.h"
#include "waves/steps.h"

namespace quartzhoist::waves {
namespace {

using table::Box;
using table::BoxState;
using table::Version;

constexpr int kPools = 3;

// A fleet whose rows live in the stand-in, and drivers that see parts of it.
class World {
 public:
  World(int boxes, int away_percent, int wave, int pace) {
    platform::Transaction seed{.writer = "seed"};
    for (int i = 0; i < kPools; ++i) {
      const std::string name = "p" + std::to_string(i);
      table::PoolRow pool{
          .name = name, .boxes = boxes, .wave = wave, .pace = pace};
      table::ServiceRow service{
          .name = "s" + std::to_string(i), .pool = name, .away = away_percent};
      this->Put(seed, pool);
      this->Put(seed, service);
      for (int k = 0; k < boxes; ++k) {
        Box box{.name = name + "-" + std::to_string(k),
                .zone = "z",
                .rack = name + "-r" + std::to_string(k / 4),
                .address = "a",
                .pool = name};
        seed.writes.push_back({table::BoxKey(box.name), table::EncodeBox(box)});
      }
    }
    this->store.Commit(seed);
  }

  void Put(platform::Transaction& transaction, const table::Row& row) {
    transaction.writes.push_back(
        {table::RowKey(table::IdOf(row)), table::EncodeRow(row)});
  }

  void EditPool(const std::string& name, int boxes, int maintain) {
    const table::SnapshotPtr now = this->Fresh();
    table::PoolRow pool = *now->FindPool(name);
    pool.boxes = boxes;
    pool.maintain = maintain;
    platform::Transaction edit{.writer = "edit"};
    this->Put(edit, pool);
    this->store.Commit(edit);
  }

  table::SnapshotPtr Fresh() const {
    return table::Snapshot::Apply(table::Snapshot::Empty(),
                                  this->store.Changes(0))
        .snapshot;
  }

  // One driver plans on the snapshot it has and writes every pool's plan.
  // Returns how many steps were committed.
  int Drive(const table::SnapshotPtr& seen) {
    this->UpdateFacts();
    int committed = 0;
    const Fleet fleet(seen, this->facts);
    for (const PoolPlan& plan : PlanAll(fleet)) {
      if (plan.steps.empty())
        continue;
      const auto result = this->store.Commit(
          ToTransaction(*seen, plan, "d" + std::to_string(++this->writers)));
      if (!std::holds_alternative<platform::Committed>(result))
        continue;
      committed += static_cast<int>(plan.steps.size());
      for (const Step& step : plan.steps)
        this->departures[step.box] += step.kind == StepKind::kDepart;
    }
    return committed;
  }

  // Boxes on their way get further: acknowledgements and readiness come.
  void Progress(bool drained, bool ready) {
    const table::SnapshotPtr now = this->Fresh();
    for (const auto& [name, box] : now->boxes()) {
      if (drained && box.state == BoxState::kDraining)
        this->facts[name].drained_epoch = box.epoch;
      if (ready && box.state == BoxState::kAway)
        this->facts[name].ready_epoch = box.epoch;
    }
  }

  void FailRack(const std::string& rack, bool live) {
    const table::SnapshotPtr rows_now = this->Fresh();
    for (const auto& [name, box] : rows_now->boxes()) {
      if (box.rack == rack)
        this->facts[name].live = live;
    }
  }

  void UpdateFacts() {
    for (auto& [name, of_box] : this->facts)
      of_box.gone_for = of_box.live ? 0 : of_box.gone_for + 10;
  }

  // Boxes of the pool that serve, as far as rows tell (failures apart).
  int ServingRows(const std::string& pool) const {
    int serving = 0;
    const table::SnapshotPtr rows_now = this->Fresh();
    for (const auto& [name, box] : rows_now->boxes())
      serving += box.pool == pool && box.state == BoxState::kServing;
    return serving;
  }

  int Need(const std::string& pool) const {
    const Fleet fleet(this->Fresh(), this->facts);
    const auto size = fleet.snapshot().FindPool(pool)->boxes;
    return static_cast<int>(size - fleet.MayBeAway(pool));
  }

  testing::MemoryTable store;
  Facts facts;
  std::map<std::string, int> departures;
  int writers = 0;
};

// Whatever races, planned departures never take a pool below what its services
// need, a box has one pool at any time, and the work ends with one trip a box.
RC_BOOST_PROP(RacingDriversKeepEveryShare, ()) {
  const int boxes = *rc::gen::inRange(2, 13);
  World world(boxes, *rc::gen::inRange(10, 60), *rc::gen::inRange(1, 6),
              *rc::gen::inRange(0, 101));
  std::vector<int> needs;
  for (int i = 0; i < kPools; ++i) {
    world.EditPool("p" + std::to_string(i), boxes, 1);
    needs.push_back(world.Need("p" + std::to_string(i)));
  }
  std::vector<table::SnapshotPtr> seen(3, world.Fresh());
  for (int step = 0; step < 60; ++step) {
    const auto who = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
    if (*rc::gen::arbitrary<bool>())
      seen[who] = world.Fresh();
    world.Drive(seen[who]);
    world.Progress(*rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>());
    for (int i = 0; i < kPools; ++i)
      RC_ASSERT(world.ServingRows("p" + std::to_string(i)) >=
                needs[static_cast<std::size_t>(i)]);
  }
  for (const auto& [box, count] : world.departures)
    RC_ASSERT(count <= 1);
}

// A driver may die after any step: whoever comes next finishes from the rows.
RC_BOOST_PROP(AnyDriverFinishesAnothersWave, ()) {
  World world(8, 50, *rc::gen::inRange(1, 5), 100);
  for (int i = 0; i < kPools; ++i)
    world.EditPool("p" + std::to_string(i), 8, 1);
  for (int step = 0; step < 200; ++step) {
    // Each round is another driver, which has seen nothing before.
    world.Drive(world.Fresh());
    world.Progress(true, true);
  }
  const table::SnapshotPtr rows_now = world.Fresh();
  for (const auto& [name, box] : rows_now->boxes()) {
    RC_ASSERT(box.state == BoxState::kServing);
    RC_ASSERT(box.maintained == 1);
    RC_ASSERT(world.departures[name] == 1);
  }
  for (const auto& [pool, wave] : rows_now->waves())
    RC_ASSERT(wave.away.empty());
}

RC_BOOST_PROP(BoxesMoveToThePoolsThatWantThem, ()) {
  World world(8, 50, 3, 100);
  const int moved = *rc::gen::inRange(1, 5);
  world.EditPool("p0", 8 - moved, 0);
  world.EditPool("p1", 8 + moved, 0);
  for (int step = 0; step < 100; ++step) {
    world.Drive(world.Fresh());
    world.Progress(true, true);
  }
  RC_ASSERT(world.ServingRows("p0") == 8 - moved);
  RC_ASSERT(world.ServingRows("p1") == 8 + moved);
  int departures = 0;
  for (const auto& [box, count] : world.departures)
    departures += count;
  RC_ASSERT(departures == moved);
}

BOOST_AUTO_TEST_CASE(TwoDriversCannotBothTakeTheLastBoxThatMayBeAway) {
  World world(4, 25, 4, 100);
  world.EditPool("p0", 4, 1);
  const table::SnapshotPtr seen = world.Fresh();
  // Both plan on the same rows; the second picks another box of the rack.
  const Fleet fleet(seen, world.facts);
  PoolPlan first = PlanPool(fleet, "p0");
  BOOST_REQUIRE(first.steps.size() == 1);
  PoolPlan second = first;
  second.steps[0].box = first.steps[0].box == "p0-1" ? "p0-2" : "p0-1";
  const auto won = world.store.Commit(ToTransaction(*seen, first, "a"));
  const auto lost = world.store.Commit(ToTransaction(*seen, second, "b"));
  BOOST_TEST(std::holds_alternative<platform::Committed>(won));
  BOOST_TEST(std::holds_alternative<platform::Conflict>(lost));
}

BOOST_AUTO_TEST_CASE(BoxRowThatThePlatformWroteIsNotOverwritten) {
  World world(4, 25, 4, 100);
  world.EditPool("p0", 4, 1);
  const table::SnapshotPtr seen = world.Fresh();
  const PoolPlan plan = PlanPool(Fleet(seen, world.facts), "p0");
  BOOST_REQUIRE(!plan.steps.empty());
  Box replaced = *seen->FindBox(plan.steps[0].box);
  replaced.address = "new";
  world.store.Commit(
      {.writer = "platform",
       .writes = {{table::BoxKey(replaced.name), table::EncodeBox(replaced)}}});
  const auto lost = world.store.Commit(ToTransaction(*seen, plan, "a"));
  BOOST_TEST(std::holds_alternative<platform::Conflict>(lost));
}

BOOST_AUTO_TEST_CASE(PausedDriverThatResumesWritesNothing) {
  World world(4, 25, 4, 100);
  world.EditPool("p0", 4, 1);
  const table::SnapshotPtr paused = world.Fresh();
  for (int step = 0; step < 40; ++step) {
    world.Drive(world.Fresh());
    world.Progress(true, true);
  }
  const Version before = world.store.version();
  world.Drive(paused);
  BOOST_TEST(world.store.version() == before);
}

BOOST_AUTO_TEST_CASE(FailureBurstHaltsDeparturesAndTheyResume) {
  World world(12, 50, 2, 100);
  world.EditPool("p0", 12, 1);
  world.FailRack("p0-r0", false);
  const Fleet during(world.Fresh(), world.facts);
  PoolPlan plan = PlanPool(during, "p0");
  BOOST_CHECK(plan.hold == Hold::kFailureBurst);
  BOOST_TEST(plan.steps.empty());
  world.FailRack("p0-r0", true);
  const Fleet after(world.Fresh(), world.facts);
  plan = PlanPool(after, "p0");
  BOOST_CHECK(plan.hold == Hold::kNone);
  BOOST_TEST(plan.steps.size() == 2u);
}

BOOST_AUTO_TEST_CASE(FailedBoxesCountAsAway) {
  World world(10, 20, 5, 100);
  world.EditPool("p0", 10, 1);
  world.facts["p0-0"] = {.live = false, .gone_for = 10'000};
  const PoolPlan plan = PlanPool(Fleet(world.Fresh(), world.facts), "p0");
  // Two may be away, one has failed: one may go.
  BOOST_TEST(plan.steps.size() == 1u);
}

BOOST_AUTO_TEST_CASE(SilentEntryBoxBlocksThePlannedStop) {
  World world(4, 50, 1, 100);
  world.EditPool("p0", 4, 1);
  world.Drive(world.Fresh());
  for (int step = 0; step < 20; ++step)
    world.Drive(world.Fresh());
  int draining = 0;
  const table::SnapshotPtr rows_now = world.Fresh();
  for (const auto& [name, box] : rows_now->boxes()) {
    BOOST_CHECK(box.state != BoxState::kAway);
    draining += box.state == BoxState::kDraining;
  }
  BOOST_TEST(draining == 1);
}

BOOST_AUTO_TEST_CASE(ForecastTellsWavesAndLowestShare) {
  World world(10, 20, 2, 100);
  world.EditPool("p0", 10, 1);
  const Forecast forecast = MakeForecast(world.Fresh(), world.facts);
  const PoolForecast& pool = forecast.at("p0");
  BOOST_TEST(pool.maintained == 10);
  BOOST_TEST(pool.moved == 0);
  BOOST_TEST(pool.waves == 5);
  BOOST_TEST(pool.lowest == 8);
  BOOST_TEST(pool.need == 8);
  BOOST_TEST(pool.stuck == 0);
}

}  // namespace
}  // namespace quartzhoist::waves
