// Ends and runs of jobs that the scheduler does not know yet.

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

BOOST_AUTO_TEST_CASE(RunOfAnUnknownJobTakesTheWholeRoomUntilItHasEnded) {
  Bench bench(2);
  bench.scheduler.PutWorker(Bench::Worker("w"), bench.now);
  bench.List("w", {.clock_ms = 0,
                   .running = {{.task = FirstTask("over"),
                                .run = 3,
                                .checkpoint = "",
                                .percent = 40}},
                   .ended = {}});
  bench.AddJob("next");
  // It may be a job that has just been handed in: it is asked for first.
  const std::vector<Action> before = bench.Turn();
  BOOST_TEST(Only<SaveProgress>(before).empty());
  BOOST_TEST(Only<StopRun>(before).empty());
  BOOST_REQUIRE(Only<ReadJob>(before).size() == 1U);
  BOOST_TEST(Only<ReadJob>(before)[0].job == "over");
  bench.scheduler.JobIsOver("over", bench.now);
  const std::vector<Action> after = bench.Turn();
  BOOST_TEST(Only<SaveProgress>(after).empty());
  BOOST_TEST(Only<StopRun>(after).size() == 1U);
  bench.List("w", {.clock_ms = 0,
                   .running = {},
                   .ended = {{.number = 1,
                              .task = FirstTask("over"),
                              .run = 3,
                              .how = RunEnd::kStopped,
                              .checkpoint = ""}}});
  BOOST_TEST(Only<SaveProgress>(bench.Turn()).size() == 1U);
}

// Guards against a start over the room of a worker that runs tasks of two jobs
// that are not known, once the first of them is.
BOOST_AUTO_TEST_CASE(RunsOfSeveralUnknownJobsLeaveNoRoomUntilAllAreKnown) {
  Bench bench(2);
  bench.scheduler.PutWorker(Bench::Worker("w"), bench.now);
  bench.List("w",
             {.running = {{.task = FirstTask("first"), .run = 1, .percent = 40},
                          {.task = FirstTask("second"), .run = 1}}});
  jobs::Step large = Bench::OneTask();
  large.task_resources.cpu_millis = 2500;
  bench.AddJob("first");
  bench.AddJob("next", large);
  for (const SaveProgress& save : Only<SaveProgress>(bench.Turn()))
    BOOST_TEST(save.job != "next");
  bench.AddJob("second");
  BOOST_TEST(bench.scheduler.FindWorker("w")->room().cpu_millis == 2000);
}

// Its worker tells of it before the store does: forgotten there, it would be
// started again.
BOOST_AUTO_TEST_CASE(EndOfAJobThatIsNotKnownYetIsHeldUntilItIs) {
  Bench bench(2);
  bench.scheduler.PutWorker(Bench::Worker("w"), bench.now);
  const Listing listing{.clock_ms = 0,
                        .running = {},
                        .ended = {{.number = 1,
                                   .task = FirstTask("late"),
                                   .run = 1,
                                   .how = RunEnd::kDone,
                                   .checkpoint = ""}}};
  bench.List("w", listing);
  bench.Turn();
  BOOST_TEST(bench.scheduler.FindWorker("w")->acknowledged == 0);
  bench.AddJob("late");
  const std::vector<Action> actions = bench.Turn();
  BOOST_TEST(Only<StartRun>(actions).empty());
  BOOST_TEST(bench.scheduler.FindWorker("w")->acknowledged == 0);
  const auto saves = Only<SaveProgress>(actions);
  BOOST_REQUIRE(saves.size() == 1U);
  BOOST_CHECK(jobs::DecodeProgress(saves[0].text)->state ==
              jobs::JobState::kCompleted);
  bench.scheduler.Saved({.job = "late",
                         .change = saves[0].change,
                         .outcome = SaveOutcome::kSaved,
                         .version = 2},
                        bench.now);
  bench.Turn();
  BOOST_TEST(bench.scheduler.FindWorker("w")->acknowledged == 1);
}

BOOST_AUTO_TEST_CASE(RunOfAJobThatIsNotKnownYetIsItsRun) {
  Bench bench(2);
  bench.scheduler.PutWorker(Bench::Worker("w"), bench.now);
  bench.List("w", {.clock_ms = 0,
                   .running = {{.task = FirstTask("late"),
                                .run = 1,
                                .checkpoint = "",
                                .percent = 40}},
                   .ended = {}});
  bench.Turn();
  bench.AddJob("late");
  const std::vector<Action> actions = bench.Turn();
  BOOST_TEST(Only<StartRun>(actions).empty());
  BOOST_TEST(Only<StopRun>(actions).empty());
}

}  // namespace
}  // namespace quartzhoist::scheduler
