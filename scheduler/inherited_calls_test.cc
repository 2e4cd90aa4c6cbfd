// Tests of box calls and waves that a previous owner left.

#include <set>
#include <string>
#include <variant>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/fleet.h"
#include "testing/fleet_bench.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using testing::IdleBox;
using testing::kFleetTimings;
using testing::Only;

// A previous owner's maintenance call may still be in flight. The box counts as
// away from the start, and once its worker has answered and is idle the call is
// repeated, so that the box refuses the earlier one by its lower epoch.
BOOST_AUTO_TEST_CASE(InheritedMaintenanceCountsUntilRepeated) {
  FleetPlanner fleet(kFleetTimings);
  FleetView view{.boxes = {IdleBox("b1", "pool"), IdleBox("b2", "pool")},
                 .pools = {{.name = "pool", .spare = false, .demand = {}}}};
  const base::Micros now = seconds(10);
  fleet.Inherit(
      MaintainBox{.box = "b1", .wave = 1, .incarnation = {.id = "b1-life"}},
      now);
  fleet.SetBoxes({{.name = "b1", .pool = "pool", .cores = 16.0},
                  {.name = "b2", .pool = "pool", .cores = 16.0}},
                 now, now);
  fleet.SetWave({.number = 1,
                 .boxes = {"b1", "b2"},
                 .duration = seconds(60),
                 .max_concurrent = 1},
                {}, now);
  BOOST_TEST(fleet.IsLeaving("b1"));
  view.boxes[0].available = false;  // its worker has not answered yet
  BOOST_TEST(Only<MaintainBox>(fleet.Plan(view, now)).empty());
  view.boxes[0].available = true;
  const auto made =
      Only<MaintainBox>(fleet.Plan(view, now + milliseconds(250)));
  BOOST_REQUIRE(made.size() == 1U);
  BOOST_TEST(made[0].box == "b1");
  BOOST_TEST(made[0].incarnation.id == "b1-life");
}

// A box with runs shows that the previous owner abandoned its call or that it
// was carried out long ago. Repeating the call would end those runs.
BOOST_AUTO_TEST_CASE(InheritedCallIsNotRepeatedOnBusyBox) {
  FleetPlanner fleet(kFleetTimings);
  FleetView view{.boxes = {IdleBox("b1", "pool"), IdleBox("b2", "pool")},
                 .pools = {{.name = "pool", .spare = false, .demand = {}}}};
  const base::Micros now = seconds(10);
  for (FleetBox& box : view.boxes) {
    box.idle = false;
    box.long_running_tasks = 1;
  }
  fleet.Inherit(
      MaintainBox{.box = "b1", .wave = 1, .incarnation = {.id = "b1-life"}},
      now);
  fleet.Inherit(
      MoveBox{.box = "b2", .pool = "other", .incarnation = {.id = "b2-life"}},
      now);
  fleet.SetBoxes({{.name = "b1", .pool = "pool", .cores = 16.0},
                  {.name = "b2", .pool = "pool", .cores = 16.0}},
                 now, now);
  fleet.SetWave({.number = 1,
                 .boxes = {"b1"},
                 .duration = seconds(60),
                 .max_concurrent = 1},
                {}, now);
  const auto steps = fleet.Plan(view, now);
  BOOST_TEST(Only<MaintainBox>(steps).empty());
  BOOST_TEST(Only<MoveBox>(steps).empty());
  BOOST_TEST(Only<EvacuateBox>(steps).size() == 1U);
  BOOST_TEST(!fleet.HasPendingCall("b1"));
  BOOST_TEST(!fleet.HasPendingCall("b2"));
}

