// Tests of inherited calls for boxes whose workers do not answer.

#include <string>
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

// Guards against boxes that count for another pool without a time limit, and
// against a list that is taken for the effect of a call still in flight.
BOOST_AUTO_TEST_CASE(ListResolvesInheritedCallsOfSilentBoxes) {
  FleetPlanner fleet(kFleetTimings);
  const base::Micros taken_over = seconds(10);
  FleetView view{.boxes = {}, .pools = {{.name = "calm"}, {.name = "busy"}}};
  std::vector<BoxInfo> listed;
  for (const char* name : {"stayed", "arrived", "moving", "used", "wave"}) {
    view.boxes.push_back(IdleBox(name, "calm"));
    view.boxes.back().available = false;
    listed.push_back({.name = name, .pool = "calm", .cores = 16.0});
    if (view.boxes.back().name != "wave")
      fleet.Inherit(MoveBox{.box = name, .pool = "busy"}, taken_over);
  }
  view.boxes[3].idle = false;
  listed[1].pool = "busy";
  listed[2].state = BoxState::kMoving;
  fleet.Inherit(MaintainBox{.box = "wave", .wave = 1}, taken_over);
  fleet.SetWave({.number = 1, .boxes = {"wave"}, .duration = seconds(60)}, {},
                taken_over);
  const auto plan = [&](base::Micros asked) {
    fleet.SetBoxes(listed, asked, asked + seconds(1));
    return fleet.Plan(view, asked + seconds(1));
  };
  // The earlier owner's calls may still be in flight.
  const auto early = plan(taken_over + milliseconds(1900));
  BOOST_TEST(Only<MoveBox>(early).empty());
  BOOST_TEST(Only<MaintainBox>(early).empty());
  BOOST_TEST(fleet.IsLeaving("arrived"));
  const auto actions = plan(taken_over + milliseconds(2000));
  const auto moves = Only<MoveBox>(actions);
  BOOST_REQUIRE(moves.size() == 1U);
  BOOST_TEST(moves[0].box == "stayed");
  BOOST_TEST(Only<MaintainBox>(actions).size() == 1U);
  BOOST_TEST(!fleet.IsLeaving("arrived"));
  BOOST_TEST(fleet.IsLeaving("moving"));
  BOOST_TEST(!fleet.IsLeaving("used"));
}

}  // namespace
}  // namespace quartzhoist::scheduler
