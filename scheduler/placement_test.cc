// Placement passes under overload.

#include <map>
#include <set>
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

// Two boxes with long-running tasks of half a box each, one of them selected by
// a wave.
class EvacuatedBox {
 public:
  explicit EvacuatedBox(int tasks) {
    for (const char* worker : {"a", "b"}) {
      this->bench.scheduler.UpdateWorker(Bench::Worker(worker),
                                         this->bench.now);
      this->bench.Report(worker, {});
    }
    jobs::Step half = Bench::OneLongRunningTask();
    half.task_resources.memory_mb = 2000;
    for (int i = 0; i < tasks; ++i)
      this->bench.AddJob("job-" + std::to_string(i), half);
    this->RunPass();
    this->bench.scheduler.SetBoxes(
        {{.name = "box-a", .pool = "pool", .worker = "a"},
         {.name = "box-b", .pool = "pool", .worker = "b"}},
        this->bench.now, this->bench.now);
  }

  void SelectBox(const std::string& box) {
    this->bench.scheduler.SetWave({.number = 1,
                                   .boxes = {box},
                                   .duration = std::chrono::seconds(60),
                                   .max_concurrent = 1},
                                  {}, this->bench.now);
  }

  scheduler::PoolState PoolState() const {
    return this->bench.scheduler.PoolStates(this->bench.now).front();
  }

  // Runs one pass and returns its actions.
  std::vector<Action> RunPass() {
    std::vector<Action> actions = this->bench.RunPass();
    this->bench.Save(Only<SaveProgress>(actions));
    for (const Action& action : this->bench.scheduler.TakeActions())
      actions.push_back(action);
    for (const StartRun& start : Only<StartRun>(actions)) {
      this->bench.scheduler.StartAnswered(start, CommandOutcome::kDone,
                                          this->bench.now);
      this->running[start.worker.id].push_back(
          {.task = start.task, .run = start.run, .percent = 100});
    }
    for (const char* worker : {"a", "b"})
      this->bench.Report(worker, {.running = this->running[worker]},
                         this->bench.now + std::chrono::seconds(4));
    return actions;
  }

  // Ends one of the worker's runs.
  void Fail(const std::string& worker) {
    std::vector<ReportedRun>& runs = this->running[worker];
    const ReportedRun failed = runs.front();
    runs.erase(runs.begin());
    this->bench.Report(worker, {.running = runs,
                                .ended = {{.sequence = 1,
                                           .task = failed.task,
                                           .run = failed.run,
                                           .reason = RunEndReason::kFailed,
                                           .checkpoint = ""}}});
  }

  Bench bench{1};
  std::map<std::string, std::vector<ReportedRun>> running;  // by worker
};

// Both boxes are full, so the selected one cannot be emptied, and a task that
// fails there fits nowhere else.
BOOST_AUTO_TEST_CASE(FailedTaskOfABoxThatCannotBeEvacuatedStartsAgain) {
  EvacuatedBox pool(4);
  BOOST_REQUIRE(pool.running["a"].size() == 2U);
  BOOST_REQUIRE(pool.running["b"].size() == 2U);
  pool.SelectBox("box-a");
  pool.RunPass();
  pool.Fail("a");
  const base::Micros failed_at = pool.bench.now;
  bool is_started = false;
  while (!is_started && pool.bench.now - failed_at < std::chrono::seconds(6))
    is_started = !Only<StartRun>(pool.RunPass()).empty();
  BOOST_TEST(is_started);
}

// Guards against leaving boxes that operators see without their reason.
BOOST_AUTO_TEST_CASE(PoolStateCountsLeavingBoxesByReason) {
  EvacuatedBox pool(4);
  BOOST_TEST(pool.PoolState().leaving_for.empty());
  pool.SelectBox("box-a");
  pool.RunPass();
  const PoolState state = pool.PoolState();
  BOOST_TEST(state.leaving == 1);
  BOOST_REQUIRE(state.leaving_for.size() == 1U);
  BOOST_TEST(state.leaving_for.at(LeavingReason::kEvacuating) == 1);
}

// The other box has capacity for one of the two tasks.
BOOST_AUTO_TEST_CASE(EvacuationStopsNoMoreTasksThanFitElsewhere) {
  EvacuatedBox pool(3);
  const std::string full = pool.running["a"].size() == 2U ? "a" : "b";
  BOOST_REQUIRE(pool.running[full].size() == 2U);
  pool.SelectBox("box-" + full);
  std::set<jobs::TaskId> stopped;
  for (int i = 0; i < 8; ++i) {
    for (const StopRun& stop : Only<StopRun>(pool.RunPass()))
      stopped.insert(stop.task);
  }
  BOOST_TEST(stopped.size() == 1U);
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