// A move that got no answer may have been carried out, and its box announced in
// the new pool before the repeated call is confirmed. The box must be usable as
// soon as it is.
BOOST_AUTO_TEST_CASE(MovedBoxIsUsableOnceMoveIsConfirmed) {
  FleetPlanner fleet(kFleetTimings);
  const base::Micros now = seconds(10);
  fleet.Inherit(
      MoveBox{.box = "b1", .pool = "other", .incarnation = {.id = "b1-life"}},
      now);
  fleet.OnBoxAnnounced("b1", {.id = "b1-next"}, "other", now);
  BOOST_TEST(fleet.IsLeaving("b1"));
  FleetBox box = IdleBox("b1", "other");
  box.worker = {.id = "b1-next"};
  const FleetView view{.boxes = {box}, .pools = {{.name = "other"}}};
  const auto made = Only<MoveBox>(fleet.Plan(view, now));
  BOOST_REQUIRE(made.size() == 1U);
  fleet.OnMoveOutcome(made[0], BoxCallOutcome::kDone, now + milliseconds(20));
  BOOST_TEST(!fleet.IsLeaving("b1"));
}

// Guards against a new owner that keeps boxes from work which the earlier one
// was done with, or takes more boxes away than the wave allows. Of the wave's
// boxes b0 and b1 are back, b2 and b3 down and b4 called; of four moves two are
// done, one was not made, and one box's worker never answers.
BOOST_AUTO_TEST_CASE(TakeoverAmidAWaveAndMovesFreesTheBoxesThatAnswer) {
  FleetPlanner fleet(kFleetTimings);
  base::Micros now = seconds(10);
  Wave wave{
      .number = 1, .boxes = {}, .duration = seconds(60), .max_concurrent = 3};
  FleetView view{.boxes = {}, .pools = {{.name = "calm"}, {.name = "busy"}}};
  std::vector<BoxInfo> listed;
  for (int i = 0; i < 8; ++i) {
    const std::string name = "b" + std::to_string(i);
    wave.boxes.push_back(name);
    view.boxes.push_back(IdleBox(name, "calm"));
    view.boxes.back().available = i != 2 && i != 3;
    listed.push_back(
        {.name = name,
         .pool = "calm",
         .state = i == 2 || i == 3 ? BoxState::kMaintenance : BoxState::kUp,
         .cores = 16.0});
  }
  for (int i = 0; i < 4; ++i) {
    const std::string name = "m" + std::to_string(i);
    const char* pool = i < 2 ? "busy" : "calm";
    view.boxes.push_back(IdleBox(name, pool));
    view.boxes.back().available = i != 3;
    listed.push_back({.name = name, .pool = pool, .cores = 16.0});
    fleet.Inherit(
        MoveBox{.box = name,
                .pool = "busy",
                .incarnation = {.id = i < 2 ? "before" : name + "-life"}},
        now);
  }
  view.pools[1].demand[0].current_cores = 4 * 16.0 * 0.85;
  fleet.SetWave(wave, {"b0", "b1", "b2", "b3"}, now);
  fleet.Inherit(
      MaintainBox{.box = "b4", .wave = 1, .incarnation = {.id = "b4-life"}},
      now);
  fleet.SetBoxes(listed, now, now);
  for (const FleetBox& box : view.boxes) {
    if (!box.available)
      continue;
    fleet.OnBoxAnnounced(box.name, box.worker, box.pool, now);
    fleet.OnBoxAnswered(box.name);
  }
  std::set<std::string> called;
  const auto plan = [&] {
    for (const FleetAction& action : fleet.Plan(view, now)) {
      if (const auto* move = std::get_if<MoveBox>(&action)) {
        called.insert(move->box);
        fleet.OnMoveOutcome(*move, BoxCallOutcome::kDone, now);
      } else if (const auto* call = std::get_if<MaintainBox>(&action)) {
        called.insert(call->box);
        fleet.OnMaintenanceOutcome(*call, BoxCallOutcome::kDone, now);
      }
    }
  };
  for (; now <= seconds(11); now += milliseconds(250))
    plan();
  // The calls are made again; no box beyond the wave's limit is called.
  BOOST_TEST((called == std::set<std::string>{"b4", "m0", "m1", "m2"}));
  for (const char* box : {"b0", "b1", "b5", "b6", "b7", "m0", "m1"})
    BOOST_TEST(!fleet.IsLeaving(box), box);
  for (const char* box : {"b2", "b3", "b4", "m2", "m3"})
    BOOST_TEST(fleet.IsLeaving(box), box);
  // b2 answers; b3 never does, and the list shows it up.
  fleet.OnBoxAnswered("b2");
  plan();
  BOOST_TEST(called.contains("b5"));
  BOOST_TEST(!called.contains("b6"));
  for (BoxInfo& box : listed)
    box.state = BoxState::kUp;
  now = seconds(14);
  fleet.SetBoxes(listed, now, now);
  plan();
  BOOST_TEST(called.contains("b6"));
}

