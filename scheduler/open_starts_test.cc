// Tests of starts that got no answer, were given up, and may be carried out by
// the next incarnation of their worker.

#include <boost/test/unit_test.hpp>

#include <chrono>

#include "testing/scheduler_bench.h"

namespace quartzhoist::testing {
namespace {

using scheduler::CommandOutcome;
using scheduler::StartRun;
using Bench = SchedulerBench;

constexpr jobs::TaskKey kTask{.step = {}, .index = 0};

// The start of the job's task on "b" has been given up.
StartRun GiveUpStart(Bench& bench) {
  bench.scheduler.UpdateWorker(Bench::Worker("b"), bench.now);
  bench.Report("b", {});
  bench.AddJob("job");
  StartRun start = bench.NextStart();
  bench.scheduler.LeaseGranted(start.worker,
                               bench.now + std::chrono::seconds(5));
  bench.scheduler.StartAnswered(start, CommandOutcome::kUnknown, bench.now);
  while (bench.scheduler.FindWorker("b")->runs.contains(start.task)) {
    for (const auto& stop : Only<scheduler::StopRun>(bench.RunPass()))
      bench.scheduler.StopAnswered(stop, CommandOutcome::kDone, bench.now);
    bench.Report("b", {});
  }
  return start;
}

}  // namespace

// Guards against a start beside a late run that is being stopped, or beyond its
// worker's capacity, and against blaming a task for the loss of a worker that
// may never have begun it.
BOOST_AUTO_TEST_CASE(TaskWaitsForItsLateStartAtARestartedWorker) {
  for (const bool is_lost : {false, true}) {
    Bench bench(2);
    const StartRun start = GiveUpStart(bench);
    bench.scheduler.UpdateWorker(Bench::Worker("c"), bench.now);
    bench.Report("c", {});
    scheduler::WorkerInfo b = Bench::Worker("b");
    b.incarnation.start_ms = 7;
    bench.scheduler.UpdateWorker(b, bench.now);
    BOOST_TEST(bench.scheduler.FindWorker("b")->used.cpu_millis == 1000);
    BOOST_TEST(bench.NextStart().task.job == "");
    b.incarnation.start_ms = 8;
    if (is_lost)
      bench.scheduler.UpdateWorker(b, bench.now);
    bench.scheduler.StopAnswered(
        {.worker = bench.LifeOf("b"), .task = start.task, .run = start.run},
        CommandOutcome::kDone, bench.now);
    for (int i = 0; i < 4; ++i) {
      bench.Save(Only<scheduler::SaveProgress>(bench.RunPass()));
      bench.Report("b", {});
    }
    BOOST_TEST(bench.scheduler.all_jobs().at("job").progress.losses.empty());
    BOOST_TEST(bench.scheduler.FindWorker("b")->used.cpu_millis +
                   bench.scheduler.FindWorker("c")->used.cpu_millis ==
               1000);
    BOOST_TEST(
        bench.scheduler.all_jobs().at("job").progress.placed.at(kTask).run >
        start.run);
  }
}

// Guards against a row that no longer names a late start, after a refused save,
// or that names it for good, so that the job is never over.
BOOST_AUTO_TEST_CASE(RowNamesAGivenUpStartUntilItCanNoLongerBegin) {
  Bench bench(2);
  const StartRun start = GiveUpStart(bench);
  const auto& progress = bench.scheduler.all_jobs().at("job").progress;
  BOOST_REQUIRE(bench.NextStart().task.job == "job");
  bench.scheduler.ProgressSaved({.job = "job",
                                 .change = 0,
                                 .outcome = scheduler::SaveOutcome::kConflict,
                                 .version = 7,
                                 .stored = progress},
                                bench.now);
  BOOST_TEST(progress.IsStopping(kTask, start.run));
  bench.now += std::chrono::seconds(12);
  bench.RunPass();
  BOOST_TEST(!progress.IsStopping(kTask, start.run));
}

}  // namespace quartzhoist::testing
