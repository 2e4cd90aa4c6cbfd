// Tests of placements that an earlier owner recorded in a job's row.

#include <chrono>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/scheduler.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::seconds;

using testing::FirstTask;
using testing::Only;
using Bench = testing::SchedulerBench;

// A second run started beside one that the earlier owner had started on the
// same worker after its placements were read.
BOOST_AUTO_TEST_CASE(RunStartedAfterPlacementsWereReadIsNotRepeated) {
  Bench bench(2);
  const WorkerInfo worker = Bench::Worker("w");
  jobs::Queue queue;
  queue.name = "queue";
  queue.service = "pool";
  jobs::JobSpec spec;
  spec.steps.push_back(Bench::OneTask());
  jobs::Progress progress;
  progress.placed[{.step = {}, .index = 0}] = {.worker = worker.incarnation,
                                               .run = 1};
  bench.scheduler.InheritWorker(worker, bench.now + seconds(10));
  bench.scheduler.UpdateWorker(worker, bench.now);
  bench.scheduler.UpdateWorker(Bench::Worker("other"), bench.now);
  bench.scheduler.AddJob(MakeJob("job", queue, spec, progress, bench.now, {}),
                         bench.now);
  // The worker reports run 2. Stops are sent and get no answer.
  const WorkerReport report{
      .incarnation = {},
      .clock_ms = 0,
      .running = {{.task = FirstTask("job"), .run = 2, .percent = 10}},
      .ended = {}};
  for (int i = 0; i < 8; ++i) {
    bench.Report("w", report, bench.now + seconds(4));
    bench.Report("other", {}, bench.now + seconds(4));
    const std::vector<Action> actions = bench.RunPass();
    BOOST_TEST(Only<StartRun>(actions).empty());
    bench.Save(Only<SaveProgress>(actions));
    BOOST_TEST(Only<StartRun>(bench.scheduler.TakeActions()).empty());
  }
}

}  // namespace
}  // namespace quartzhoist::scheduler
