// Tests of single decisions about tasks whose workers were lost.

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

jobs::WorkerIncarnation Incarnation(const char* id) {
  return {.id = id};
}

jobs::WorkerLoss Crash(int run, const std::string& box) {
  return {.run = run, .box = box, .has_crashed = true, .start_confirmed = true};
}

// Guards against blocking a whole step: a task that must start alone waits for
// an idle worker, its step was then treated as one that fits nowhere, and the
// step's other tasks waited too.
BOOST_AUTO_TEST_CASE(TaskThatWaitsForAnIdleWorkerDoesNotBlockItsStep) {
  Bench bench(2);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report("w", {});
  bench.AddJob("busy", Bench::OneLongRunningTask());
  const StartRun busy = bench.NextStart();
  bench.scheduler.StartAnswered(busy, CommandOutcome::kDone, bench.now);
  jobs::Queue queue;
  queue.name = "queue";
  queue.service = "pool";
  jobs::JobSpec spec;
  spec.steps.push_back(Bench::OneTask());
  spec.steps[0].tasks = 2;
  jobs::Progress progress;
  const jobs::TaskKey suspect{.step = {}, .index = 0};
  progress.MarkLost(suspect, Incarnation("a"), Crash(1, "box-a"));
  progress.MarkLost(suspect, Incarnation("b"), Crash(2, "box-b"));
  bench.scheduler.AddJob(MakeJob("job", queue, spec, progress, bench.now, {}),
                         bench.now);
  const std::vector<SaveProgress> saves = Only<SaveProgress>(bench.RunPass());
  bench.Save(saves);
  const auto starts = Only<StartRun>(bench.scheduler.TakeActions());
  BOOST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts[0].task.index == 1);
}

BOOST_AUTO_TEST_CASE(SuspicionFollowsFromRecordedLosses) {
  const jobs::WorkerLosses two{{Incarnation("a"), Crash(1, "x")},
                               {Incarnation("b"), Crash(2, "y")}};
  BOOST_CHECK(AssessSuspicion({}, {}, seconds(9)) == Suspicion::kNone);
  BOOST_CHECK(AssessSuspicion({{Incarnation("a"), Crash(1, "x")}}, {},
                              seconds(9)) == Suspicion::kLow);
  BOOST_CHECK(AssessSuspicion(two, {}, seconds(9)) == Suspicion::kProbe);
  // A third loss, not yet known to be a crash.
  jobs::WorkerLosses three = two;
  three[Incarnation("c")] = {.run = 3, .box = "z", .was_sole_suspect = true};
  BOOST_CHECK(AssessSuspicion(three, {}, seconds(1)) == Suspicion::kDeferred);
  BOOST_CHECK(AssessSuspicion(three, {}, seconds(9)) == Suspicion::kProbe);
  BOOST_CHECK(AssessSuspicion(three, {4}, seconds(9)) == Suspicion::kProbe);
  BOOST_CHECK(AssessSuspicion(three, {4, 5}, seconds(9)) == Suspicion::kGiveUp);
  three[Incarnation("c")].has_crashed = true;
  BOOST_CHECK(AssessSuspicion(three, {}, seconds(1)) == Suspicion::kGiveUp);
  // Without a crash while it ran alone, the task is not proven to be the cause.
  three[Incarnation("c")].was_sole_suspect = false;
  BOOST_CHECK(AssessSuspicion(three, {}, seconds(9)) == Suspicion::kProbe);
  // All crashes on one box: the box may be the cause.
  jobs::WorkerLosses one_box{{Incarnation("a"), Crash(1, "x")},
                             {Incarnation("b"), Crash(2, "x")},
                             {Incarnation("c"), Crash(3, "x")}};
  one_box[Incarnation("c")].was_sole_suspect = true;
  BOOST_CHECK(AssessSuspicion(one_box, {}, seconds(9)) == Suspicion::kProbe);
}

// A worker that answers again has not crashed. If another incarnation answers
// on its box, it has.
BOOST_AUTO_TEST_CASE(UnresolvedLossIsSettledByTheNextAnswer) {
  for (const bool answers : {true, false}) {
    Bench bench(1);
    bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
    bench.Report("w", {});
    bench.AddJob("job", Bench::OneLongRunningTask());
    const StartRun start = bench.NextStart();
    bench.scheduler.StartAnswered(start, CommandOutcome::kDone, bench.now);
    bench.scheduler.PollFailed(Incarnation("w"), CommandOutcome::kUnknown,
                               bench.now);
    bench.now += seconds(8);
    bench.RunPass();
    const auto losses = [&] {
      const Job& job = bench.scheduler.all_jobs().at("job");
      const auto found = job.progress.losses.find({.step = {}, .index = 0});
      return found == job.progress.losses.end() ? jobs::WorkerLosses()
                                                : found->second;
    };
    BOOST_REQUIRE(losses().size() == 1U);
    BOOST_TEST(!losses().at(Incarnation("w")).has_crashed);
    if (answers) {
      bench.Report("w", {});
      BOOST_TEST(losses().empty());
      continue;
    }
    WorkerInfo next = Bench::Worker("next");
    next.box = "box-w";
    bench.scheduler.UpdateWorker(next, bench.now);
    bench.Report("next", {});
    BOOST_TEST(losses().at(Incarnation("w")).has_crashed);
  }
}

}  // namespace
}  // namespace quartzhoist::scheduler
