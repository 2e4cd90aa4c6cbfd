// Placement passes under overload.

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using testing::Only;
using Bench = testing::SchedulerBench;

// Long-running jobs that fit nowhere come first. Each of them used up one of a
// pass's searches, so that 24 of them kept all smaller tasks behind them
// waiting although cores were free.
BOOST_AUTO_TEST_CASE(SmallTasksStartBehindManyThatFitNowhere) {
  for (const int large_jobs : {40, 80}) {
    Bench bench(1);
    bench.scheduler.UpdateWorker(Bench::Worker("a"), bench.now);
    bench.Report("a", {});
    jobs::Step filler = Bench::OneLongRunningTask();
    filler.task_resources = {.cpu_millis = 500, .memory_mb = 2000, .gpus = 0};
    bench.AddJob("filler", filler);
    bench.Save(Only<SaveProgress>(bench.RunPass()));
    jobs::Step large = Bench::OneLongRunningTask();
    large.task_resources = {.cpu_millis = 500, .memory_mb = 3000, .gpus = 0};
    for (int i = 0; i < large_jobs; ++i)
      bench.AddJob("large-" + std::to_string(i), large);
    bench.AddJob("small");
    bench.RunPass();
    const Job& small = bench.scheduler.all_jobs().at("small");
    const Task& task = small.occurrences.front().steps.front().tasks.front();
    BOOST_CHECK(task.state == TaskState::kPlaced);
  }
}

// The failed task fits only into the capacity that it has just freed, and a
// task that has never run has waited for longer.
BOOST_AUTO_TEST_CASE(FailedLongRunningTaskStartsBeforeOnesThatNeverRan) {
  Bench bench(1);
  bench.scheduler.UpdateWorker(Bench::Worker("a"), bench.now);
  bench.Report("a", {});
  jobs::Step step = Bench::OneLongRunningTask();
  step.task_resources.memory_mb = 3000;
  bench.AddJob("running", step);
  const StartRun start = bench.NextStart();
  bench.scheduler.StartAnswered(start, CommandOutcome::kDone, bench.now);
  bench.AddJob("waiting", step);
  bench.RunPass();
  bench.Report("a", {.ended = {{.sequence = 1,
                                .task = start.task,
                                .run = start.run,
                                .reason = RunEndReason::kFailed,
                                .checkpoint = ""}}});
  bench.RunPass();
  const auto is_placed = [&](const char* job) {
    const Job& one = bench.scheduler.all_jobs().at(job);
    return StepAt(one, {}).tasks.front().state == TaskState::kPlaced;
  };
  BOOST_TEST(is_placed("running"));
  BOOST_TEST(!is_placed("waiting"));
}

// The worker has cores for the waiting task, but no memory.
BOOST_AUTO_TEST_CASE(WaitOfALongRunningTaskIsExplained) {
  Bench bench(1);
  bench.scheduler.UpdateWorker(Bench::Worker("a"), bench.now);
  bench.Report("a", {});
  jobs::Step step = Bench::OneLongRunningTask();
  step.task_resources.memory_mb = 3000;
  bench.AddJob("first", step);
  bench.Save(Only<SaveProgress>(bench.RunPass()));
  bench.AddJob("waiting", step);
  bench.RunPass();
  BOOST_TEST(bench.scheduler.LongRunningWaits(bench.now).empty());
  for (int i = 0; i < 7; ++i) {
    bench.Report("a", {});
    bench.RunPass();
  }
  const auto waits = bench.scheduler.LongRunningWaits(bench.now);
  BOOST_REQUIRE(waits.size() == 1U);
  BOOST_TEST(waits[0].task.job == "waiting");
  BOOST_TEST(waits[0].waiting == 1);
  BOOST_TEST(waits[0].interrupted == 0);
  BOOST_TEST(waits[0].usable == 1);
  BOOST_TEST(waits[0].with_cores == 1);
  BOOST_TEST(waits[0].with_memory == 0);
  BOOST_TEST(waits[0].fitting == 0);
}

// The shard has one box, in another pool; the task needs a tenth of it.
BOOST_AUTO_TEST_CASE(SmallTaskInAPoolWithoutBoxesGetsOne) {
  Bench bench(1);
  jobs::Config config;
  config.services = {{.name = "pool"}, {.name = "other"}};
  bench.scheduler.SetConfig(config, bench.now);
  WorkerInfo worker = Bench::Worker("a");
  worker.service = "other";
  bench.scheduler.UpdateWorker(worker, bench.now);
  bench.Report("a", {});
  jobs::Step small = Bench::OneTask();
  small.task_resources.cpu_millis = 400;
  bench.AddJob("job", small);
  std::vector<MoveBox> moves;
  for (int i = 0; i < 8 && moves.empty(); ++i)
    moves = Only<MoveBox>(bench.RunPass());
  BOOST_REQUIRE(moves.size() == 1U);
  BOOST_TEST(moves[0].pool == "pool");
}

}  // namespace
}  // namespace quartzhoist::scheduler
