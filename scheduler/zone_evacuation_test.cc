// Tests of evacuated zones: nothing is started there, and boxes there neither
// count nor move.

#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/fleet.h"
#include "scheduler/scheduler.h"
#include "testing/fleet_bench.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using Bench = testing::SchedulerBench;

using testing::IdleBox;
using testing::kFleetTimings;
using testing::Only;

// A placement that is saved after the evacuation, or a start that still waits
// for its turn, is given up and placed in another zone.
BOOST_AUTO_TEST_CASE(PlannedRunsInEvacuatedZoneArePlacedElsewhere) {
  Bench bench(1);
  WorkerInfo west = Bench::Worker("west");
  west.zone = "west";
  bench.scheduler.UpdateWorker(west, bench.now);
  bench.Report("west", {});
  bench.AddJob("job");
  const StartRun start = bench.NextStart();
  BOOST_REQUIRE(start.worker.id == "west");
  BOOST_TEST(bench.scheduler.IsStartStillValid(start, bench.now));
  bench.AddJob("next");
  const auto saves = Only<SaveProgress>(bench.RunPass());
  BOOST_REQUIRE(!saves.empty());
  bench.scheduler.UpdateWorker(Bench::Worker("east"), bench.now);
  bench.Report("east", {});
  bench.scheduler.SetEvacuatedZones({"west"});
  BOOST_TEST(!bench.scheduler.IsStartStillValid(start, bench.now));
  bench.scheduler.StartAnswered(start, CommandOutcome::kObsolete, bench.now);
  bench.Save(saves);
  std::map<std::string, std::string> worker_by_job;
  for (int i = 0; i < 8; ++i) {
    const std::vector<Action> actions = bench.RunPass();
    for (const StartRun& next : Only<StartRun>(actions))
      worker_by_job[next.task.job] = next.worker.id;
    bench.Save(Only<SaveProgress>(actions));
  }
  BOOST_TEST(worker_by_job["job"] == "east");
  BOOST_TEST(worker_by_job["next"] == "east");
}

// A box in an evacuated zone can take no task, so its cores must neither
// satisfy a pool's demand nor be moved to meet it.
BOOST_AUTO_TEST_CASE(BoxesInEvacuatedZoneAddNoCapacityAndStay) {
  FleetPlanner fleet(kFleetTimings);
  FleetView view;
  view.boxes = {IdleBox("calm-west", "calm"), IdleBox("calm-east", "calm"),
                IdleBox("busy-west", "busy")};
  view.boxes[0].in_evacuated_zone = true;
  view.boxes[2].in_evacuated_zone = true;
  view.pools = {{.name = "calm", .spare = false, .demand = {}},
                {.name = "busy", .spare = false, .demand = {}}};
  view.pools[1].demand[0].current_cores = 10.0;
  const auto moves = Only<MoveBox>(fleet.Plan(view, seconds(1)));
  BOOST_REQUIRE(moves.size() == 1);
  BOOST_TEST(moves[0].box == "calm-east");
}

// The platform's list names the zone of a spare box, which runs no worker.
BOOST_AUTO_TEST_CASE(SpareBoxesInEvacuatedZoneStay) {
  FleetPlanner fleet(kFleetTimings);
  fleet.SetEvacuatedZones({"west"});
  fleet.SetBoxes({{.name = "s1",
                   .pool = "rest",
                   .state = BoxState::kUp,
                   .zone = "west",
                   .worker = "",
                   .cores = 16.0}},
                 seconds(1), seconds(1));
  FleetView view;
  view.boxes = {IdleBox("b1", "busy")};
  view.pools = {{.name = "rest", .spare = true, .demand = {}},
                {.name = "busy", .spare = false, .demand = {}}};
  view.pools[1].demand[0].current_cores = 100.0;
  BOOST_TEST(Only<MoveBox>(fleet.Plan(view, seconds(1))).empty());
  fleet.SetEvacuatedZones({});
  BOOST_TEST(Only<MoveBox>(fleet.Plan(view, seconds(2))).size() == 1);
}

}  // namespace
}  // namespace quartzhoist::scheduler
