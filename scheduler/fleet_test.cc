// The fleet's plan: allotments, moves and waves.

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "scheduler/fleet.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr FleetLimits kLimits{.move_time = milliseconds(1500),
                              .upkeep_time = milliseconds(2000)};

FleetBox IdleBox(const std::string& name, const std::string& pool) {
  return {.name = name,
          .pool = pool,
          .worker = {.id = name + "-life"},
          .up = true,
          .idle = true,
          .lasting = 0,
          .cores = 16.0,
          .busy_cores = 0.0};
}

template <typename Step>
std::vector<Step> Only(const std::vector<FleetStep>& steps) {
  std::vector<Step> found;
  for (const FleetStep& step : steps) {
    if (const auto* one = std::get_if<Step>(&step))
      found.push_back(*one);
  }
  return found;
}

RC_BOOST_PROP(AllotmentsFitAndUrgentWorkComesFirst, ()) {
  std::vector<FleetPool> pools;
  const int count = *rc::gen::inRange(1, 6);
  double urgent = 0.0;
  for (int i = 0; i < count; ++i) {
    FleetPool pool{.name = std::to_string(i), .spare = false, .needs = {}};
    pool.needs[0] = {.now_cores = *rc::gen::inRange(0, 300) * 1.0,
                     .soon_cores = *rc::gen::inRange(0, 300) * 1.0};
    pool.needs[1] = {.now_cores = *rc::gen::inRange(0, 300) * 1.0,
                     .soon_cores = *rc::gen::inRange(0, 300) * 1.0};
    urgent += pool.needs[0].now_cores;
    pools.push_back(pool);
  }
  const double total = *rc::gen::inRange(0, 1500);
  const auto allotted = AllotCores(pools, total, 16.0);
  double sum = 0.0;
  for (const FleetPool& pool : pools) {
    sum += allotted.at(pool.name);
    // All urgent work that is there is covered wherever it can be.
    if (urgent <= total)
      RC_ASSERT(allotted.at(pool.name) >= pool.needs.at(0).now_cores - 1e-6);
  }
  RC_ASSERT(sum <= total + 1e-6);
}

BOOST_AUTO_TEST_CASE(IdleBoxGoesToThePoolThatIsShort) {
  Fleet fleet(kLimits);
  FleetView view;
  view.boxes = {IdleBox("b1", "calm"), IdleBox("b2", "calm"),
                IdleBox("b3", "busy")};
  view.pools = {{.name = "calm", .spare = false, .needs = {}},
                {.name = "busy", .spare = false, .needs = {}}};
  view.pools[1].needs[0].now_cores = 20.0;
  const auto moves = Only<MoveBox>(fleet.Plan(view, seconds(1)));
  BOOST_REQUIRE(moves.size() == 1);
  BOOST_TEST(moves[0].pool == "busy");
  BOOST_TEST(fleet.IsLeaving(moves[0].box));
  // While it is on its way it counts for the pool it goes to.
  BOOST_TEST(Only<MoveBox>(fleet.Plan(view, seconds(2))).empty());
}

// Overload elsewhere does not leave lasting tasks without a box.
BOOST_AUTO_TEST_CASE(PoolOfLastingTasksGetsItsBoxThoughAllAreShort) {
  Fleet fleet(kLimits);
  FleetView view;
  view.boxes = {IdleBox("b1", "busy"), IdleBox("b2", "busy")};
  view.boxes[1].idle = false;
  view.pools = {{.name = "busy", .spare = false, .needs = {}},
                {.name = "lasts", .spare = false, .needs = {}}};
  view.pools[0].needs[0].now_cores = 500.0;
  view.pools[1].needs[0].now_cores = 1.0;
  view.pools[1].least_boxes = 1;
  const auto moves = Only<MoveBox>(fleet.Plan(view, seconds(1)));
  BOOST_REQUIRE(moves.size() == 1);
  BOOST_TEST(moves[0].box == "b1");
  BOOST_TEST(moves[0].pool == "lasts");
}

BOOST_AUTO_TEST_CASE(MoveWithoutAnAnswerIsAskedForAgain) {
  Fleet fleet(kLimits);
  FleetView view;
  view.boxes = {IdleBox("b1", "calm")};
  view.pools = {{.name = "calm", .spare = false, .needs = {}},
                {.name = "busy", .spare = false, .needs = {}}};
  view.pools[1].needs[0].now_cores = 10.0;
  const auto first = Only<MoveBox>(fleet.Plan(view, seconds(1)));
  BOOST_REQUIRE(first.size() == 1);
  fleet.Moved(first[0], BoxCallOutcome::kUnknown, seconds(2));
  BOOST_TEST(fleet.IsLeaving("b1"));
  const auto again = Only<MoveBox>(fleet.Plan(view, seconds(3)));
  BOOST_REQUIRE(again.size() == 1);
  BOOST_TEST(again[0].pool == "busy");
}

