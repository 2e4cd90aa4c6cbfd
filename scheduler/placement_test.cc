// Placement passes under overload.

#include <string>

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

}  // namespace
}  // namespace quartzhoist::scheduler
