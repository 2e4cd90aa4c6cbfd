// Tests of the fleet planner's moves.

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/fleet.h"
#include "testing/fleet_bench.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::seconds;

using testing::IdleBox;
using testing::kFleetTimings;
using testing::Only;

BOOST_AUTO_TEST_CASE(IdleBoxMovesToPoolShortOfCores) {
  FleetPlanner fleet(kFleetTimings);
  FleetView view;
  view.boxes = {IdleBox("b1", "calm"), IdleBox("b2", "calm"),
                IdleBox("b3", "busy")};
  view.pools = {{.name = "calm", .spare = false, .demand = {}},
                {.name = "busy", .spare = false, .demand = {}}};
  view.pools[1].demand[0].current_cores = 20.0;
  const auto moves = Only<MoveBox>(fleet.Plan(view, seconds(1)));
  BOOST_REQUIRE(moves.size() == 1);
  BOOST_TEST(moves[0].pool == "busy");
  BOOST_TEST(fleet.IsLeaving(moves[0].box));
  // While it moves, it counts for its destination.
  BOOST_TEST(Only<MoveBox>(fleet.Plan(view, seconds(2))).empty());
}

// One shard of many has no box of the pool left when a small task comes: two
// cores are less than a quarter of a box, so that no pool counted as short.
BOOST_AUTO_TEST_CASE(PoolWithoutBoxesGetsOneForASmallTask) {
  FleetPlanner fleet(kFleetTimings);
  FleetView view;
  view.boxes = {IdleBox("b1", "calm"), IdleBox("b2", "calm")};
  view.pools = {{.name = "calm", .spare = false, .demand = {}},
                {.name = "empty", .spare = false, .demand = {}}};
  BOOST_TEST(Only<MoveBox>(fleet.Plan(view, seconds(1))).empty());
  view.pools[1].demand[0].current_cores = 2.0;
  const auto moves = Only<MoveBox>(fleet.Plan(view, seconds(2)));
  BOOST_REQUIRE(moves.size() == 1U);
  BOOST_TEST(moves[0].pool == "empty");
  // The box that is on its way is enough.
  BOOST_TEST(Only<MoveBox>(fleet.Plan(view, seconds(3))).empty());
}

// Overload in one pool must not leave another without the box that its
// long-running tasks need.
BOOST_AUTO_TEST_CASE(MinBoxesAreMetWhenAllPoolsAreShort) {
  FleetPlanner fleet(kFleetTimings);
  FleetView view;
  view.boxes = {IdleBox("b1", "busy"), IdleBox("b2", "busy")};
  view.boxes[1].idle = false;
  view.pools = {{.name = "busy", .spare = false, .demand = {}},
                {.name = "lasts", .spare = false, .demand = {}}};
  view.pools[0].demand[0].current_cores = 500.0;
  view.pools[1].demand[0].current_cores = 1.0;
  view.pools[1].min_boxes = 1;
  const auto moves = Only<MoveBox>(fleet.Plan(view, seconds(1)));
  BOOST_REQUIRE(moves.size() == 1);
  BOOST_TEST(moves[0].box == "b1");
  BOOST_TEST(moves[0].pool == "lasts");
}

BOOST_AUTO_TEST_CASE(UnansweredMoveIsRetried) {
  FleetPlanner fleet(kFleetTimings);
  FleetView view;
  view.boxes = {IdleBox("b1", "calm")};
  view.pools = {{.name = "calm", .spare = false, .demand = {}},
                {.name = "busy", .spare = false, .demand = {}}};
  view.pools[1].demand[0].current_cores = 10.0;
  const auto first = Only<MoveBox>(fleet.Plan(view, seconds(1)));
  BOOST_REQUIRE(first.size() == 1);
  fleet.OnMoveOutcome(first[0], BoxCallOutcome::kUnknown, seconds(2));
  BOOST_TEST(fleet.IsLeaving("b1"));
  const auto again = Only<MoveBox>(fleet.Plan(view, seconds(3)));
  BOOST_REQUIRE(again.size() == 1);
  BOOST_TEST(again[0].pool == "busy");
}

// Guards against a box that is used where it is about to leave: a call to move
// it had no answer, and the next one was turned down before it was looked at.
BOOST_AUTO_TEST_CASE(UnansweredMoveWhoseRetryIsTurnedDownIsRetried) {
  for (const BoxCallOutcome turned_down :
       {BoxCallOutcome::kThrottled, BoxCallOutcome::kNotSent}) {
    FleetPlanner fleet(kFleetTimings);
    FleetView view;
    view.boxes = {IdleBox("b1", "calm")};
    view.pools = {{.name = "calm", .spare = false, .demand = {}},
                  {.name = "busy", .spare = false, .demand = {}}};
    view.pools[1].demand[0].current_cores = 10.0;
    const auto first = Only<MoveBox>(fleet.Plan(view, seconds(1)));
    BOOST_REQUIRE(first.size() == 1U);
    fleet.OnMoveOutcome(first[0], BoxCallOutcome::kUnknown, seconds(2));
    // The pool does not need the box any more.
    view.pools[1].demand.clear();
    const auto second = Only<MoveBox>(fleet.Plan(view, seconds(3)));
    BOOST_REQUIRE(second.size() == 1U);
    fleet.OnMoveOutcome(second[0], turned_down, seconds(3));
    BOOST_TEST(fleet.IsLeaving("b1"));
    const auto third = Only<MoveBox>(fleet.Plan(view, seconds(5)));
    BOOST_REQUIRE(third.size() == 1U);
    BOOST_TEST(third[0].pool == "busy");
  }
}

