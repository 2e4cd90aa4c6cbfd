// Tests of maintenance waves.

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include <rapidcheck/boost_test.h>
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

RC_BOOST_PROP(WaveStaysWithinLimitAndCoversEveryBox, ()) {
  const int count = *rc::gen::inRange(1, 12);
  const int most = *rc::gen::inRange(1, 5);
  Wave wave{.number = 3,
            .boxes = {},
            .duration = seconds(60),
            .max_concurrent = most};
  std::map<std::string, FleetBox> boxes;
  for (int i = 0; i < count; ++i) {
    const std::string name = "b" + std::to_string(i);
    wave.boxes.push_back(name);
    boxes[name] = IdleBox(name, "pool");
    boxes[name].idle = *rc::gen::arbitrary<bool>();
  }
  FleetPlanner fleet(kFleetTimings);
  fleet.SetWave(wave, {}, seconds(1));
  // Faults are drawn per call, so that each of them ends eventually.
  std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
  std::map<std::string, base::Micros> down;  // end of the maintenance
  std::map<std::string, int> begun;
  bool completed = false;
  base::Micros now = seconds(1);
  for (int pass = 0; pass < 600 && !completed; ++pass) {
    now += milliseconds(250);
    for (auto it = down.begin(); it != down.end();) {
      if (it->second > now) {
        ++it;
        continue;
      }
      FleetBox& box = boxes[it->first];
      box.available = true;
      box.idle = true;
      box.worker.id += "x";
      fleet.OnBoxAnnounced(box.name, box.worker, box.pool, now);
      it = down.erase(it);
    }
    FleetView view;
    for (const auto& [name, box] : boxes)
      view.boxes.push_back(box);
    view.pools = {{.name = "pool", .spare = false, .demand = {}}};
    for (const FleetAction& step : fleet.Plan(view, now)) {
      if (const auto* maintenance = std::get_if<MaintainBox>(&step)) {
        // 0: not carried out, no answer; 1: carried out, no answer; 2 and 3:
        // not carried out, answered so; else carried out and confirmed.
        const auto kind = random() % 6;
        const bool carried_out = kind == 1 || kind > 3;
        if (carried_out && boxes[maintenance->box].available) {
          RC_ASSERT(boxes[maintenance->box].idle);
          ++begun[maintenance->box];
          boxes[maintenance->box].available = false;
          down[maintenance->box] = now + seconds(2);
          RC_ASSERT(static_cast<int>(down.size()) <= most);
        }
        const BoxCallOutcome outcome = kind <= 1   ? BoxCallOutcome::kUnknown
                                       : kind == 2 ? BoxCallOutcome::kNotSent
                                       : kind == 3 ? BoxCallOutcome::kThrottled
                                                   : BoxCallOutcome::kDone;
        fleet.OnMaintenanceOutcome(*maintenance, outcome, now);
      } else if (const auto* evacuate = std::get_if<EvacuateBox>(&step)) {
        boxes[evacuate->box].idle = random() % 2 == 0;
      } else if (const auto* report = std::get_if<ReportWave>(&step)) {
        completed = report->state == WaveState::kCompleted;
      }
    }
    if (pass % 8 == 0) {
      std::vector<BoxInfo> listed;
      for (const auto& [name, box] : boxes) {
        listed.push_back(
            {.name = name,
             .pool = "pool",
             .state = box.available ? BoxState::kUp : BoxState::kMaintenance,
             .worker = box.worker.id,
             .cores = 16.0});
      }
      fleet.SetBoxes(listed, now, now);
    }
  }
  RC_ASSERT(completed);
  for (const std::string& box : wave.boxes)
    RC_ASSERT(begun[box] >= 1);
}

// An owner that was paused may read a box list long after it was written. A
// list requested before maintenance shows the box as up, but must not count as
// evidence that the box is back; otherwise the wave exceeds its limit.
BOOST_AUTO_TEST_CASE(StaleBoxListDoesNotEndMaintenance) {
  FleetPlanner fleet(kFleetTimings);
  const FleetView view{
      .boxes = {IdleBox("b1", "pool"), IdleBox("b2", "pool")},
      .pools = {{.name = "pool", .spare = false, .demand = {}}}};
  const std::vector<BoxInfo> listed = {
      {.name = "b1", .pool = "pool", .worker = "b1-life", .cores = 16.0},
      {.name = "b2", .pool = "pool", .worker = "b2-life", .cores = 16.0}};
  base::Micros now = seconds(10);
  fleet.SetBoxes(listed, now, now);
  fleet.SetWave({.number = 1,
                 .boxes = {"b1", "b2"},
                 .duration = seconds(60),
                 .max_concurrent = 1},
                {}, now);
  const auto first = Only<MaintainBox>(fleet.Plan(view, now));
  BOOST_REQUIRE(first.size() == 1U);
  const base::Micros asked = now;
  now += milliseconds(100);
  fleet.OnMaintenanceOutcome(first[0], BoxCallOutcome::kDone, now);
  now += seconds(3);
  fleet.SetBoxes(listed, asked, now);
  BOOST_TEST(Only<MaintainBox>(fleet.Plan(view, now)).empty());
  // A list requested after the maintenance does count.
  fleet.SetBoxes(listed, now, now);
  BOOST_TEST(Only<MaintainBox>(fleet.Plan(view, now)).size() == 1U);
}

