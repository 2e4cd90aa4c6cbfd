// Tests workers whose capacity changes during operation.

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/scheduler.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using testing::Only;
using Bench = testing::SchedulerBench;

WorkerInfo WithCores(const std::string& id, std::int64_t cpu_millis) {
  WorkerInfo info = Bench::Worker(id);
  info.capacity.cpu_millis = cpu_millis;
  return info;
}

// Guards against overcommitting a worker: its capacity shrank while a placement
// was being saved, and the start command was sent anyway.
BOOST_AUTO_TEST_CASE(PlannedRunIsNotStartedIfCapacityShrank) {
  Bench bench(1);
  for (const char* id : {"a", "b"}) {
    bench.scheduler.UpdateWorker(Bench::Worker(id), bench.now);
    bench.Report(id, {});
  }
  bench.AddJob("job");
  std::vector<SaveProgress> saves;
  while (saves.empty())
    saves = Only<SaveProgress>(bench.RunPass());
  const std::string planned =
      bench.scheduler.FindWorker("a")->idle() ? "b" : "a";
  bench.scheduler.UpdateWorker(WithCores(planned, 500), bench.now);
  bench.Save(saves);
  BOOST_TEST(Only<StartRun>(bench.scheduler.TakeActions()).empty());
  const StartRun start = bench.NextStart();
  BOOST_TEST(!start.worker.empty());
  BOOST_TEST(start.worker.id != planned);
}

// When a worker's capacity shrinks below its usage, the current runs go on and
// no new ones start until the capacity has grown again.
BOOST_AUTO_TEST_CASE(OvercommittedWorkerGetsNoRunsUntilCapacityGrows) {
  Bench bench(1);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report("w", {});
  bench.AddJob("first");
  const StartRun first = bench.NextStart();
  bench.scheduler.StartAnswered(first, CommandOutcome::kDone, bench.now);
  bench.scheduler.UpdateWorker(WithCores("w", 500), bench.now);
  bench.AddJob("second");
  const WorkerReport running{.clock_ms = 0,
                             .running = {{.task = first.task,
                                          .run = first.run,
                                          .checkpoint = "",
                                          .percent = 50}},
                             .ended = {}};
  bench.Report("w", running);
  for (int pass = 0; pass < 5; ++pass) {
    const std::vector<Action> actions = bench.RunPass();
    BOOST_TEST(Only<StartRun>(actions).empty());
    BOOST_TEST(Only<StopRun>(actions).empty());
    bench.Save(Only<SaveProgress>(actions));
    bench.Report("w", running);
  }
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  BOOST_TEST(bench.NextStart().task.job == "second");
}

}  // namespace
}  // namespace quartzhoist::scheduler
