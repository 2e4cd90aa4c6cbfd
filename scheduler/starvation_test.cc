// A long-running task with much memory beside a flood of small tasks.

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/scheduler.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::seconds;
using testing::Only;
using Bench = testing::SchedulerBench;

// Boxes full of tasks with little memory, a queue of such tasks that does not
// run dry, and a long-running task with much memory that arrives after 3 s.
class StarvedLargeTask {
 public:
  static constexpr int kArrivalPass = 10;

  // In each pass of 0.3 s each box completes one task, unless it runs fewer
  // than `keeps` + 1.
  explicit StarvedLargeTask(std::size_t keeps) : keeps(keeps) {
    this->AddWorker(Bench::Worker("a"));
    this->AddWorker(Bench::Worker("b"));
    jobs::Step small = Bench::OneTask();
    small.tasks = 200;
    small.task_resources = {.cpu_millis = 1000, .memory_mb = 1000, .gpus = 0};
    this->bench.AddJob("small", small);
  }

  void AddWorker(const WorkerInfo& info) {
    this->bench.scheduler.UpdateWorker(info, this->bench.now);
    this->bench.Report(info.incarnation.id, {});
    this->running[info.incarnation.id];
  }

  void AddIdleBoxOfAnotherPool() {
    jobs::Config config;
    config.services = {{.name = "pool"}, {.name = "other"}};
    this->bench.scheduler.SetConfig(config, this->bench.now);
    WorkerInfo idle = Bench::Worker("idle");
    idle.service = "other";
    this->AddWorker(idle);
  }

  // The box is back at once, with a new worker.
  void Move(const MoveBox& move) {
    this->bench.scheduler.MoveAnswered(move, BoxCallOutcome::kDone,
                                       this->bench.now);
    this->running.erase("idle");
    WorkerInfo moved = Bench::Worker("moved");
    moved.box = move.box;
    moved.service = move.pool;
    this->AddWorker(moved);
  }

  // Runs one pass and returns its actions.
  std::vector<Action> RunPass() {
    if (this->pass == kArrivalPass) {
      jobs::Step large = Bench::OneLongRunningTask();
      large.task_resources = {.cpu_millis = 500, .memory_mb = 3000, .gpus = 0};
      this->bench.AddJob("large", large);
    }
    std::vector<Action> actions = this->bench.RunPass();
    this->bench.Save(Only<SaveProgress>(actions));
    for (Action& action : this->bench.scheduler.TakeActions())
      actions.push_back(std::move(action));
    for (const StartRun& start : Only<StartRun>(actions))
      this->Start(start);
    for (const auto& [worker, runs] : this->running)
      this->Report(worker);
    ++this->pass;
    return actions;
  }

  Bench bench{1};
  int pass = 0;
  std::string started_on;  // the large task's worker, empty while it waits

 private:
  void Start(const StartRun& start) {
    this->bench.scheduler.StartAnswered(start, CommandOutcome::kDone,
                                        this->bench.now);
    this->running[start.worker.id].push_back(start);
    if (start.task.job == "large")
      this->started_on = start.worker.id;
  }

  void Report(const std::string& worker) {
    std::vector<StartRun>& runs = this->running[worker];
    WorkerReport report;
    if (this->pass > 0 && runs.size() > this->keeps) {
      report.ended.push_back({.sequence = this->pass + 1,
                              .task = runs.front().task,
                              .run = runs.front().run,
                              .reason = RunEndReason::kSucceeded,
                              .checkpoint = ""});
      runs.erase(runs.begin());
    }
    for (const StartRun& run : runs) {
      report.running.push_back({.task = run.task,
                                .run = run.run,
                                .checkpoint = "",
                                .percent = this->pass % 100});
    }
    this->bench.Report(worker, report, this->bench.now + seconds(4));
  }

  std::size_t keeps = 0;
  std::map<std::string, std::vector<StartRun>> running;
};

// Each slot that becomes free is too small for the large task and goes to the
// next small one, although the large task has precedence.
BOOST_AUTO_TEST_CASE(LongRunningTaskWithLargeMemoryStartsInFullPool) {
  StarvedLargeTask pool(0);
  while (pool.pass < 30 && pool.started_on.empty())
    pool.RunPass();
  BOOST_TEST(!pool.started_on.empty());
}

// Three tasks of each box do not end, so no box of the pool ever has enough; an
// idle box of another pool has.
BOOST_AUTO_TEST_CASE(LongRunningTaskWithLargeMemoryStartsOnAMovedBox) {
  StarvedLargeTask pool(3);
  while (pool.pass <= StarvedLargeTask::kArrivalPass)
    pool.RunPass();
  pool.AddIdleBoxOfAnotherPool();
  while (pool.pass < 30 && pool.started_on.empty()) {
    for (const MoveBox& move : Only<MoveBox>(pool.RunPass()))
      pool.Move(move);
  }
  BOOST_TEST(pool.started_on == "moved");
}

// Guards against a wait that begins anew with each configuration, so that a
// task never waits long enough for a reservation while queues come and go.
BOOST_AUTO_TEST_CASE(LongRunningTaskStartsWhileConfigurationsKeepArriving) {
  StarvedLargeTask pool(0);
  jobs::Config config;
  config.services.push_back({.name = "pool"});
  while (pool.pass < 30 && pool.started_on.empty()) {
    if (pool.pass % 3 == 0)
      pool.bench.scheduler.SetConfig(config, pool.bench.now);
    pool.RunPass();
  }
  BOOST_TEST(!pool.started_on.empty());
}

// Guards against a pass that ends at tasks no worker of the pool can run, and
// so never reaches those behind them.
BOOST_AUTO_TEST_CASE(TaskStartsBehindManyJobsThatNoWorkerCanRun) {
  Bench bench(1);
  bench.scheduler.UpdateWorker(Bench::Worker("a"), bench.now);
  bench.Report("a", {}, seconds(4));
  jobs::Step unsuited = Bench::OneTask();
  unsuited.label = "nowhere";
  for (int i = 0; i < 40; ++i)
    bench.AddJob("unsuited" + std::to_string(i), unsuited);
  bench.RunPass();
  bench.AddJob("suited");
  BOOST_TEST(bench.NextStart().task.job == "suited");
}

// The same for tasks that wait for advice.
BOOST_AUTO_TEST_CASE(TaskStartsBehindManyJobsThatWaitForAdvice) {
  Bench bench(1);
  bench.scheduler.UpdateWorker(Bench::Worker("a"), bench.now);
  bench.Report("a", {}, seconds(4));
  for (int i = 0; i < 40; ++i)
    bench.AddJob("advised" + std::to_string(i), Bench::OneTask(), true);
  bench.RunPass();
  bench.AddJob("suited");
  BOOST_TEST(bench.NextStart().task.job == "suited");
}

}  // namespace
}  // namespace quartzhoist::scheduler
