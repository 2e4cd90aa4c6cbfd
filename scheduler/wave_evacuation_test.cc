// Tests of the evacuation of boxes for maintenance waves.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/fleet.h"
#include "testing/fleet_bench.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using testing::IdleBox;
using testing::kFleetTimings;

// A wave of boxes that all hold long-running tasks. Evacuations of some of them
// are blocked; the others are empty after a while.
class PinnedWave {
 public:
  PinnedWave(int boxes, int max_concurrent) {
    Wave wave{.number = 1,
              .boxes = {},
              .duration = seconds(60),
              .max_concurrent = max_concurrent};
    std::vector<BoxInfo> listed;
    this->view.pools = {{.name = "pool"}};
    for (int i = 0; i < boxes; ++i) {
      FleetBox box = IdleBox("b" + std::to_string(i), "pool");
      box.idle = false;
      box.long_running_tasks = 1;
      box.busy_cores = i;  // the order of their selection
      wave.boxes.push_back(box.name);
      listed.push_back({.name = box.name, .pool = "pool", .cores = 16.0});
      this->view.boxes.push_back(box);
    }
    this->fleet.SetWave(wave, {}, this->now);
    this->fleet.SetBoxes(listed, this->now, this->now);
  }

  // Plans every 250 ms until `end`. Boxes are back from maintenance at once.
  void RunUntil(base::Micros end) {
    for (; this->now < end; this->now += milliseconds(250)) {
      for (const FleetAction& action : this->fleet.Plan(this->view, this->now))
        std::visit([this](const auto& one) { this->Handle(one); }, action);
    }
  }

  int CountLeaving() const {
    return static_cast<int>(
        std::count_if(this->view.boxes.begin(), this->view.boxes.end(),
                      [this](const FleetBox& box) {
                        return this->fleet.IsLeaving(box.name);
                      }));
  }

  FleetPlanner fleet{kFleetTimings};
  FleetView view;
  base::Micros now = seconds(10);
  std::set<std::string> blocked;
  base::Micros needed{};  // time in which the others are emptied
  // Times of the plans that evacuated a box.
  std::map<std::string, std::vector<base::Micros>> evacuated;
  std::map<std::string, base::Micros> maintained;
  bool is_completed = false;

 private:
  void Handle(const EvacuateBox& action) {
    std::vector<base::Micros>& times = this->evacuated[action.box];
    times.push_back(this->now);
    if (this->blocked.contains(action.box)) {
      this->fleet.OnEvacuationStep(action.box, EvacuationStep::kBlocked,
                                   this->now);
      return;
    }
    this->fleet.OnEvacuationStep(action.box, EvacuationStep::kWaits, this->now);
    if (this->now < times.front() + this->needed)
      return;
    for (FleetBox& box : this->view.boxes) {
      if (box.name != action.box)
        continue;
      box.idle = true;
      box.long_running_tasks = 0;
    }
  }
  void Handle(const MaintainBox& call) {
    this->maintained[call.box] = this->now;
    this->fleet.OnMaintenanceOutcome(call, BoxCallOutcome::kDone, this->now);
    this->fleet.OnBoxAnnounced(call.box, {.id = call.box + "-next"}, "pool",
                               this->now + kFleetTimings.maintenance_duration);
  }
  void Handle(const ReportWave& report) {
    this->is_completed = report.state == WaveState::kCompleted;
  }
  void Handle(const MoveBox&) {}
};

// Guards against a wave whose slots are all taken by boxes that cannot be
// emptied, so that it ends late with none of the others maintained.
BOOST_AUTO_TEST_CASE(BoxThatCannotBeEvacuatedGivesItsSlotBack) {
  PinnedWave wave(8, 2);
  wave.blocked = {"b0", "b1", "b2", "b3"};
  wave.RunUntil(seconds(15));
  BOOST_TEST(wave.maintained.size() == 4U);
  for (const std::string& box : wave.blocked) {
    BOOST_TEST_CONTEXT(box) {
      // Released after a second, and not selected again within some seconds.
      const std::vector<base::Micros>& times = wave.evacuated[box];
      BOOST_REQUIRE(!times.empty());
      const auto later = std::upper_bound(times.begin(), times.end(),
                                          times.front() + seconds(1));
      BOOST_TEST(
          (later == times.end() || *later >= times.front() + seconds(5)));
    }
  }
  BOOST_TEST(wave.CountLeaving() <= 2);
}

// Guards against boxes that wait behind released ones for ever. All of them are
// blocked, and trying each for 1 s takes longer than the time after which a
// released box is selected again. One after the other can then be emptied.
BOOST_AUTO_TEST_CASE(ReleasedBoxesAreTriedInTurn) {
  PinnedWave wave(20, 2);
  for (const FleetBox& box : wave.view.boxes)
    wave.blocked.insert(box.name);
  wave.RunUntil(seconds(22));
  for (const FleetBox& box : wave.view.boxes)
    BOOST_TEST(wave.evacuated.contains(box.name));
  for (const char* box : {"b0", "b9", "b19"}) {
    wave.blocked.erase(box);
    wave.RunUntil(wave.now + seconds(12));
    BOOST_TEST(wave.maintained.contains(box));
  }
  wave.blocked.clear();
  wave.RunUntil(wave.now + seconds(12));
  BOOST_TEST(wave.is_completed);
}

// Guards against a slot that is given back while tasks are moved one after the
// other: each of them has to serve elsewhere before the next is stopped.
BOOST_AUTO_TEST_CASE(BoxWhoseTasksMoveOneByOneKeepsItsSlot) {
  PinnedWave wave(2, 1);
  wave.needed = seconds(4);
  wave.RunUntil(seconds(15));
  BOOST_TEST(wave.maintained.contains("b0"));
  BOOST_REQUIRE(wave.evacuated.contains("b1"));
  BOOST_TEST((wave.evacuated["b1"].front() >= wave.maintained["b0"]));
}

// Guards against a box that is released though no other one needs its slot, and
// against work that it takes too early or too late in the wave.
BOOST_AUTO_TEST_CASE(StalledBoxTakesWorkUntilTheWavesEndIsNear) {
  PinnedWave wave(1, 1);
  wave.blocked = {"b0"};
  wave.RunUntil(wave.now + seconds(1));
  BOOST_TEST(!wave.fleet.MayTakeWorkInWave("b0", wave.now - milliseconds(250)));
  wave.RunUntil(wave.now + seconds(2));
  BOOST_TEST(wave.fleet.IsEvacuating("b0"));
  BOOST_TEST(wave.fleet.MayTakeWorkInWave("b0", wave.now));
  // The wave began at 10 s and takes 60 s.
  BOOST_TEST(wave.fleet.MayTakeWorkInWave("b0", seconds(62)));
  BOOST_TEST(!wave.fleet.MayTakeWorkInWave("b0", seconds(63)));
  wave.fleet.OnEvacuationStep("b0", EvacuationStep::kProceeds, wave.now);
  BOOST_TEST(!wave.fleet.MayTakeWorkInWave("b0", wave.now));
}

}  // namespace
}  // namespace quartzhoist::scheduler
