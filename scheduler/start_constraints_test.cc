// Tests of where a task may start: the limit of its step per worker, the pool
// of its queue and the label that the step requires.

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

#include "testing/scheduler_bench.h"

namespace quartzhoist::testing {
namespace {

using scheduler::CommandOutcome;
using scheduler::RunEndReason;
using scheduler::StartRun;
using std::chrono::seconds;
using Bench = SchedulerBench;

jobs::Step LimitedStep(int tasks) {
  jobs::Step step = Bench::OneTask();
  step.tasks = tasks;
  step.max_per_worker = 1;
  return step;
}

jobs::TaskId SecondTask(const std::string& job) {
  return {.job = job, .occurrence = 0, .step = 0, .index = 1};
}

void AnswerStart(Bench& bench, const StartRun& start) {
  bench.scheduler.LeaseGranted(start.worker, bench.now + seconds(20));
  bench.scheduler.StartAnswered(start, CommandOutcome::kDone, bench.now);
}

// A job with one task that is placed on worker "a", and a step limited to one
// task per worker. A second run of the task is active on "b".
StartRun StartTaskThatAlsoRunsOnSecondWorker(Bench& bench) {
  bench.scheduler.UpdateWorker(Bench::Worker("a"), bench.now);
  bench.Report("a", {});
  bench.AddJob("job", LimitedStep(2));
  StartRun start = bench.NextStart();
  BOOST_REQUIRE(start.worker.id == "a");
  AnswerStart(bench, start);
  bench.scheduler.UpdateWorker(Bench::Worker("b"), bench.now);
  bench.Report("b", {.running = {{.task = start.task, .run = start.run + 1}}});
  return start;
}

}  // namespace

// Guards against a start beyond the step's limit beside a run that is being
// stopped because its task is placed elsewhere.
BOOST_AUTO_TEST_CASE(StepLimitCountsRunsThatAreNotNeeded) {
  Bench bench(2);
  const StartRun start = StartTaskThatAlsoRunsOnSecondWorker(bench);
  BOOST_TEST(bench.NextStart().task.job == "");
  bench.ReportEnd("b", start.task, start.run + 1, RunEndReason::kStopped);
  const StartRun next = bench.NextStart();
  BOOST_TEST(next.worker.id == "b");
  BOOST_CHECK(next.task != start.task);
}

// As above; the task has been completed elsewhere.
BOOST_AUTO_TEST_CASE(StepLimitCountsStoppingRunsOfDoneTasks) {
  Bench bench(2);
  const StartRun start = StartTaskThatAlsoRunsOnSecondWorker(bench);
  bench.ReportEnd("a", start.task, start.run, RunEndReason::kSucceeded);
  const StartRun next = bench.NextStart();
  BOOST_TEST(next.worker.id == "a");
}

// Guards against a start that is sent to a worker which has taken in another
// run of the step since the task was planned.
BOOST_AUTO_TEST_CASE(QueuedStartIsNotSentBeyondTheStepLimit) {
  Bench bench(2);
  bench.scheduler.UpdateWorker(Bench::Worker("a"), bench.now);
  bench.Report("a", {});
  bench.AddJob("job", LimitedStep(2));
  const StartRun start = bench.NextStart();
  BOOST_REQUIRE(start.worker.id == "a");
  BOOST_TEST(bench.scheduler.IsStartStillValid(start, bench.now));
  bench.Report("a", {.running = {{.task = SecondTask("job"), .run = 1}}});
  BOOST_TEST(!bench.scheduler.IsStartStillValid(start, bench.now));
}

// Guards against a start that is sent to a worker whose labels have changed
// since the task was planned.
BOOST_AUTO_TEST_CASE(QueuedStartIsNotSentToAWorkerWithoutTheLabel) {
  Bench bench(2);
  scheduler::WorkerInfo info = Bench::Worker("a");
  info.labels = {"kind-1"};
  bench.scheduler.UpdateWorker(info, bench.now);
  bench.Report("a", {});
  jobs::Step step = Bench::OneTask();
  step.label = "kind-1";
  bench.AddJob("job", step);
  const StartRun start = bench.NextStart();
  BOOST_REQUIRE(start.worker.id == "a");
  BOOST_TEST(bench.scheduler.IsStartStillValid(start, bench.now));
  info.labels = {"kind-2"};
  bench.scheduler.UpdateWorker(info, bench.now);
  BOOST_TEST(!bench.scheduler.IsStartStillValid(start, bench.now));
}

// Guards against a start that is sent to a worker whose box is in another pool
// than the queue by now.
BOOST_AUTO_TEST_CASE(QueuedStartIsNotSentToAnotherPool) {
  Bench bench(2);
  scheduler::WorkerInfo info = Bench::Worker("a");
  bench.scheduler.UpdateWorker(info, bench.now);
  bench.Report("a", {});
  bench.AddJob("job");
  const StartRun start = bench.NextStart();
  BOOST_REQUIRE(start.worker.id == "a");
  info.service = "other";
  bench.scheduler.UpdateWorker(info, bench.now);
  BOOST_TEST(!bench.scheduler.IsStartStillValid(start, bench.now));
}

}  // namespace quartzhoist::testing