// A crashed worker that restarts while its box goes down announces a new
// instance. Taken as the end of the maintenance, this let the wave exceed its
// limit.
BOOST_AUTO_TEST_CASE(IncarnationStartedDuringShutdownDoesNotEndMaintenance) {
  FleetPlanner fleet({.move_duration = milliseconds(1500),
                      .maintenance_duration = seconds(2)});
  const Wave wave{.number = 1,
                  .boxes = {"b1", "b2"},
                  .duration = seconds(60),
                  .max_concurrent = 1};
  fleet.SetWave(wave, {}, seconds(1));
  fleet.SetBoxes(
      {{.name = "b1", .pool = "pool"}, {.name = "b2", .pool = "pool"}},
      seconds(1), seconds(1));
  FleetView view{.boxes = {IdleBox("b1", "pool"), IdleBox("b2", "pool")},
                 .pools = {{.name = "pool"}}};
  const auto first = Only<MaintainBox>(fleet.Plan(view, seconds(1)));
  BOOST_REQUIRE(first.size() == 1U);
  fleet.OnMaintenanceOutcome(first[0], BoxCallOutcome::kDone,
                             milliseconds(1020));
  fleet.OnBoxAnnounced(first[0].box, {.id = "crashed-and-back"}, "pool",
                       milliseconds(1400));
  BOOST_TEST(Only<MaintainBox>(fleet.Plan(view, milliseconds(1500))).empty());
  fleet.OnBoxAnnounced(first[0].box, {.id = "maintained"}, "pool",
                       milliseconds(3100));
  BOOST_TEST(Only<MaintainBox>(fleet.Plan(view, milliseconds(3200))).size() ==
             1U);
}

// Boxes with long-running tasks are evacuated one after the other. Unless they
// start along with the idle ones, they miss the wave's deadline.
BOOST_AUTO_TEST_CASE(BoxesWithLongRunningTasksStartWithTheIdleOnes) {
  FleetPlanner fleet(kFleetTimings);
  Wave wave{
      .number = 1, .boxes = {}, .duration = seconds(25), .max_concurrent = 16};
  FleetView view;
  view.pools = {{.name = "pool", .spare = false, .demand = {}}};
  std::vector<BoxInfo> listed;
  for (int i = 0; i < 40; ++i) {
    FleetBox box = IdleBox("b" + std::to_string(i), "pool");
    box.long_running_tasks = i < 10 ? 1 : 0;
    box.idle = box.long_running_tasks == 0;
    wave.boxes.push_back(box.name);
    listed.push_back({.name = box.name, .pool = "pool", .cores = 16.0});
    view.boxes.push_back(box);
  }
  fleet.SetWave(wave, {}, seconds(1));
  fleet.SetBoxes(listed, seconds(1), seconds(1));
  const std::vector<FleetAction> steps = fleet.Plan(view, seconds(1));
  BOOST_TEST(Only<EvacuateBox>(steps).size() == 2U);
  BOOST_TEST(Only<MaintainBox>(steps).size() == 14U);
  // No further one before these are done.
  BOOST_TEST(Only<EvacuateBox>(fleet.Plan(view, seconds(2))).size() == 2U);
}

// When two waves cover one box, its maintenance for one wave must not count for
// the other, neither while the list shows it nor shortly after.
BOOST_AUTO_TEST_CASE(MaintenanceCountsForOneWaveOnly) {
  FleetPlanner fleet(kFleetTimings);
  const auto wave = [](int number) {
    return Wave{.number = number,
                .boxes = {"b1"},
                .duration = seconds(20),
                .max_concurrent = 1};
  };
  const BoxInfo up{.name = "b1", .pool = "pool", .worker = "b1-life"};
  BoxInfo down = up;
  down.state = BoxState::kMaintenance;
  FleetView view;
  view.boxes = {IdleBox("b1", "pool")};
  view.pools = {{.name = "pool", .spare = false, .demand = {}}};
  fleet.SetWave(wave(1), {}, seconds(1));
  fleet.SetBoxes({up}, seconds(1), seconds(1));
  BOOST_TEST(Only<MaintainBox>(fleet.Plan(view, seconds(1))).size() == 1U);
  fleet.OnMaintenanceOutcome({.box = "b1", .wave = 1}, BoxCallOutcome::kDone,
                             seconds(1));
  fleet.SetWave(wave(2), {}, seconds(2));
  fleet.SetBoxes({down}, seconds(2), seconds(2));
  // The new worker instance announces itself before the list shows the box up.
  fleet.OnBoxAnnounced("b1", {.id = "b1-next-life"}, "pool", seconds(3));
  fleet.SetBoxes({down}, seconds(4), seconds(4));
  view.boxes[0].worker = {.id = "b1-next-life"};
  fleet.SetBoxes({up}, seconds(6), seconds(6));
  const std::vector<FleetAction> steps = fleet.Plan(view, seconds(6));
  for (const ReportWave& report : Only<ReportWave>(steps))
    BOOST_TEST((report.wave == 1 || report.state == WaveState::kRunning));
  const auto second = Only<MaintainBox>(steps);
  BOOST_REQUIRE(second.size() == 1);
  BOOST_TEST(second[0].wave == 2);
}

BOOST_AUTO_TEST_CASE(RemovedBoxDoesNotBlockWave) {
  FleetPlanner fleet(kFleetTimings);
  fleet.SetWave({.number = 1,
                 .boxes = {"gone"},
                 .duration = seconds(20),
                 .max_concurrent = 1},
                {}, seconds(1));
  fleet.SetBoxes({}, seconds(2), seconds(2));
  const auto reports = Only<ReportWave>(fleet.Plan({}, seconds(3)));
  BOOST_REQUIRE(reports.size() == 1);
  BOOST_CHECK(reports[0].state == WaveState::kCompleted);
}

}  // namespace
}  // namespace quartzhoist::scheduler
