// Tests of tasks that have runs on two workers.

#include <boost/test/unit_test.hpp>

#include <chrono>

#include "testing/scheduler_bench.h"

namespace quartzhoist::testing {
namespace {

using scheduler::CommandOutcome;
using scheduler::RunEndReason;
using scheduler::StartRun;
using std::chrono::milliseconds;
using Bench = SchedulerBench;

// A run that an earlier owner has started, and that is not needed: the task is
// placed on worker "a". Its stop has been sent to "b" and was not answered.
StartRun StopRunOnSecondWorker(Bench& bench) {
  bench.scheduler.UpdateWorker(Bench::Worker("a"), bench.now);
  bench.Report("a", {});
  bench.AddJob("job");
  const StartRun start = bench.NextStart();
  bench.scheduler.LeaseGranted(start.worker, bench.now + milliseconds(2500));
  bench.scheduler.StartAnswered(start, CommandOutcome::kDone, bench.now);
  bench.scheduler.UpdateWorker(Bench::Worker("b"), bench.now);
  bench.Report("b", {.running = {{.task = start.task, .run = start.run + 1}}});
  BOOST_REQUIRE(
      !Only<scheduler::StopRun>(bench.scheduler.TakeActions()).empty());
  return start;
}

}  // namespace

// Guards against a start beside a run that is still being stopped elsewhere.
BOOST_AUTO_TEST_CASE(TaskWaitsForItsRunThatIsBeingStoppedElsewhere) {
  Bench bench(2);
  const StartRun start = StopRunOnSecondWorker(bench);
  bench.Report("a", {.ended = {{.sequence = 1,
                                .task = start.task,
                                .run = start.run,
                                .reason = RunEndReason::kLeaseExpired}}});
  BOOST_TEST(bench.NextStart().task.job == "");
  bench.Report("b", {.ended = {{.sequence = 1,
                                .task = start.task,
                                .run = start.run + 1,
                                .reason = RunEndReason::kStopped}}});
  const StartRun next = bench.NextStart();
  BOOST_CHECK(next.task == start.task);
  BOOST_TEST(next.run > start.run + 1);
}

// The run that is being stopped may complete first.
BOOST_AUTO_TEST_CASE(TaskDoneByItsRunThatIsBeingStoppedElsewhereStaysDone) {
  Bench bench(2);
  const StartRun start = StopRunOnSecondWorker(bench);
  bench.Report("a", {.ended = {{.sequence = 1,
                                .task = start.task,
                                .run = start.run,
                                .reason = RunEndReason::kLeaseExpired}}});
  bench.Report("b", {.ended = {{.sequence = 1,
                                .task = start.task,
                                .run = start.run + 1,
                                .reason = RunEndReason::kSucceeded}}});
  BOOST_TEST(bench.NextStart().task.job == "");
}

}  // namespace quartzhoist::testing