BOOST_AUTO_TEST_CASE(RecordedMaintenanceIsNotRepeatedByLaterOwner) {
  FleetPlanner fleet(kFleetTimings);
  fleet.SetWave({.number = 1,
                 .boxes = {"b1", "b2"},
                 .duration = seconds(20),
                 .max_concurrent = 1},
                {"b1"}, seconds(1));
  FleetView view;
  view.boxes = {IdleBox("b1", "pool"), IdleBox("b2", "pool")};
  view.pools = {{.name = "pool", .spare = false, .demand = {}}};
  // b1 may still be down: nothing else starts before the list shows it up.
  BOOST_TEST(Only<MaintainBox>(fleet.Plan(view, seconds(2))).empty());
  fleet.SetBoxes({{.name = "b1", .pool = "pool", .worker = "b1-life"},
                  {.name = "b2", .pool = "pool", .worker = "b2-life"}},
                 seconds(4), seconds(4));
  const auto begun = Only<MaintainBox>(fleet.Plan(view, seconds(4)));
  BOOST_REQUIRE(begun.size() == 1);
  BOOST_TEST(begun[0].box == "b2");
}

BOOST_AUTO_TEST_CASE(UnrecordedMaintenanceOfEarlierOwnerCounts) {
  FleetPlanner fleet(kFleetTimings);
  fleet.SetWave({.number = 1,
                 .boxes = {"b1", "b2"},
                 .duration = seconds(20),
                 .max_concurrent = 1},
                {}, seconds(1));
  FleetView view;
  view.boxes = {IdleBox("b2", "pool")};
  view.pools = {{.name = "pool", .spare = false, .demand = {}}};
  // No maintenance starts before the list has been read.
  BOOST_TEST(Only<MaintainBox>(fleet.Plan(view, seconds(2))).empty());
  fleet.SetBoxes(
      {{.name = "b1", .pool = "pool", .state = BoxState::kMaintenance},
       {.name = "b2", .pool = "pool", .worker = "b2-life"}},
      seconds(2), seconds(2));
  BOOST_TEST(Only<MaintainBox>(fleet.Plan(view, seconds(3))).empty());
  fleet.SetBoxes({{.name = "b1", .pool = "pool"},
                  {.name = "b2", .pool = "pool", .worker = "b2-life"}},
                 seconds(6), seconds(6));
  BOOST_TEST(Only<MaintainBox>(fleet.Plan(view, seconds(6))).size() == 1U);
}

// Such a box may be used again before the box service lists it as up.
BOOST_AUTO_TEST_CASE(WorkerAnswerEndsInheritedMaintenance) {
  FleetPlanner fleet(kFleetTimings);
  const Wave wave{.number = 1,
                  .boxes = {"b1", "b2"},
                  .duration = seconds(20),
                  .max_concurrent = 2};
  fleet.SetWave(wave, {"b1", "b2"}, seconds(10));
  BOOST_TEST(fleet.IsLeaving("b1"));
  fleet.OnBoxAnswered("b1");
  BOOST_TEST(!fleet.IsLeaving("b1"));
  BOOST_TEST(fleet.IsLeaving("b2"));
}

}  // namespace
}  // namespace quartzhoist::scheduler