// The same for a call of an earlier owner.
BOOST_AUTO_TEST_CASE(InheritedMoveWhoseRetryIsTurnedDownIsRetried) {
  FleetPlanner fleet(kFleetTimings);
  FleetView view;
  view.boxes = {IdleBox("b1", "calm")};
  view.pools = {{.name = "calm"}, {.name = "busy"}};
  fleet.Inherit(
      MoveBox{.box = "b1", .pool = "busy", .incarnation = view.boxes[0].worker},
      seconds(1));
  const auto first = Only<MoveBox>(fleet.Plan(view, seconds(2)));
  BOOST_REQUIRE(first.size() == 1U);
  fleet.OnMoveOutcome(first[0], BoxCallOutcome::kThrottled, seconds(2));
  BOOST_TEST(fleet.IsLeaving("b1"));
  BOOST_TEST(Only<MoveBox>(fleet.Plan(view, seconds(4))).size() == 1U);
}

BOOST_AUTO_TEST_CASE(BusyBoxOfALessUrgentPoolIsReclaimed) {
  FleetPlanner fleet(kFleetTimings);
  FleetView view;
  view.boxes = {IdleBox("b1", "patient"), IdleBox("b2", "patient")};
  for (FleetBox& box : view.boxes) {
    box.idle = false;
    box.busy_cores = 10.0;
  }
  view.boxes[1].long_running_tasks = 1;  // holds a long-running task
  view.pools = {{.name = "patient", .spare = false, .demand = {}},
                {.name = "urgent", .spare = false, .demand = {}}};
  view.pools[0].demand[1].current_cores = 100.0;
  view.pools[1].demand[0].current_cores = 14.0;
  BOOST_TEST(Only<MoveBox>(fleet.Plan(view, seconds(1))).empty());
  BOOST_TEST(fleet.IsLeaving("b1"));
  BOOST_TEST(!fleet.IsLeaving("b2"));
}

// Guards against log lines that name no reason, or a wrong one, for boxes that
// take no tasks, and against boxes with a reason that do take tasks.
BOOST_AUTO_TEST_CASE(LeavingBoxesHaveAReason) {
  FleetPlanner fleet(kFleetTimings);
  const base::Micros now = seconds(10);
  FleetView view;
  const std::vector<std::string> names = {
      "reclaimed", "moving", "moved",    "old-move", "evacuating",
      "called",    "down",   "old-call", "removed",  "stays"};
  std::vector<BoxInfo> listed;
  for (const std::string& name : names) {
    view.boxes.push_back(IdleBox(name, "patient"));
    view.boxes.back().idle = name == "moving" || name == "moved" ||
                             name == "called" || name == "down";
    if (name != "removed")
      listed.push_back({.name = name, .pool = "patient", .cores = 16.0});
  }
  view.boxes[0].busy_cores = 1.0;
  for (std::size_t i = 1; i < view.boxes.size(); ++i)
    view.boxes[i].busy_cores = 10.0;
  view.pools = {{.name = "patient"}, {.name = "urgent"}};
  fleet.Inherit(MoveBox{.box = "old-move", .pool = "urgent"}, now);
  fleet.Inherit(MaintainBox{.box = "old-call", .wave = 1}, now);
  fleet.Inherit(MaintainBox{.box = "removed", .wave = 1}, now);
  for (const std::size_t inherited : {3U, 7U, 8U})
    view.boxes[inherited].has_only_inherited_runs = true;
  fleet.SetBoxes(listed, now, now);
  fleet.SetWave({.number = 1,
                 .boxes = {"evacuating", "called", "down", "old-call"},
                 .duration = seconds(60),
                 .max_concurrent = 4},
                {}, now);
  for (const MaintainBox& call : Only<MaintainBox>(fleet.Plan(view, now))) {
    if (call.box == "down")
      fleet.OnMaintenanceOutcome(call, BoxCallOutcome::kDone, now);
  }
  // The urgent pool needs three boxes beside the one of the earlier owner.
  view.pools[1].demand[0].current_cores = 4 * 16.0 * 0.85;
  for (const MoveBox& call : Only<MoveBox>(fleet.Plan(view, now))) {
    if (call.box == "moved")
      fleet.OnMoveOutcome(call, BoxCallOutcome::kDone, now);
  }
  const std::map<std::string, LeavingReason> expected = {
      {"reclaimed", LeavingReason::kReclaimed},
      {"moving", LeavingReason::kMoving},
      {"moved", LeavingReason::kMoved},
      {"old-move", LeavingReason::kInheritedMove},
      {"evacuating", LeavingReason::kEvacuating},
      {"called", LeavingReason::kMaintenanceCalled},
      {"down", LeavingReason::kInMaintenance},
      {"old-call", LeavingReason::kInheritedMaintenance}};
  for (const std::string& name : names) {
    const auto found = expected.find(name);
    const std::optional<LeavingReason> reason = fleet.LeavingReasonOf(name);
    BOOST_TEST_CONTEXT(name) {
      BOOST_TEST(reason.has_value() == fleet.IsLeaving(name));
      BOOST_TEST(reason.has_value() == (found != expected.end()));
      BOOST_CHECK(!reason || reason == found->second);
    }
  }
}

}  // namespace
}  // namespace quartzhoist::scheduler
