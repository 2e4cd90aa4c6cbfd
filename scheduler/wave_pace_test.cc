// Tests of the pace of maintenance waves.

#include <algorithm>
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

constexpr int kPinnedBoxes = 10;  // the first ones of the wave
constexpr int kBoxes = 40;

// Guards against a late wave that empties several boxes with long-running tasks
// at once: they take no other work meanwhile, and their pool is short of them
// for as long as the tasks find no other place.
BOOST_AUTO_TEST_CASE(WaveThatIsBehindKeepsToItsSlotsForLongRunningTasks) {
  FleetPlanner fleet(kFleetTimings);
  Wave wave{
      .number = 1, .boxes = {}, .duration = seconds(14), .max_concurrent = 8};
  FleetView view;
  view.pools = {{.name = "pool", .spare = false, .demand = {}}};
  std::vector<BoxInfo> listed;
  for (int i = 0; i < kBoxes; ++i) {
    FleetBox box = IdleBox("b" + std::to_string(i), "pool");
    box.long_running_tasks = i < kPinnedBoxes ? 1 : 0;
    box.idle = i >= kPinnedBoxes;
    wave.boxes.push_back(box.name);
    listed.push_back({.name = box.name, .pool = "pool", .cores = 16.0});
    view.boxes.push_back(box);
  }
  fleet.SetWave(wave, {}, seconds(1));
  fleet.SetBoxes(listed, seconds(1), seconds(1));
  const auto first = Only<MaintainBox>(fleet.Plan(view, seconds(1)));
  BOOST_REQUIRE(first.size() == 7U);
  for (const MaintainBox& call : first)
    fleet.OnMaintenanceOutcome(call, BoxCallOutcome::kDone, seconds(1));
  for (const MaintainBox& call : first)
    fleet.OnBoxAnnounced(call.box, {.id = call.box + "-next"}, "pool",
                         milliseconds(3900));
  // 7 of 40 boxes are done after 3 of 14 s.
  const std::vector<FleetAction> steps = fleet.Plan(view, seconds(4));
  BOOST_TEST(Only<EvacuateBox>(steps).size() == 1U);
  BOOST_TEST(Only<MaintainBox>(steps).size() == 7U);
}

}  // namespace
}  // namespace quartzhoist::scheduler
