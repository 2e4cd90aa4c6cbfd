// Tests of runs and ends that a worker's report does not list.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/scheduler.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using testing::FirstTask;
using testing::Only;
using Bench = testing::SchedulerBench;

// A run whose start and first stop got no answers is reported as running by
// `w`; another worker is free.
Bench BenchWithLateStop() {
  Bench bench(1);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report("w", {});
  bench.AddJob("job");
  const StartRun start = bench.NextStart();
  bench.scheduler.LeaseGranted(bench.LifeOf("w"), bench.now + seconds(8));
  bench.scheduler.StartAnswered(start, CommandOutcome::kUnknown, bench.now);
  BOOST_REQUIRE(Only<StopRun>(bench.RunPass()).size() == 1U);
  WorkerReport report;
  report.running.push_back(
      {.task = FirstTask("job"), .run = start.run, .percent = 10});
  bench.Report("w", report);
  bench.scheduler.UpdateWorker(Bench::Worker("other"), bench.now);
  bench.Report("other", {});
  bench.RunPass();
  return bench;
}

ReportedEnd Done(std::int64_t sequence, const jobs::TaskId& task, int run) {
  return {.sequence = sequence,
          .task = task,
          .run = run,
          .reason = RunEndReason::kSucceeded,
          .checkpoint = ""};
}

// A report whose list of ends is cut after `end`.
WorkerReport CutAfter(const ReportedEnd& end) {
  WorkerReport report;
  report.ended.push_back(end);
  report.may_omit_ends = true;
  return report;
}

// Runs passes for 2 s in which `w` answers each poll with `report` while no row
// can be saved.
void RepeatWithoutSaves(Bench& bench, const WorkerReport& report) {
  for (int i = 0; i < 6; ++i) {
    bench.Report("w", report, bench.now + seconds(4));
    const std::vector<Action> actions = bench.RunPass();
    BOOST_TEST(Only<StartRun>(actions).empty());
    for (const StopRun& stop : Only<StopRun>(actions))
      bench.scheduler.StopAnswered(stop, CommandOutcome::kDone, bench.now);
    for (const SaveProgress& save : Only<SaveProgress>(actions)) {
      bench.scheduler.ProgressSaved({.job = save.job,
                                     .change = save.change,
                                     .outcome = SaveOutcome::kFailed,
                                     .version = 0,
                                     .stored = {}},
                                    bench.now);
    }
  }
}

// Runs passes in which `w` answers each poll with `report` and saves succeed.
// Returns the highest acknowledged end.
std::int64_t AcknowledgedAfterSaves(Bench& bench, const WorkerReport& report) {
  std::int64_t acknowledged = 0;
  for (int i = 0; i < 6; ++i) {
    bench.Report("w", report, bench.now + seconds(4));
    const std::vector<Action> actions = bench.RunPass();
    BOOST_TEST(Only<StartRun>(actions).empty());
    for (const PollWorker& poll : Only<PollWorker>(actions))
      acknowledged = std::max(acknowledged, poll.acknowledged);
    bench.Save(Only<SaveProgress>(actions));
  }
  return acknowledged;
}

// The number of the task's run that `w` is known to have; 0 if there is none.
int KnownRun(const Bench& bench, const jobs::TaskId& task) {
  const Worker& worker = *bench.scheduler.FindWorker("w");
  const auto run = worker.runs.find(task);
  return run == worker.runs.end() ? 0 : run->second.number;
}

// The state that the last of these saves records for its job.
jobs::JobState LastState(const std::vector<SaveProgress>& saves) {
  BOOST_REQUIRE(!saves.empty());
  return jobs::DecodeProgress(saves.back().text)->state;
}

struct TwoRuns {
  StartRun first;
  StartRun second;
};

// Two jobs of one task each on worker "w"; the start of the second is answered
// with `second_outcome`.
TwoRuns StartTwoRuns(Bench& bench, CommandOutcome second_outcome) {
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report("w", {}, bench.now + seconds(8));
  bench.AddJob("first");
  const StartRun first = bench.NextStart();
  bench.scheduler.StartAnswered(first, CommandOutcome::kDone, bench.now);
  bench.AddJob("second");
  const StartRun second = bench.NextStart();
  bench.scheduler.StartAnswered(second, second_outcome, bench.now);
  return {.first = first, .second = second};
}

// Tasks that had completed were started again: their ends could not be recorded
// during an outage of the store, so that later ends on the worker were not
// listed.
BOOST_AUTO_TEST_CASE(EndsBehindACutListAreNotTakenForLostRuns) {
  Bench bench(1);
  const auto [first, second] = StartTwoRuns(bench, CommandOutcome::kDone);
  WorkerReport running;
  for (const StartRun& start : {first, second})
    running.running.push_back({.task = start.task, .run = start.run});
  bench.Report("w", running);

  const WorkerReport cut = CutAfter(Done(1, first.task, first.run));
  RepeatWithoutSaves(bench, cut);
  BOOST_TEST(KnownRun(bench, second.task) == second.run);

  BOOST_TEST(AcknowledgedAfterSaves(bench, cut) == 1);
  bench.Report("w", {.ended = {Done(2, second.task, second.run)}});
  BOOST_CHECK(LastState(Only<SaveProgress>(bench.RunPass())) ==
              jobs::JobState::kCompleted);
}

