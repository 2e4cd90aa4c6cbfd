// Tests of workers that remove their announcement while they may work on.

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

#include "testing/scheduler_bench.h"

namespace quartzhoist::testing {
namespace {

using scheduler::CommandOutcome;
using scheduler::StartRun;
using std::chrono::seconds;
using Bench = SchedulerBench;

}  // namespace

// Guards against a second run of a task beside the one on a worker that
// withdrew its announcement before it had answered the new owner.
BOOST_AUTO_TEST_CASE(WithdrawnWorkerKeepsItsInheritedLease) {
  Bench bench(2);
  const base::Micros lease_end = bench.now + seconds(6);
  bench.InheritWorker("a", lease_end);
  bench.scheduler.UpdateWorker(Bench::Worker("b"), bench.now);
  bench.Report("b", {});
  bench.scheduler.WorkerDeregistered("a", bench.now);
  bench.AddPlacedJob({.worker = {.id = "a"}, .run = 1});
  BOOST_TEST(bench.NextStart().task.job == "");
  BOOST_REQUIRE(bench.now < lease_end);
  StartRun next;
  for (int i = 0; i < 5 && next.task.job.empty(); ++i) {
    bench.scheduler.PollFailed(bench.LifeOf("a"), CommandOutcome::kUnknown,
                               bench.now);
    next = bench.NextStart();
  }
  BOOST_TEST(next.worker.id == "b");
  BOOST_CHECK(bench.now > lease_end);
}

// A worker that was kept for its lease alone is removed once it has answered
// that it runs nothing, or the lease has ended.
BOOST_AUTO_TEST_CASE(WithdrawnWorkerIsRemovedOnceItsLeaseHasEnded) {
  for (const bool answers : {false, true}) {
    Bench bench(2);
    const base::Micros lease_end = bench.now + seconds(3);
    bench.InheritWorker("a", lease_end);
    bench.scheduler.WorkerDeregistered("a", bench.now);
    BOOST_TEST(bench.scheduler.FindWorker(std::string("a")) != nullptr);
    if (answers)
      bench.Report("a", {});
    while (bench.now <= lease_end + seconds(6)) {
      bench.RunPass();
      if (!answers)
        bench.scheduler.PollFailed(bench.LifeOf("a"), CommandOutcome::kUnknown,
                                   bench.now);
    }
    BOOST_TEST(bench.scheduler.FindWorker(std::string("a")) == nullptr);
  }
}

}  // namespace quartzhoist::testing
