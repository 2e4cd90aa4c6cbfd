// Tests of stopping the tasks of a job that failed or was cancelled.

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/scheduler.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using testing::FirstTask;
using testing::Only;
using Bench = testing::SchedulerBench;

// Guards against a task that runs twice because a replaced owner stops it. The
// owner failed the job and stopped its other task just before the write of that
// failure was refused. The next owner had just polled the worker, whose report
// omits runs that are being stopped, took the task for unplaced and started it
// on the same worker 0.2 s later, beside the first run. So stops wait until the
// failure is saved.
BOOST_AUTO_TEST_CASE(FailedJobStopsTasksAfterFailureIsSaved) {
  Bench bench(1);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report("w", {});
  jobs::Queue queue;
  queue.name = "queue";
  queue.service = "pool";
  queue.attempts = 1;
  jobs::JobSpec spec;
  spec.steps.push_back(Bench::OneTask());
  spec.steps[0].tasks = 2;
  bench.scheduler.AddJob(MakeJob("job", queue, spec, {}, bench.now, {}),
                         bench.now);
  const StartRun first = bench.NextStart();
  for (const int index : {0, 1}) {
    StartRun start = first;
    start.task.index = index;
    bench.scheduler.StartAnswered(start, CommandOutcome::kDone, bench.now);
  }
  bench.Report("w",
               {.clock_ms = 0,
                .running = {{.task = {.job = "job", .index = 1},
                             .run = first.run,
                             .checkpoint = "",
                             .percent = 10}},
                .ended = {{.sequence = 1,
                           .task = FirstTask("job"),
                           .run = first.run,
                           .reason = RunEndReason::kFailed,
                           .checkpoint = ""}}},
               bench.now + seconds(4));
  const std::vector<Action> actions = bench.RunPass();
  const auto saves = Only<SaveProgress>(actions);
  BOOST_REQUIRE(saves.size() == 1U);
  BOOST_TEST(Only<StopRun>(actions).empty());
  bench.Save(saves);
  const auto stops = Only<StopRun>(bench.RunPass());
  BOOST_REQUIRE(stops.size() == 1U);
  BOOST_TEST(stops[0].task.index == 1);
}

// A cancellation is in the store before the owner learns of it, so the stops
// need not wait for a save.
BOOST_AUTO_TEST_CASE(CancelledJobStopsItsTasksAtOnce) {
  Bench bench(1);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report("w", {});
  bench.AddJob("job", Bench::OneLongRunningTask());
  const StartRun start = bench.NextStart();
  bench.scheduler.StartAnswered(start, CommandOutcome::kDone, bench.now);
  bench.scheduler.CancelJob("job", bench.now);
  BOOST_TEST(Only<StopRun>(bench.scheduler.TakeActions()).size() == 1U);
}

}  // namespace
}  // namespace quartzhoist::scheduler
