// Tests of ends and runs that workers report for jobs not read yet.

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/scheduler.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using testing::FirstTask;
using testing::Only;
using Bench = testing::SchedulerBench;

BOOST_AUTO_TEST_CASE(RunOfUnknownJobOccupiesWholeWorkerUntilItEnds) {
  Bench bench(2);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report("w", {.clock_ms = 0,
                     .running = {{.task = FirstTask("over"),
                                  .run = 3,
                                  .checkpoint = "",
                                  .percent = 40}},
                     .ended = {}});
  bench.AddJob("next");
  // The job may have just been accepted, so it is read from the store first.
  const std::vector<Action> before = bench.RunPass();
  BOOST_TEST(Only<SaveProgress>(before).empty());
  BOOST_TEST(Only<StopRun>(before).empty());
  BOOST_REQUIRE(Only<LoadJob>(before).size() == 1U);
  BOOST_TEST(Only<LoadJob>(before)[0].job == "over");
  bench.scheduler.UnknownJobIsOver("over", bench.now);
  const std::vector<Action> after = bench.RunPass();
  BOOST_TEST(Only<SaveProgress>(after).empty());
  BOOST_TEST(Only<StopRun>(after).size() == 1U);
  bench.Report("w", {.clock_ms = 0,
                     .running = {},
                     .ended = {{.sequence = 1,
                                .task = FirstTask("over"),
                                .run = 3,
                                .reason = RunEndReason::kStopped,
                                .checkpoint = ""}}});
  BOOST_TEST(Only<SaveProgress>(bench.RunPass()).size() == 1U);
}

// Guards against a start beyond a worker's capacity when the worker runs tasks
// of two unknown jobs and only the first of them has become known.
BOOST_AUTO_TEST_CASE(WorkerHasNoFreeCapacityUntilAllItsJobsAreKnown) {
  Bench bench(2);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report(
      "w", {.running = {{.task = FirstTask("first"), .run = 1, .percent = 40},
                        {.task = FirstTask("second"), .run = 1}}});
  jobs::Step large = Bench::OneTask();
  large.task_resources.cpu_millis = 2500;
  bench.AddJob("first");
  bench.AddJob("next", large);
  for (const SaveProgress& save : Only<SaveProgress>(bench.RunPass()))
    BOOST_TEST(save.job != "next");
  bench.AddJob("second");
  BOOST_TEST(bench.scheduler.FindWorker("w")->free_capacity().cpu_millis ==
             2000);
}

// A worker can report the end of a job before the job is read from the store.
// If the end were acknowledged then, the worker would discard it and the task
// would be started again.
BOOST_AUTO_TEST_CASE(EndOfUnknownJobIsUnacknowledgedUntilJobIsLoaded) {
  Bench bench(2);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  const WorkerReport report{.clock_ms = 0,
                            .running = {},
                            .ended = {{.sequence = 1,
                                       .task = FirstTask("late"),
                                       .run = 1,
                                       .reason = RunEndReason::kSucceeded,
                                       .checkpoint = ""}}};
  bench.Report("w", report);
  bench.RunPass();
  BOOST_TEST(bench.scheduler.FindWorker("w")->last_recorded_end == 0);
  bench.AddJob("late");
  const std::vector<Action> actions = bench.RunPass();
  BOOST_TEST(Only<StartRun>(actions).empty());
  BOOST_TEST(bench.scheduler.FindWorker("w")->last_recorded_end == 0);
  const auto saves = Only<SaveProgress>(actions);
  BOOST_REQUIRE(saves.size() == 1U);
  BOOST_CHECK(jobs::DecodeProgress(saves[0].text)->state ==
              jobs::JobState::kCompleted);
  bench.scheduler.ProgressSaved({.job = "late",
                                 .change = saves[0].change,
                                 .outcome = SaveOutcome::kSaved,
                                 .version = 2},
                                bench.now);
  bench.RunPass();
  BOOST_TEST(bench.scheduler.FindWorker("w")->last_recorded_end == 1);
}

BOOST_AUTO_TEST_CASE(RunOfAnUnknownJobIsAdoptedOnceTheJobIsKnown) {
  Bench bench(2);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report("w", {.clock_ms = 0,
                     .running = {{.task = FirstTask("late"),
                                  .run = 1,
                                  .checkpoint = "",
                                  .percent = 40}},
                     .ended = {}});
  bench.RunPass();
  bench.AddJob("late");
  const std::vector<Action> actions = bench.RunPass();
  BOOST_TEST(Only<StartRun>(actions).empty());
  BOOST_TEST(Only<StopRun>(actions).empty());
}

}  // namespace
}  // namespace quartzhoist::scheduler
