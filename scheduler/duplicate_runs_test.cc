// Tests of tasks that have runs on two workers.

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <vector>

#include "testing/scheduler_bench.h"

namespace quartzhoist::testing {
namespace {

using scheduler::CommandOutcome;
using scheduler::RunEndReason;
using scheduler::StartRun;
using std::chrono::milliseconds;
using Bench = SchedulerBench;

// A run that an earlier owner has started, and that is not needed: the task is
// placed on worker "a". Its stop has been sent to "b" and was not answered.
// `saved`: the job's row, which records the run before it is stopped.
StartRun StopRunOnSecondWorker(Bench& bench, std::string* saved = nullptr) {
  bench.scheduler.UpdateWorker(Bench::Worker("a"), bench.now);
  bench.Report("a", {});
  bench.AddJob("job");
  StartRun start = bench.NextStart();
  bench.scheduler.LeaseGranted(start.worker, bench.now + milliseconds(2500));
  bench.scheduler.StartAnswered(start, CommandOutcome::kDone, bench.now);
  bench.scheduler.UpdateWorker(Bench::Worker("b"), bench.now);
  bench.Report("b", {.running = {{.task = start.task, .run = start.run + 1}}});
  const auto actions = bench.RunPass();
  BOOST_REQUIRE(Only<scheduler::StopRun>(actions).empty());
  const auto saves = Only<scheduler::SaveProgress>(actions);
  BOOST_REQUIRE(saves.size() == 1);
  bench.Save(saves);
  if (saved)
    *saved = saves.front().text;
  BOOST_REQUIRE(
      !Only<scheduler::StopRun>(bench.scheduler.TakeActions()).empty());
  return start;
}

}  // namespace

// Guards against a start beside a run that is still being stopped elsewhere.
BOOST_AUTO_TEST_CASE(TaskWaitsForItsRunThatIsBeingStoppedElsewhere) {
  Bench bench(2);
  const StartRun start = StopRunOnSecondWorker(bench);
  bench.ReportEnd("a", start.task, start.run, RunEndReason::kLeaseExpired);
  BOOST_TEST(bench.NextStart().task.job == "");
  bench.ReportEnd("b", start.task, start.run + 1, RunEndReason::kStopped);
  const StartRun next = bench.NextStart();
  BOOST_CHECK(next.task == start.task);
  BOOST_TEST(next.run > start.run + 1);
}

// The run that is being stopped may complete first.
BOOST_AUTO_TEST_CASE(TaskDoneByItsRunThatIsBeingStoppedElsewhereStaysDone) {
  Bench bench(2);
  const StartRun start = StopRunOnSecondWorker(bench);
  bench.ReportEnd("a", start.task, start.run, RunEndReason::kLeaseExpired);
  bench.ReportEnd("b", start.task, start.run + 1, RunEndReason::kSucceeded);
  BOOST_TEST(bench.NextStart().task.job == "");
}

// Ends the first run of `StopRunOnSecondWorker`.
static void EndFirstRun(Bench& bench, const StartRun& start) {
  bench.ReportEnd("a", start.task, start.run, RunEndReason::kLeaseExpired);
}

// A task that waits for a run whose worker is lost starts once the lease ends.
BOOST_AUTO_TEST_CASE(TaskStartsWhenTheLeaseOfItsOtherRunEnds) {
  Bench bench(2);
  const StartRun start = StopRunOnSecondWorker(bench);
  EndFirstRun(bench, start);
  BOOST_TEST(bench.NextStart().task.job == "");
  bench.scheduler.WorkerDeregistered("b", bench.now);
  StartRun next;
  for (int i = 0; i < 5 && next.task.job.empty(); ++i) {
    bench.scheduler.PollFailed(bench.LifeOf("b"), CommandOutcome::kUnknown,
                               bench.now);
    next = bench.NextStart();
  }
  BOOST_CHECK(next.task == start.task);
}

// A task that waits for a run whose worker has restarted starts.
BOOST_AUTO_TEST_CASE(TaskStartsWhenTheWorkerOfItsOtherRunHasRestarted) {
  Bench bench(2);
  const StartRun start = StopRunOnSecondWorker(bench);
  EndFirstRun(bench, start);
  BOOST_TEST(bench.NextStart().task.job == "");
  scheduler::WorkerInfo info = Bench::Worker("b");
  info.incarnation.start_ms = 7;
  bench.scheduler.UpdateWorker(info, bench.now);
  BOOST_CHECK(bench.NextStart().task == start.task);
}

// A gang waits for a member's other run, and then starts as a whole.
BOOST_AUTO_TEST_CASE(GangStartsWhenTheOtherRunOfAMemberIsOver) {
  Bench bench(2);
  bench.scheduler.UpdateWorker(Bench::Worker("a"), bench.now);
  bench.Report("a", {});
  jobs::Step step = Bench::OneTask();
  step.tasks = 2;
  step.gang = true;
  bench.AddJob("job", step);
  const StartRun start = bench.NextStart();
  BOOST_REQUIRE(start.task.job == "job");
  const jobs::TaskId first = FirstTask("job");
  jobs::TaskId second = first;
  second.index = 1;
  for (const jobs::TaskId& task : {first, second}) {
    StartRun one = start;
    one.task = task;
    bench.scheduler.LeaseGranted(one.worker, bench.now + milliseconds(2500));
    bench.scheduler.StartAnswered(one, CommandOutcome::kDone, bench.now);
  }
  bench.scheduler.UpdateWorker(Bench::Worker("b"), bench.now);
  bench.Report("b", {.running = {{.task = first, .run = start.run + 1}}});
  bench.Report("a", {.ended = {{.sequence = 1,
                                .task = first,
                                .run = start.run,
                                .reason = RunEndReason::kLeaseExpired},
                               {.sequence = 2,
                                .task = second,
                                .run = start.run,
                                .reason = RunEndReason::kLeaseExpired}}});
  BOOST_TEST(bench.NextStart().task.job == "");
  bench.ReportEnd("b", first, start.run + 1, RunEndReason::kStopped);
  BOOST_TEST(bench.NextStart().task.job == "job");
}

// A cancelled job whose task waits for another run starts nothing more.
BOOST_AUTO_TEST_CASE(CancelledJobThatWaitsForAnotherRunStartsNothing) {
  Bench bench(2);
  const StartRun start = StopRunOnSecondWorker(bench);
  EndFirstRun(bench, start);
  BOOST_TEST(bench.NextStart().task.job == "");
  bench.scheduler.CancelJob("job", bench.now);
  bench.ReportEnd("b", start.task, start.run + 1, RunEndReason::kStopped);
  BOOST_TEST(bench.NextStart().task.job == "");
}

// Guards against a start beside a run that an earlier owner was stopping when
// its worker reported, which is before the job is read.
BOOST_AUTO_TEST_CASE(TaskOfAJobReadLateWaitsForItsRunThatIsBeingStopped) {
  Bench bench(2);
  bench.InheritWorker("a", bench.now + std::chrono::seconds(10));
  bench.Report("a", {});
  const base::Micros stopped_by = bench.now + milliseconds(400);
  bench.now += milliseconds(50);
  bench.AddPlacedJob({.worker = {.id = "a"}, .run = 1});
  std::vector<StartRun> starts;
  for (int i = 0; i < 8 && starts.empty(); ++i) {
    bench.Report("a", {});
    bench.Save(Only<scheduler::SaveProgress>(bench.RunPass()));
    starts = Only<StartRun>(bench.scheduler.TakeActions());
  }
  BOOST_REQUIRE(!starts.empty());
  BOOST_CHECK(bench.now > stopped_by);
}

// As above; the worker has reported the end of the run before the job is read.
BOOST_AUTO_TEST_CASE(TaskOfAJobReadLateStartsAfterTheReportedEndOfItsRun) {
  Bench bench(2);
  bench.scheduler.UpdateWorker(Bench::Worker("a"), bench.now);
  bench.ReportEnd("a", FirstTask("job"), 1, RunEndReason::kStopped);
  bench.AddPlacedJob({.worker = {.id = "a"}, .run = 1});
  BOOST_TEST(bench.scheduler.FindWorker(std::string("a"))->idle());
  bench.Save(Only<scheduler::SaveProgress>(bench.RunPass()));
  BOOST_TEST(!Only<StartRun>(bench.scheduler.TakeActions()).empty());
}

// Guards against an owner that stops a run which an earlier owner started after
// this owner had read the job's row.
BOOST_AUTO_TEST_CASE(RunStartedAfterTheRowWasReadIsKept) {
  Bench bench(3);
  for (const char* id : {"a", "b"}) {
    bench.InheritWorker(id, bench.now + std::chrono::seconds(10));
  }
  bench.AddPlacedJob({.worker = {.id = "a"}, .run = 1001},
                     Bench::OneLongRunningTask());
  bench.Report("b", {.running = {{.task = FirstTask("job"), .run = 1002}}});
  BOOST_TEST(Only<scheduler::StopRun>(bench.RunPass()).empty());
  bench.Report("a", {});
  BOOST_TEST(bench.NextStart().task.job == "");
  const jobs::Progress& kept = bench.scheduler.all_jobs().at("job").progress;
  BOOST_TEST(kept.placed.at({.step = {}, .index = 0}).run == 1002);
}

// As above; the later run is on the worker of the one that the row names.
BOOST_AUTO_TEST_CASE(RunStartedAfterTheRowWasReadIsKeptOnTheSameWorker) {
  Bench bench(2);
  bench.InheritWorker("a", bench.now + std::chrono::seconds(10));
  bench.AddPlacedJob({.worker = {.id = "a"}, .run = 1});
  bench.Report("a", {.running = {{.task = FirstTask("job"), .run = 2}}});
  const auto actions = bench.RunPass();
  BOOST_TEST(Only<scheduler::StopRun>(actions).empty());
  BOOST_TEST(Only<StartRun>(actions).empty());
  const auto& runs = bench.scheduler.FindWorker(std::string("a"))->runs;
  BOOST_TEST(runs.at(FirstTask("job")).number == 2);
}

// Guards against a start beside a run of the task that its worker reports while
// the start is planned there.
BOOST_AUTO_TEST_CASE(ReportedRunTakesThePlaceOfAPlanOnTheSameWorker) {
  Bench bench(2);
  bench.scheduler.UpdateWorker(Bench::Worker("a"), bench.now);
  bench.Report("a", {});
  bench.AddJob("job");
  const auto saves = Only<scheduler::SaveProgress>(bench.RunPass());
  BOOST_REQUIRE(!saves.empty());
  bench.Report("a", {.running = {{.task = FirstTask("job"), .run = 1}}});
  bench.Save(saves);
  const auto actions = bench.scheduler.TakeActions();
  BOOST_TEST(Only<StartRun>(actions).empty());
  BOOST_TEST(Only<scheduler::StopRun>(actions).empty());
  const auto& runs = bench.scheduler.FindWorker(std::string("a"))->runs;
  BOOST_TEST(runs.at(FirstTask("job")).number == 1);
}

// Guards against a start beside a run that an earlier owner was stopping, on a
// worker that has not reported to this owner yet.
BOOST_AUTO_TEST_CASE(NextOwnerWaitsForTheRunThatIsBeingStoppedElsewhere) {
  Bench earlier(2);
  std::string saved;
  const StartRun start = StopRunOnSecondWorker(earlier, &saved);
  for (int i = 0; i < 4; ++i) {
    earlier.Report("a", {.running = {{.task = start.task, .run = start.run}}});
    const auto actions = earlier.RunPass();
    const auto saves = Only<scheduler::SaveProgress>(actions);
    earlier.Save(saves);
    for (const scheduler::SaveProgress& save : saves)
      saved = save.text;
  }
  const auto progress = jobs::DecodeProgress(saved);
  jobs::Progress inherited;
  inherited.placed[{.step = {}, .index = 0}] = {.worker = {.id = "a"},
                                                .run = start.run};
  if (progress)
    inherited = *progress;
  Bench bench(3);
  for (const char* id : {"a", "b"}) {
    bench.InheritWorker(id, bench.now + std::chrono::seconds(10));
  }
  bench.scheduler.UpdateWorker(Bench::Worker("c"), bench.now);
  bench.Report("c", {});
  bench.AddJobWithProgress("job", Bench::OneTask(), inherited);
  EndFirstRun(bench, start);
  BOOST_TEST(bench.NextStart().task.job == "");
}

}  // namespace quartzhoist::testing
