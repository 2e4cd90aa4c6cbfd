// Tests of idle boxes that return to the spare pool.

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "scheduler/fleet.h"
#include "testing/fleet_bench.h"
#include "testing/fleet_replay.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using testing::FleetReplay;
using testing::IdleBox;
using testing::kFleetTimings;
using testing::Only;

constexpr int kPools = 4;

// Each pool in turn asks for 320 cores for 5 s, and for 16 in between.
double PeaksInTurn(int pool, base::Micros at) {
  return at / seconds(5) % kPools == pool ? 320.0 : 16.0;
}

double Nothing(int /*pool*/, base::Micros /*at*/) {
  return 0.0;
}

// Guards against boxes that are paid for though no pool needs them within a
// cycle of peaks, and against boxes that rest between two peaks and are missing
// at the next one.
BOOST_AUTO_TEST_CASE(BoxesBeyondThePeaksRest) {
  FleetReplay resting(kPools, 100, true, true);
  FleetReplay paid(kPools, 100, true, false);
  for (FleetReplay* replay : {&resting, &paid})
    replay->RunUntil(seconds(220), PeaksInTurn);
  BOOST_TEST_MESSAGE("box-seconds " << resting.paid_box_seconds << " and "
                                    << paid.paid_box_seconds << ", calls "
                                    << resting.calls << " and " << paid.calls
                                    << ", short core-seconds "
                                    << resting.short_core_seconds << " and "
                                    << paid.short_core_seconds);
  BOOST_TEST(resting.violations.empty());
  // The peaks need 29 boxes with the margin of the allocation and of the need.
  BOOST_TEST(resting.CountPaid() <= 40);
  BOOST_TEST(resting.paid_box_seconds < 0.6 * paid.paid_box_seconds);
  BOOST_TEST(resting.calls <= paid.calls);
  BOOST_TEST(resting.short_core_seconds <= 1.1 * paid.short_core_seconds);
}

// Guards against fleets that are nearly full, or of unknown need, and meet each
// rise without their spare boxes.
BOOST_AUTO_TEST_CASE(PoolsCoverTheNeedOnlyOnceAWindowHasShownIt) {
  IdleBoxes idle_boxes;
  base::Micros now = seconds(100);
  for (; now < seconds(119); now += milliseconds(250))
    idle_boxes.Observe(100.0, {}, now);
  BOOST_TEST(!idle_boxes.CoversNeed(1000.0, now));
  for (; now < seconds(121); now += milliseconds(250))
    idle_boxes.Observe(80.0, {}, now);
  BOOST_TEST(idle_boxes.CoversNeed(115.5, now));
  BOOST_TEST(!idle_boxes.CoversNeed(110.0, now));
}

// Guards against a new owner that switches boxes off by a short history, and
// against calls of the earlier one that are lost with their answers.
BOOST_AUTO_TEST_CASE(NextOwnerObservesAWindowBeforeBoxesRest) {
  FleetReplay replay(kPools, 60, true, true);
  replay.RunUntil(seconds(123), PeaksInTurn);
  replay.answers_are_lost = true;
  replay.RunUntil(seconds(124), PeaksInTurn);
  replay.answers_are_lost = false;
  replay.TakeOver();
  replay.RunUntil(seconds(128), Nothing);
  const int paid = replay.CountPaid();
  BOOST_TEST(paid > 24);
  BOOST_TEST(paid < 40);
  replay.RunUntil(seconds(143), Nothing);
  BOOST_TEST(replay.CountPaid() == paid);
  replay.RunUntil(seconds(152), Nothing);
  BOOST_TEST(replay.CountPaid() == 0);
  BOOST_TEST(replay.violations.empty());
}

// Guards against a box that is used by a list from before its move.
BOOST_AUTO_TEST_CASE(LateBoxListsDelayTheUseOfRestingBoxesOnly) {
  FleetReplay replay(kPools, 100, true, true);
  replay.list_lag = seconds(4);
  replay.RunUntil(seconds(220), PeaksInTurn);
  BOOST_TEST(replay.violations.empty());
  BOOST_TEST(replay.CountPaid() <= 45);
}

// Guards against boxes that stay paid for after the last demand, and against a
// pool that stays without a box when demand returns.
BOOST_AUTO_TEST_CASE(AllBoxesRestOnceDemandHasEnded) {
  FleetReplay replay(kPools, 100, true, true);
  replay.RunUntil(seconds(130), PeaksInTurn);
  replay.RunUntil(seconds(160), Nothing);
  BOOST_TEST(replay.CountPaid() == 0);
  replay.RunUntil(seconds(164), PeaksInTurn);
  BOOST_TEST(replay.CountPaid() >= 24);
  BOOST_TEST(replay.violations.empty());
}