// A run is lost if a complete list of ends does not name it.
BOOST_AUTO_TEST_CASE(RunMissingFromACompleteListAfterACutOneIsLost) {
  Bench bench(1);
  const auto [first, second] = StartTwoRuns(bench, CommandOutcome::kDone);
  const WorkerReport cut = CutAfter(Done(1, first.task, first.run));
  RepeatWithoutSaves(bench, cut);
  BOOST_TEST(AcknowledgedAfterSaves(bench, cut) == 1);
  bench.Report("w", {});
  BOOST_TEST(KnownRun(bench, second.task) == 0);
  const StartRun again = bench.NextStart();
  BOOST_CHECK(again.task == second.task);
  BOOST_TEST(again.run == second.run + 1);
}

// An unanswered start whose end is behind the cut must neither be taken for
// lost nor keep the ends before it from being acknowledged, since its own end
// would then never be listed.
BOOST_AUTO_TEST_CASE(UnansweredStartBehindACutListLetsEndsBeAcknowledged) {
  Bench bench(1);
  const auto [first, second] = StartTwoRuns(bench, CommandOutcome::kUnknown);

  const WorkerReport cut = CutAfter(Done(1, first.task, first.run));
  RepeatWithoutSaves(bench, cut);
  BOOST_TEST(KnownRun(bench, second.task) == second.run);

  BOOST_TEST(AcknowledgedAfterSaves(bench, cut) == 1);
  bench.Report("w", {.ended = {Done(2, second.task, second.run)}});
  BOOST_CHECK(LastState(Only<SaveProgress>(bench.RunPass())) ==
              jobs::JobState::kCompleted);
}

// An owner that had just taken over started a completed task again: it read the
// job after the worker's first report, whose list of ends was cut before the
// task's end.
BOOST_AUTO_TEST_CASE(InheritedRunBehindACutListIsWaitedFor) {
  Bench bench(2);
  bench.InheritWorker("w", bench.now + seconds(8));
  const WorkerReport cut = CutAfter(Done(1, FirstTask("unknown"), 1));
  bench.Report("w", cut);
  bench.now += seconds(1);
  const jobs::WorkerIncarnation worker = bench.LifeOf("w");
  bench.AddPlacedJob({.worker = worker, .run = 1});
  RepeatWithoutSaves(bench, cut);
  BOOST_TEST(KnownRun(bench, FirstTask("job")) == 1);

  bench.scheduler.UnknownJobIsOver("unknown", bench.now);
  BOOST_TEST(AcknowledgedAfterSaves(bench, cut) == 1);
  bench.Report("w", {.ended = {Done(2, FirstTask("job"), 1)}});
  BOOST_CHECK(LastState(Only<SaveProgress>(bench.RunPass())) ==
              jobs::JobState::kCompleted);
}

// A recorded stop of an earlier owner whose end is behind the cut was taken for
// over, and its task was started again.
BOOST_AUTO_TEST_CASE(RecordedStopBehindACutListIsWaitedFor) {
  Bench bench(2);
  bench.InheritWorker("w", bench.now + seconds(8));
  const WorkerReport cut = CutAfter(Done(1, FirstTask("unknown"), 1));
  bench.Report("w", cut);
  bench.now += seconds(1);
  jobs::Progress progress;
  progress.stopping[{.step = {}, .index = 0}].insert(
      {.worker = bench.LifeOf("w"), .run = 1});
  bench.AddJobWithProgress("job", Bench::OneTask(), progress);
  RepeatWithoutSaves(bench, cut);
  BOOST_TEST(KnownRun(bench, FirstTask("job")) == 1);
}

// A worker that leaves was forgotten with the ends that its cut list had not
// named, and their tasks were started again.
BOOST_AUTO_TEST_CASE(WithdrawnWorkerIsKeptUntilItsEndsAreListed) {
  Bench bench(2);
  bench.InheritWorker("w", bench.now + seconds(8));
  bench.Report("w", CutAfter(Done(1, FirstTask("unknown"), 1)));
  bench.scheduler.WorkerDeregistered("w", bench.now);
  BOOST_TEST(bench.scheduler.FindWorker("w") != nullptr);
  bench.Report("w", {.ended = {Done(1, FirstTask("unknown"), 1),
                               Done(2, FirstTask("job"), 1)}});
  bench.scheduler.WorkerDeregistered("w", bench.now);
  BOOST_TEST(bench.scheduler.FindWorker("w") == nullptr);
}

// A task was started a second time while its first run was being stopped: the
// time that a stop may take was counted from when a long poll was sent, though
// the stop was carried out while the worker held the poll open.
BOOST_AUTO_TEST_CASE(RunStoppedDuringALongPollIsNotRepeatedBeforeItsEnd) {
  Bench bench = BenchWithLateStop();
  const jobs::WorkerIncarnation worker = bench.LifeOf("w");
  bench.scheduler.PollSent({.worker = worker}, bench.now);
  bench.now += milliseconds(1000);
  const base::Micros stop_begun_before = bench.now;
  bench.scheduler.WorkerReported(
      worker, {.incarnation = worker, .clock_ms = base::Millis(bench.now)},
      bench.now);
  StartRun again;
  while (again.worker.empty() && bench.now < stop_begun_before + seconds(3)) {
    bench.now += milliseconds(40);
    bench.Report("w", {});
    bench.Confirm();
    bench.scheduler.Advance(bench.now);
    bench.Save(Only<SaveProgress>(bench.scheduler.TakeActions()));
    for (const StartRun& start : Only<StartRun>(bench.scheduler.TakeActions()))
      again = start;
  }
  BOOST_TEST(again.run == 2);
  BOOST_CHECK(bench.now > stop_begun_before + milliseconds(400));
}

}  // namespace
}  // namespace quartzhoist::scheduler
