// Tests of where a task may start: the limit of its step per worker, the pool
// of its queue and the label that the step requires.

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

#include "testing/scheduler_bench.h"

namespace quartzhoist::testing {
namespace {

using scheduler::CommandOutcome;
using scheduler::RunEndReason;
using scheduler::StartRun;
using std::chrono::seconds;
using Bench = SchedulerBench;

jobs::Step LimitedStep(int tasks) {
  jobs::Step step = Bench::OneTask();
  step.tasks = tasks;
  step.max_per_worker = 1;
  return step;
}

void AnswerStart(Bench& bench, const StartRun& start) {
  bench.scheduler.LeaseGranted(start.worker, bench.now + seconds(20));
  bench.scheduler.StartAnswered(start, CommandOutcome::kDone, bench.now);
}

// A job with one task that is placed on worker "a", and a step limited to one
// task per worker. A second run of the task is active on "b".
StartRun StartTaskThatAlsoRunsOnSecondWorker(Bench& bench) {
  bench.scheduler.UpdateWorker(Bench::Worker("a"), bench.now);
  bench.Report("a", {});
  bench.AddJob("job", LimitedStep(2));
  StartRun start = bench.NextStart();
  BOOST_REQUIRE(start.worker.id == "a");
  AnswerStart(bench, start);
  bench.scheduler.UpdateWorker(Bench::Worker("b"), bench.now);
  bench.Report("b", {.running = {{.task = start.task, .run = start.run + 1}}});
  return start;
}

}  // namespace

// Guards against a start beyond the step's limit beside a run that is being
// stopped because its task is placed elsewhere.
BOOST_AUTO_TEST_CASE(StepLimitCountsRunsThatAreNotNeeded) {
  Bench bench(2);
  const StartRun start = StartTaskThatAlsoRunsOnSecondWorker(bench);
  BOOST_TEST(bench.NextStart().task.job == "");
  bench.Report("b", {.ended = {{.sequence = 1,
                                .task = start.task,
                                .run = start.run + 1,
                                .reason = RunEndReason::kStopped}}});
  const StartRun next = bench.NextStart();
  BOOST_TEST(next.worker.id == "b");
  BOOST_CHECK(next.task != start.task);
}

// As above; the task has been completed elsewhere.
BOOST_AUTO_TEST_CASE(StepLimitCountsStoppingRunsOfDoneTasks) {
  Bench bench(2);
  const StartRun start = StartTaskThatAlsoRunsOnSecondWorker(bench);
  bench.Report("a", {.ended = {{.sequence = 1,
                                .task = start.task,
                                .run = start.run,
                                .reason = RunEndReason::kSucceeded}}});
  const StartRun next = bench.NextStart();
  BOOST_TEST(next.worker.id == "a");
}

}  // namespace quartzhoist::testing