// Guards against a box that is switched off while something uses it or is about
// to: its runs, a wave, a call, an evacuated zone, an interrupted rest.
BOOST_AUTO_TEST_CASE(OnlyBoxesWithoutAnyUseRest) {
  FleetPlanner fleet(kFleetTimings, IdleBoxPolicy::kAlwaysRest);
  FleetView view{.boxes = {},
                 .pools = {{.name = "rest", .spare = true}, {.name = "calm"}}};
  std::vector<BoxInfo> listed;
  for (const char* name : {"idle", "busy", "restarted", "evacuated", "wave",
                           "called", "unlisted"}) {
    view.boxes.push_back(IdleBox(name, "calm"));
    if (view.boxes.back().name != "unlisted")
      listed.push_back({.name = name, .pool = "calm", .cores = 16.0});
  }
  view.boxes[1].idle = false;
  view.boxes[3].in_evacuated_zone = true;
  base::Micros now = seconds(10);
  fleet.SetBoxes(listed, now, now);
  fleet.Inherit(MoveBox{.box = "called", .pool = "calm"}, now);
  view.boxes[5].available = false;
  fleet.SetWave({.number = 1, .boxes = {"wave"}, .duration = seconds(60)}, {},
                now);
  std::vector<MoveBox> moves;
  for (; now <= seconds(32); now += milliseconds(250)) {
    view.boxes[2].worker.start_ms = now / seconds(1);
    for (const MoveBox& move : Only<MoveBox>(fleet.Plan(view, now)))
      moves.push_back(move);
  }
  BOOST_REQUIRE(moves.size() == 1U);
  BOOST_TEST(moves[0].box == "idle");
  BOOST_TEST(moves[0].pool == "rest");
  BOOST_CHECK(fleet.LeavingReasonOf("idle") == LeavingReason::kResting);
  // The list that was requested before the outcome does not end the move.
  const base::Micros asked = now;
  fleet.OnMoveOutcome(moves[0], BoxCallOutcome::kDone, now + seconds(1));
  listed[0].pool = "rest";
  fleet.SetBoxes(listed, asked, now + seconds(2));
  BOOST_TEST(fleet.IsLeaving("idle"));
  fleet.SetBoxes(listed, now + seconds(2), now + seconds(2));
  BOOST_TEST(!fleet.IsLeaving("idle"));
}

// Guards against rests in fleets in which a box is a large part of the need.
BOOST_AUTO_TEST_CASE(IdleBoxesOfSmallFleetsStay) {
  for (const std::size_t count : {kMinBoxesForRest - 1, kMinBoxesForRest}) {
    FleetPlanner fleet(kFleetTimings);
    FleetView view{
        .boxes = {},
        .pools = {{.name = "rest", .spare = true}, {.name = "calm"}}};
    std::vector<BoxInfo> listed;
    for (std::size_t i = 0; i < count; ++i) {
      view.boxes.push_back(IdleBox("b" + std::to_string(i), "calm"));
      listed.push_back(
          {.name = view.boxes.back().name, .pool = "calm", .cores = 16.0});
    }
    fleet.SetBoxes(listed, seconds(10), seconds(10));
    std::size_t moves = 0;
    for (base::Micros now = seconds(10); now <= seconds(32);
         now += milliseconds(250))
      moves += Only<MoveBox>(fleet.Plan(view, now)).size();
    BOOST_TEST(moves == (count < kMinBoxesForRest ? 0U : count));
  }
}

// Guards against a change of what fleets without a spare pool do.
RC_BOOST_PROP(FleetWithoutASparePoolIsPlannedAsBefore, ()) {
  FleetPlanner with(kFleetTimings, IdleBoxPolicy::kAlwaysRest);
  FleetPlanner without(kFleetTimings, IdleBoxPolicy::kNeverRest);
  FleetView view;
  const int pools = *rc::gen::inRange(1, 4);
  for (int i = 0; i < pools; ++i)
    view.pools.push_back({.name = std::to_string(i)});
  const int boxes = *rc::gen::inRange(1, 12);
  for (int i = 0; i < boxes; ++i)
    view.boxes.push_back(
        IdleBox("b" + std::to_string(i), std::to_string(i % pools)));
  for (base::Micros now = seconds(1); now < seconds(30);
       now += milliseconds(750)) {
    for (FleetPool& pool : view.pools) {
      pool.min_boxes = *rc::gen::inRange(0, 2);
      pool.demand[0] = {.current_cores = *rc::gen::inRange(0, 90) * 1.0,
                        .expected_cores = *rc::gen::inRange(0, 90) * 1.0};
    }
    for (FleetBox& box : view.boxes)
      box.idle = *rc::gen::arbitrary<bool>();
    const auto moves = Only<MoveBox>(with.Plan(view, now));
    const auto same = Only<MoveBox>(without.Plan(view, now));
    RC_ASSERT(moves.size() == same.size());
    for (std::size_t i = 0; i < moves.size(); ++i) {
      RC_ASSERT(moves[i].box == same[i].box && moves[i].pool == same[i].pool);
      const auto outcome =
          *rc::gen::element(BoxCallOutcome::kDone, BoxCallOutcome::kUnknown,
                            BoxCallOutcome::kBusy);
      with.OnMoveOutcome(moves[i], outcome, now);
      without.OnMoveOutcome(moves[i], outcome, now);
    }
    for (const FleetBox& box : view.boxes)
      RC_ASSERT(with.IsLeaving(box.name) == without.IsLeaving(box.name));
  }
}

}  // namespace
}  // namespace quartzhoist::scheduler
