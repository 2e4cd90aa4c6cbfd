// Tests of the operators' view of tasks that wait long.

#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/scheduler.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::seconds;

using testing::FirstTask;
using testing::Only;
using Bench = testing::SchedulerBench;

BOOST_AUTO_TEST_CASE(ReadyTaskThatFitsNowhereIsShownWithItsReason) {
  Bench bench(1);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report("w", {});
  jobs::Step step = Bench::OneTask();
  step.task_resources.memory_mb = 5000;
  bench.AddJob("job", step);
  bench.RunPass();
  BOOST_TEST(bench.scheduler.LongestWaits(4, bench.now).empty());
  bench.now += seconds(4);
  bench.RunPass();
  const auto waits = bench.scheduler.LongestWaits(4, bench.now);
  BOOST_REQUIRE(waits.size() == 1U);
  BOOST_TEST((waits[0].task == FirstTask("job")));
  BOOST_TEST((waits[0].state == TaskState::kReady));
  BOOST_TEST(waits[0].is_queued);
  BOOST_TEST((waits[0].reason == WaitReason::kNoSuitableWorker));
  BOOST_TEST((waits[0].waited > seconds(4)));
}

BOOST_AUTO_TEST_CASE(PlacedTaskIsShownUntilItsStartIsAnswered) {
  Bench bench(1);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report("w", {});
  bench.AddJob("job");
  const StartRun start = bench.NextStart();
  bench.now += seconds(4);
  const auto waits = bench.scheduler.LongestWaits(4, bench.now);
  BOOST_REQUIRE(waits.size() == 1U);
  BOOST_TEST((waits[0].state == TaskState::kPlaced));
  BOOST_TEST(!waits[0].is_queued);
  BOOST_TEST(waits[0].worker.id == "w");
  BOOST_TEST(waits[0].run == start.run);
  BOOST_TEST((waits[0].run_state == RunState::kStarting));
  bench.scheduler.StartAnswered(start, CommandOutcome::kDone, bench.now);
  BOOST_TEST(bench.scheduler.LongestWaits(4, bench.now).empty());
}

BOOST_AUTO_TEST_CASE(OnlyTheLongestWaitsAreShown) {
  Bench bench(1);
  for (const char* id : {"third", "second", "first"}) {
    bench.AddJob(id);
    bench.now -= seconds(1);
  }
  bench.now += seconds(10);
  const auto waits = bench.scheduler.LongestWaits(2, bench.now);
  BOOST_REQUIRE(waits.size() == 2U);
  BOOST_TEST(waits[0].task.job == "first");
  BOOST_TEST(waits[1].task.job == "second");
}

// Guards against an operator who adds boxes for a task that waits for the end
// of an evacuation.
BOOST_AUTO_TEST_CASE(ExplanationNamesTheEvacuationAndTheTasksAhead) {
  Bench bench(1);
  WorkerInfo info = Bench::Worker("w");
  info.zone = "z";
  bench.scheduler.UpdateWorker(info, bench.now);
  bench.Report("w", {});
  bench.scheduler.SetEvacuatedZones({"z"});
  jobs::Step step = Bench::OneTask();
  step.tasks = 3;
  bench.AddJob("first", step);
  bench.now += seconds(1);
  bench.AddJob("second");
  bench.RunPass();
  const auto explained = bench.scheduler.ExplainJob("second", 4, bench.now);
  BOOST_REQUIRE((explained && explained->tasks.size() == 1U));
  BOOST_TEST(explained->tasks[0].waits_for == kWaitsForEvacuation);
  BOOST_TEST(explained->tasks[0].ahead.value_or(-1) == 3);
}

BOOST_AUTO_TEST_CASE(ExplanationNamesTheStoreUntilThePlacementIsSaved) {
  Bench bench(1);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report("w", {});
  bench.AddJob("job");
  const auto task = [&bench] {
    return bench.scheduler.ExplainJob("job", 4, bench.now).value().tasks.at(0);
  };
  const auto saves = Only<SaveProgress>(bench.RunPass());
  BOOST_TEST((task().state == TaskState::kPlaced));
  BOOST_TEST(task().waits_for == kWaitsForStore);
  bench.Save(saves);
  BOOST_TEST(task().waits_for.empty());
  BOOST_TEST(!task().is_at_work);
}

}  // namespace
}  // namespace quartzhoist::scheduler
