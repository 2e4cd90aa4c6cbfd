// Tests of runs that a worker's report does not list.

#include <chrono>
#include <string>

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

// A run whose start and first stop got no answers is reported as running by
// `w`; another worker is free.
Bench BenchWithLateStop() {
  Bench bench(1);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report("w", {});
  bench.AddJob("job");
  const StartRun start = bench.NextStart();
  bench.scheduler.LeaseGranted(bench.LifeOf("w"), bench.now + seconds(8));
  bench.scheduler.StartAnswered(start, CommandOutcome::kUnknown, bench.now);
  BOOST_REQUIRE(Only<StopRun>(bench.RunPass()).size() == 1U);
  WorkerReport report;
  report.running.push_back(
      {.task = FirstTask("job"), .run = start.run, .percent = 10});
  bench.Report("w", report);
  bench.scheduler.UpdateWorker(Bench::Worker("other"), bench.now);
  bench.Report("other", {});
  bench.RunPass();
  return bench;
}

// A task was started a second time while its first run was being stopped: the
// time that a stop may take was counted from when a long poll was sent, though
// the stop was carried out while the worker held the poll open.
BOOST_AUTO_TEST_CASE(RunStoppedDuringALongPollIsNotRepeatedBeforeItsEnd) {
  Bench bench = BenchWithLateStop();
  const jobs::WorkerIncarnation worker = bench.LifeOf("w");
  bench.scheduler.PollSent({.worker = worker}, bench.now);
  bench.now += milliseconds(1000);
  const base::Micros stop_begun_before = bench.now;
  bench.scheduler.WorkerReported(
      worker, {.incarnation = worker, .clock_ms = base::Millis(bench.now)},
      bench.now);
  StartRun again;
  while (again.worker.empty() && bench.now < stop_begun_before + seconds(3)) {
    bench.now += milliseconds(40);
    bench.Report("w", {});
    bench.Confirm();
    bench.scheduler.Advance(bench.now);
    bench.Save(Only<SaveProgress>(bench.scheduler.TakeActions()));
    for (const StartRun& start : Only<StartRun>(bench.scheduler.TakeActions()))
      again = start;
  }
  BOOST_TEST(again.run == 2);
  BOOST_CHECK(bench.now > stop_begun_before + milliseconds(400));
}

}  // namespace
}  // namespace quartzhoist::scheduler