BOOST_AUTO_TEST_CASE(BusyBoxOfALessUrgentPoolRunsEmpty) {
  Fleet fleet(kLimits);
  FleetView view;
  view.boxes = {IdleBox("b1", "patient"), IdleBox("b2", "patient")};
  for (FleetBox& box : view.boxes) {
    box.idle = false;
    box.busy_cores = 10.0;
  }
  view.boxes[1].lasting = 1;  // pinned: it stays
  view.pools = {{.name = "patient", .spare = false, .needs = {}},
                {.name = "urgent", .spare = false, .needs = {}}};
  view.pools[0].needs[1].now_cores = 100.0;
  view.pools[1].needs[0].now_cores = 14.0;
  BOOST_TEST(Only<MoveBox>(fleet.Plan(view, seconds(1))).empty());
  BOOST_TEST(fleet.IsLeaving("b1"));
  BOOST_TEST(!fleet.IsLeaving("b2"));
}

RC_BOOST_PROP(WaveKeepsToItsLimitAndForgetsNoBox, ()) {
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
  Fleet fleet(kLimits);
  fleet.SetWave(wave, {}, seconds(1));
  // Drawn as the days go by, so that every fault ends some time.
  std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
  std::map<std::string, base::Micros> down;  // until when
  std::map<std::string, int> begun;
  bool completed = false;
  base::Micros now = seconds(1);
  for (int turn = 0; turn < 600 && !completed; ++turn) {
    now += milliseconds(250);
    for (auto it = down.begin(); it != down.end();) {
      if (it->second > now) {
        ++it;
        continue;
      }
      FleetBox& box = boxes[it->first];
      box.up = true;
      box.idle = true;
      box.worker.id += "x";
      fleet.BoxSeen(box.name, box.worker, box.pool, now);
      it = down.erase(it);
    }
    FleetView view;
    for (const auto& [name, box] : boxes)
      view.boxes.push_back(box);
    view.pools = {{.name = "pool", .spare = false, .needs = {}}};
    for (const FleetStep& step : fleet.Plan(view, now)) {
      if (const auto* upkeep = std::get_if<MaintainBox>(&step)) {
        // 0: not carried out, no answer; 1: carried out, no answer; 2 and 3:
        // refused; else as asked.
        const auto kind = random() % 6;
        const bool carried_out = kind == 1 || kind > 3;
        if (carried_out && boxes[upkeep->box].up) {
          RC_ASSERT(boxes[upkeep->box].idle);
          ++begun[upkeep->box];
          boxes[upkeep->box].up = false;
          down[upkeep->box] = now + seconds(2);
          RC_ASSERT(static_cast<int>(down.size()) <= most);
        }
        const BoxCallOutcome outcome = kind <= 1   ? BoxCallOutcome::kUnknown
                                       : kind == 2 ? BoxCallOutcome::kNotSent
                                       : kind == 3 ? BoxCallOutcome::kThrottled
                                                   : BoxCallOutcome::kDone;
        fleet.UpkeepBegun(*upkeep, outcome, now);
      } else if (const auto* evacuate = std::get_if<Evacuate>(&step)) {
        boxes[evacuate->box].idle = random() % 2 == 0;
      } else if (const auto* report = std::get_if<ReportWave>(&step)) {
        completed = report->state == WaveState::kCompleted;
      }
    }
    if (turn % 8 == 0) {
      std::vector<BoxInfo> listed;
      for (const auto& [name, box] : boxes) {
        listed.push_back(
            {.name = name,
             .pool = "pool",
             .state = box.up ? BoxState::kUp : BoxState::kMaintenance,
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

// An owner that stands still reads an answer long after it was written: a list
// of boxes that was asked for before an upkeep began shows its box as up, which
// brings it back for nobody.
BOOST_AUTO_TEST_CASE(ListFromBeforeAnUpkeepDoesNotBringTheBoxBack) {
  Fleet fleet(kLimits);
  const FleetView view{
      .boxes = {IdleBox("b1", "pool"), IdleBox("b2", "pool")},
      .pools = {{.name = "pool", .spare = false, .needs = {}}}};
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
  fleet.UpkeepBegun(first[0], BoxCallOutcome::kDone, now);
  now += seconds(3);
  fleet.SetBoxes(listed, asked, now);
  BOOST_TEST(Only<MaintainBox>(fleet.Plan(view, now)).empty());
  // One that is asked for now does.
  fleet.SetBoxes(listed, now, now);
  BOOST_TEST(Only<MaintainBox>(fleet.Plan(view, now)).size() == 1U);
}

// An earlier owner's call for a box may be on its way: the box counts as away
// from the beginning, and once it has been heard and is empty the call is made
// anew, so that the earlier one comes too late.
BOOST_AUTO_TEST_CASE(InheritedUpkeepCountsUntilItIsMadeAnew) {
  Fleet fleet(kLimits);
  FleetView view{.boxes = {IdleBox("b1", "pool"), IdleBox("b2", "pool")},
                 .pools = {{.name = "pool", .spare = false, .needs = {}}}};
  const base::Micros now = seconds(10);
  fleet.Inherit(MaintainBox{.box = "b1", .wave = 1, .life = {.id = "b1-life"}},
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
  view.boxes[0].up = false;  // not heard yet
  BOOST_TEST(Only<MaintainBox>(fleet.Plan(view, now)).empty());
  view.boxes[0].up = true;
  const auto made =
      Only<MaintainBox>(fleet.Plan(view, now + milliseconds(250)));
  BOOST_REQUIRE(made.size() == 1U);
  BOOST_TEST(made[0].box == "b1");
  BOOST_TEST(made[0].life.id == "b1-life");
}

// Something runs on the box: the earlier owner had given the call up, or it was
// carried out long ago. Nothing there is ended for it.
BOOST_AUTO_TEST_CASE(InheritedCallEndsNothingThatRuns) {
  Fleet fleet(kLimits);
  FleetView view{.boxes = {IdleBox("b1", "pool"), IdleBox("b2", "pool")},
                 .pools = {{.name = "pool", .spare = false, .needs = {}}}};
  const base::Micros now = seconds(10);
  for (FleetBox& box : view.boxes) {
    box.idle = false;
    box.lasting = 1;
  }
  fleet.Inherit(MaintainBox{.box = "b1", .wave = 1, .life = {.id = "b1-life"}},
                now);
  fleet.Inherit(
      MoveBox{.box = "b2", .pool = "other", .life = {.id = "b2-life"}}, now);
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
  BOOST_TEST(Only<Evacuate>(steps).size() == 1U);
  BOOST_TEST(!fleet.HasOpenCall("b1"));
  BOOST_TEST(!fleet.HasOpenCall("b2"));
}

// Guards against one upkeep more than may be at once, when a worker that had
// crashed starts again on a box that is being taken.
BOOST_AUTO_TEST_CASE(LifeThatStartsWhileItsBoxIsTakenIsNotBackFromTheUpkeep) {
  Fleet fleet({.move_time = milliseconds(1500), .upkeep_time = seconds(2)});
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
  fleet.UpkeepBegun(first[0], BoxCallOutcome::kDone, milliseconds(1020));
  fleet.BoxSeen(first[0].box, {.id = "crashed-and-back"}, "pool",
                milliseconds(1400));
  BOOST_TEST(Only<MaintainBox>(fleet.Plan(view, milliseconds(1500))).empty());
  fleet.BoxSeen(first[0].box, {.id = "maintained"}, "pool", milliseconds(3100));
  BOOST_TEST(Only<MaintainBox>(fleet.Plan(view, milliseconds(3200))).size() ==
             1U);
}

// A move without an answer had been carried out: its box is back in the new
// pool when the repeated call says so, and serves at once.
BOOST_AUTO_TEST_CASE(BoxThatIsBackServesOnceItsMoveIsAnswered) {
  Fleet fleet(kLimits);
  const base::Micros now = seconds(10);
  fleet.Inherit(
      MoveBox{.box = "b1", .pool = "other", .life = {.id = "b1-life"}}, now);
  fleet.BoxSeen("b1", {.id = "b1-next"}, "other", now);
  BOOST_TEST(fleet.IsLeaving("b1"));
  FleetBox box = IdleBox("b1", "other");
  box.worker = {.id = "b1-next"};
  const FleetView view{.boxes = {box}, .pools = {{.name = "other"}}};
  const auto made = Only<MoveBox>(fleet.Plan(view, now));
  BOOST_REQUIRE(made.size() == 1U);
  fleet.Moved(made[0], BoxCallOutcome::kDone, now + milliseconds(20));
  BOOST_TEST(!fleet.IsLeaving("b1"));
}

// Many idle boxes and a few with lasting tasks, which leave one after the
// other: the latter begin with the first, or they are what is late in the end.
BOOST_AUTO_TEST_CASE(BoxesOfLastingTasksBeginWithTheFirst) {
  Fleet fleet(kLimits);
  Wave wave{
      .number = 1, .boxes = {}, .duration = seconds(25), .max_concurrent = 16};
  FleetView view;
  view.pools = {{.name = "pool", .spare = false, .needs = {}}};
  std::vector<BoxInfo> listed;
  for (int i = 0; i < 40; ++i) {
    FleetBox box = IdleBox("b" + std::to_string(i), "pool");
    box.lasting = i < 10 ? 1 : 0;
    box.idle = box.lasting == 0;
    wave.boxes.push_back(box.name);
    listed.push_back({.name = box.name, .pool = "pool", .cores = 16.0});
    view.boxes.push_back(box);
  }
  fleet.SetWave(wave, {}, seconds(1));
  fleet.SetBoxes(listed, seconds(1), seconds(1));
  const std::vector<FleetStep> steps = fleet.Plan(view, seconds(1));
  BOOST_TEST(Only<Evacuate>(steps).size() == 2U);
  BOOST_TEST(Only<MaintainBox>(steps).size() == 14U);
  // No further one before they are through.
  BOOST_TEST(Only<Evacuate>(fleet.Plan(view, seconds(2))).size() == 2U);
}

BOOST_AUTO_TEST_CASE(LaterOwnerDoesNotBeginAnUpkeepAgain) {
  Fleet fleet(kLimits);
  fleet.SetWave({.number = 1,
                 .boxes = {"b1", "b2"},
                 .duration = seconds(20),
                 .max_concurrent = 1},
                {"b1"}, seconds(1));
  FleetView view;
  view.boxes = {IdleBox("b1", "pool"), IdleBox("b2", "pool")};
  view.pools = {{.name = "pool", .spare = false, .needs = {}}};
  // b1 may still be down: nothing else begins before the list shows it up.
  BOOST_TEST(Only<MaintainBox>(fleet.Plan(view, seconds(2))).empty());
  fleet.SetBoxes({{.name = "b1", .pool = "pool", .worker = "b1-life"},
                  {.name = "b2", .pool = "pool", .worker = "b2-life"}},
                 seconds(4), seconds(4));
  const auto begun = Only<MaintainBox>(fleet.Plan(view, seconds(4)));
  BOOST_REQUIRE(begun.size() == 1);
  BOOST_TEST(begun[0].box == "b2");
}

BOOST_AUTO_TEST_CASE(UpkeepThatAnEarlierOwnerBeganCounts) {
  Fleet fleet(kLimits);
  fleet.SetWave({.number = 1,
                 .boxes = {"b1", "b2"},
                 .duration = seconds(20),
                 .max_concurrent = 1},
                {}, seconds(1));
  FleetView view;
  view.boxes = {IdleBox("b2", "pool")};
  view.pools = {{.name = "pool", .spare = false, .needs = {}}};
  // Nothing is begun before the list has been read.
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

// Two waves cover one box: its upkeep for the one, as the list shows it, then
// and for a while after, is not its upkeep for the other.
BOOST_AUTO_TEST_CASE(UpkeepForOneWaveIsNoneForAnother) {
  Fleet fleet(kLimits);
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
  view.pools = {{.name = "pool", .spare = false, .needs = {}}};
  fleet.SetWave(wave(1), {}, seconds(1));
  fleet.SetBoxes({up}, seconds(1), seconds(1));
  BOOST_TEST(Only<MaintainBox>(fleet.Plan(view, seconds(1))).size() == 1U);
  fleet.UpkeepBegun({.box = "b1", .wave = 1}, BoxCallOutcome::kDone,
                    seconds(1));
  fleet.SetWave(wave(2), {}, seconds(2));
  fleet.SetBoxes({down}, seconds(2), seconds(2));
  // Its new life is there before the list shows it.
  fleet.BoxSeen("b1", {.id = "b1-next-life"}, "pool", seconds(3));
  fleet.SetBoxes({down}, seconds(4), seconds(4));
  view.boxes[0].worker = {.id = "b1-next-life"};
  fleet.SetBoxes({up}, seconds(6), seconds(6));
  const std::vector<FleetStep> steps = fleet.Plan(view, seconds(6));
  for (const ReportWave& report : Only<ReportWave>(steps))
    BOOST_TEST((report.wave == 1 || report.state == WaveState::kRunning));
  const auto second = Only<MaintainBox>(steps);
  BOOST_REQUIRE(second.size() == 1);
  BOOST_TEST(second[0].wave == 2);
}

// It may be used again before the box service has listed it.
BOOST_AUTO_TEST_CASE(BoxThatAnswersIsBackFromAnEarlierOwnersUpkeep) {
  Fleet fleet(kLimits);
  const Wave wave{.number = 1,
                  .boxes = {"b1", "b2"},
                  .duration = seconds(20),
                  .max_concurrent = 2};
  fleet.SetWave(wave, {"b1", "b2"}, seconds(10));
  BOOST_TEST(fleet.IsLeaving("b1"));
  fleet.BoxAnswered("b1");
  BOOST_TEST(!fleet.IsLeaving("b1"));
  BOOST_TEST(fleet.IsLeaving("b2"));
}

BOOST_AUTO_TEST_CASE(BoxThatHasBeenTakenAwayIsNotWaitedFor) {
  Fleet fleet(kLimits);
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
