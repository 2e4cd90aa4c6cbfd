// Tests of runs that are being stopped while their task is placed elsewhere:
// which of them the job's row records, and what a later owner does about them.

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
using Bench = SchedulerBench;

enum class SavesBetweenReports { kNone, kOne };

// An earlier owner's row of a job whose task is placed on "a" as `placed`,
// after "b" and "c" have reported later runs of it and their stops have been
// sent.
struct RowWithTwoStops {
  StartRun placed;
  std::string text;
};

RowWithTwoStops StopRunsOnTwoWorkers(SavesBetweenReports saves_between) {
  Bench bench(2);
  bench.scheduler.UpdateWorker(Bench::Worker("a"), bench.now);
  bench.Report("a", {});
  bench.AddJob("job");
  RowWithTwoStops row{.placed = bench.NextStart(), .text = ""};
  bench.scheduler.LeaseGranted(row.placed.worker,
                               bench.now + std::chrono::seconds(5));
  bench.scheduler.StartAnswered(row.placed, CommandOutcome::kDone, bench.now);
  std::vector<std::string> stopped;
  const auto save = [&] {
    const auto saves = Only<scheduler::SaveProgress>(bench.RunPass());
    bench.Save(saves);
    for (const scheduler::SaveProgress& saved : saves)
      row.text = saved.text;
    for (const auto& stop :
         Only<scheduler::StopRun>(bench.scheduler.TakeActions()))
      stopped.push_back(stop.worker.id);
  };
  int run = row.placed.run;
  for (const char* id : {"b", "c"}) {
    bench.scheduler.UpdateWorker(Bench::Worker(id), bench.now);
    bench.Report(id, {.running = {{.task = row.placed.task, .run = ++run}}});
    if (saves_between == SavesBetweenReports::kOne)
      save();
  }
  save();
  BOOST_TEST(stopped == (std::vector<std::string>{"b", "c"}),
             boost::test_tools::per_element());
  return row;
}

// `id` shows no run for longer than a stop takes. Returns the first start, also
// of the time after that.
StartRun StartWhileReporting(Bench& bench, const std::string& id) {
  for (int i = 0; i < 3; ++i) {
    bench.Report(id, {});
    const auto actions = bench.RunPass();
    const auto starts = Only<StartRun>(actions);
    if (!starts.empty())
      return starts.front();
    bench.Save(Only<scheduler::SaveProgress>(actions));
  }
  return bench.NextStart();
}

// The first start by the next owner: the run on "a" has ended, `reporting`
// shows no run for longer than a stop takes, and "d" is idle. The other one of
// "b" and "c" has not reported.
StartRun NextStartAfter(const RowWithTwoStops& row,
                        const std::string& reporting) {
  const auto progress = jobs::DecodeProgress(row.text);
  BOOST_REQUIRE(progress.has_value());
  Bench bench(3);
  for (const char* id : {"a", "b", "c"})
    bench.InheritWorker(id, bench.now + std::chrono::seconds(10));
  bench.scheduler.UpdateWorker(Bench::Worker("d"), bench.now);
  bench.Report("d", {});
  bench.AddJobWithProgress("job", Bench::OneTask(), *progress);
  bench.ReportEnd("a", row.placed.task, row.placed.run,
                  RunEndReason::kLeaseExpired);
  return StartWhileReporting(bench, reporting);
}

}  // namespace

// Guards against a start beside one of two runs of the task that an earlier
// owner was stopping, when the row recorded only the later one.
BOOST_AUTO_TEST_CASE(NextOwnerWaitsForEachRunThatIsBeingStoppedElsewhere) {
  for (const auto saves_between :
       {SavesBetweenReports::kNone, SavesBetweenReports::kOne}) {
    const RowWithTwoStops row = StopRunsOnTwoWorkers(saves_between);
    BOOST_TEST(NextStartAfter(row, "b").task.job == "");
    BOOST_TEST(NextStartAfter(row, "c").task.job == "");
  }
}

// Guards against a run that is being stopped and whose resources no later owner
// counts: the record of another run of the task, made as the task was done,
// took its place.
BOOST_AUTO_TEST_CASE(DoneTaskKeepsTheRecordsOfItsRunsThatAreBeingStopped) {
  Bench bench(2);
  for (const char* id : {"a", "b", "c"})
    bench.scheduler.UpdateWorker(Bench::Worker(id), bench.now);
  bench.Report("a", {.running = {{.task = FirstTask("job"), .run = 2}}});
  bench.Report("b", {.running = {{.task = FirstTask("job"), .run = 3}}});
  bench.AddJob("job");
  bench.Save(Only<scheduler::SaveProgress>(bench.RunPass()));
  bench.ReportEnd("c", FirstTask("job"), 1, RunEndReason::kSucceeded);
  const auto saves = Only<scheduler::SaveProgress>(bench.RunPass());
  BOOST_REQUIRE(!saves.empty());
  for (const char* run : {R"(["a",2,0])", R"(["b",3,0])"})
    BOOST_TEST((saves.front().text.find(run) != std::string::npos),
               saves.front().text);
}

namespace {

// Worker "a" has shown no run for longer than a stop takes; "b" may hold a
// lease of an earlier owner and has not reported.
void AddEmptyAndSilentWorker(Bench& bench) {
  bench.scheduler.UpdateWorker(Bench::Worker("a"), bench.now);
  bench.InheritWorker("b", bench.now + std::chrono::seconds(10));
  for (int i = 0; i < 3; ++i) {
    bench.Report("a", {});
    bench.RunPass();
  }
}

// The row of a job whose task is placed on `worker`, and whose run on "b" an
// earlier owner was stopping.
jobs::Progress RowWithStopOnB(const std::string& worker) {
  return jobs::DecodeProgress(
             R"({"state":"running","placed":{"0.0.0":[")" + worker +
             R"(",1001,0]},"stopping":{"0.0.0":["b",1002,0]}})")
      .value();
}

}  // namespace

// Guards against a start beside a run that an earlier owner was stopping, when
// the recorded placement is over before the job is read.
BOOST_AUTO_TEST_CASE(TaskWithoutAPlacementWaitsForItsRecordedStop) {
  for (const char* placed_on : {"a", "gone"}) {
    Bench bench(3);
    AddEmptyAndSilentWorker(bench);
    bench.AddJobWithProgress("job", Bench::OneTask(),
                             RowWithStopOnB(placed_on));
    BOOST_TEST(bench.NextStart().task.job == "", placed_on);
    BOOST_TEST(StartWhileReporting(bench, "b").task.job == "job", placed_on);
  }
}

// As above; the row is read when it refuses the save of this owner's plan.
BOOST_AUTO_TEST_CASE(PlanGivesWayToTheStopInARowOfAnotherWriter) {
  Bench bench(3);
  AddEmptyAndSilentWorker(bench);
  bench.AddJob("job");
  const auto saves = Only<scheduler::SaveProgress>(bench.RunPass());
  BOOST_REQUIRE(saves.size() == 1);
  bench.scheduler.ProgressSaved({.job = "job",
                                 .change = saves.front().change,
                                 .outcome = scheduler::SaveOutcome::kConflict,
                                 .version = 7,
                                 .stored = RowWithStopOnB("a")},
                                bench.now);
  bench.Save(Only<scheduler::SaveProgress>(bench.RunPass()));
  BOOST_TEST(Only<StartRun>(bench.scheduler.TakeActions()).empty());
  BOOST_TEST(bench.NextStart().task.job == "");
  BOOST_TEST(StartWhileReporting(bench, "b").task.job == "job");
}

// As above; a member of a gang. The other members do not start without it.
BOOST_AUTO_TEST_CASE(GangWaitsForTheRecordedStopOfAMember) {
  Bench bench(3);
  AddEmptyAndSilentWorker(bench);
  jobs::Step step = Bench::OneTask();
  step.tasks = 2;
  step.gang = true;
  bench.AddJobWithProgress(
      "job", step,
      jobs::DecodeProgress(
          R"({"state":"running","stopping":{"0.0.1":["b",1002,0]}})")
          .value());
  BOOST_TEST(bench.NextStart().task.job == "");
  BOOST_TEST(StartWhileReporting(bench, "b").task.job == "job");
}

// Guards against a start beside a run that an earlier owner was stopping, after
// a later run of the task has taken the place of the recorded placement.
BOOST_AUTO_TEST_CASE(LaterRunLeavesTheRecordedStopToBeWaitedFor) {
  Bench bench(3);
  AddEmptyAndSilentWorker(bench);
  bench.InheritWorker("c", bench.now + std::chrono::seconds(10));
  bench.AddJobWithProgress("job", Bench::OneTask(), RowWithStopOnB("c"));
  bench.ReportEnd("c", FirstTask("job"), 1001, RunEndReason::kLeaseExpired);
  bench.scheduler.UpdateWorker(Bench::Worker("d"), bench.now);
  bench.Report("d", {.running = {{.task = FirstTask("job"), .run = 1003}}});
  const auto actions = bench.RunPass();
  BOOST_TEST(Only<scheduler::StopRun>(actions).empty());
  bench.Save(Only<scheduler::SaveProgress>(actions));
  bench.ReportEnd("d", FirstTask("job"), 1003, RunEndReason::kLeaseExpired);
  BOOST_TEST(bench.NextStart().task.job == "");
  BOOST_TEST(StartWhileReporting(bench, "b").task.job == "job");
}

namespace {

// Requires that the stop of the run on "b" is sent only after a row that names
// the run has been saved.
void RequireStopOnBOnceRecorded(Bench& bench) {
  const auto actions = bench.RunPass();
  BOOST_TEST(Only<scheduler::StopRun>(actions).empty());
  const auto saves = Only<scheduler::SaveProgress>(actions);
  BOOST_REQUIRE(saves.size() == 1);
  BOOST_TEST((saves.front().text.find(R"("stopping":{"0.0.0":["b",)") !=
              std::string::npos),
             saves.front().text);
  bench.Save(saves);
  const auto stops = Only<scheduler::StopRun>(bench.scheduler.TakeActions());
  BOOST_REQUIRE(stops.size() == 1);
  BOOST_TEST(stops.front().worker.id == "b");
}

}  // namespace

// Guards against a start beside a run whose stop was sent before the end of its
// task was saved: with the worker that reported that end, the next owner loses
// the end too.
BOOST_AUTO_TEST_CASE(RunOfATaskWhoseEndIsUnsavedIsRecordedBeforeItIsStopped) {
  Bench bench(2);
  bench.scheduler.UpdateWorker(Bench::Worker("a"), bench.now);
  bench.Report("a", {});
  bench.AddJob("job");
  const StartRun start = bench.NextStart();
  bench.scheduler.StartAnswered(start, CommandOutcome::kDone, bench.now);
  bench.ReportEnd("a", start.task, start.run, RunEndReason::kSucceeded);
  bench.scheduler.UpdateWorker(Bench::Worker("b"), bench.now);
  bench.Report("b", {.running = {{.task = start.task, .run = start.run + 1}}});
  RequireStopOnBOnceRecorded(bench);
}

// As above; the run had become the task's placement, and that is unsaved too.
BOOST_AUTO_TEST_CASE(RunThatWasJustAdoptedIsRecordedBeforeItIsStopped) {
  Bench bench(2);
  for (const char* id : {"a", "b"})
    bench.scheduler.UpdateWorker(Bench::Worker(id), bench.now);
  bench.AddJob("job");
  bench.Report("b", {.running = {{.task = FirstTask("job"), .run = 2}}});
  bench.ReportEnd("a", FirstTask("job"), 1, RunEndReason::kSucceeded);
  RequireStopOnBOnceRecorded(bench);
}

// Guards against a start beside an older run that is being stopped on the
// worker which has refused the start of the newer one.
BOOST_AUTO_TEST_CASE(RefusedStartWaitsForTheOlderRunThatIsBeingStoppedThere) {
  Bench bench(2);
  for (const char* id : {"a", "d"}) {
    bench.scheduler.UpdateWorker(Bench::Worker(id), bench.now);
    bench.Report(id, {});
  }
  bench.AddJob("job");
  const StartRun start = bench.NextStart();
  const std::string worker = start.worker.id;
  bench.Report(worker,
               {.running = {{.task = start.task, .run = start.run - 1}}},
               bench.now + std::chrono::seconds(5));
  BOOST_TEST(Only<scheduler::StopRun>(bench.scheduler.TakeActions()).size() ==
             1);
  bench.scheduler.StartAnswered(start, CommandOutcome::kBusy, bench.now);
  BOOST_TEST(bench.NextStart().task.job == "");
  for (const char* id : {"a", "d"})
    bench.scheduler.UpdateWorker(Bench::Worker(id), bench.now);
  bench.scheduler.StopAnswered(
      {.worker = start.worker, .task = start.task, .run = start.run},
      CommandOutcome::kDone, bench.now);
  BOOST_TEST(StartWhileReporting(bench, worker).task.job == "job");
}

namespace {

// This owner has adopted run 1002 on "b", and the save of that is refused by a
// row in which an earlier owner has placed run 1005 on `placed_on`.
void RefuseTheSaveOfAnAdoption(Bench& bench, const char* placed_on) {
  bench.scheduler.UpdateWorker(Bench::Worker("d"), bench.now);
  bench.Report("d", {});
  bench.InheritWorker("b", bench.now + std::chrono::seconds(10));
  bench.AddJob("job");
  bench.Report("b", {.running = {{.task = FirstTask("job"), .run = 1002}}},
               bench.now + std::chrono::seconds(5));
  const auto saves = Only<scheduler::SaveProgress>(bench.RunPass());
  BOOST_REQUIRE(saves.size() == 1);
  jobs::Progress stored;
  stored.placed[{.step = {}, .index = 0}] = {.worker = {.id = placed_on},
                                             .run = 1005};
  bench.scheduler.ProgressSaved({.job = "job",
                                 .change = saves.front().change,
                                 .outcome = scheduler::SaveOutcome::kConflict,
                                 .version = 7,
                                 .stored = stored},
                                bench.now);
}

}  // namespace

// Guards against a start beside a reported run that was dropped when the row of
// a refused save named a later placement.
BOOST_AUTO_TEST_CASE(AdoptedRunIsWaitedForAfterALaterPlacementIsRead) {
  Bench bench(3);
  bench.InheritWorker("a", bench.now + std::chrono::seconds(10));
  RefuseTheSaveOfAnAdoption(bench, "a");
  bench.ReportEnd("a", FirstTask("job"), 1005, RunEndReason::kLeaseExpired);
  BOOST_TEST(bench.NextStart().task.job == "");
}

// As above; the later placement is over. The row names the reported run.
BOOST_AUTO_TEST_CASE(RowNamesTheAdoptedRunWhenALaterPlacementIsOver) {
  Bench bench(3);
  RefuseTheSaveOfAnAdoption(bench, "gone");
  const auto saves = Only<scheduler::SaveProgress>(bench.RunPass());
  BOOST_REQUIRE(saves.size() == 1);
  BOOST_TEST((saves.front().text.find(R"("placed":{"0.0.0":["b",1002,0]})") !=
              std::string::npos),
             saves.front().text);
}

// A next owner does not start a task beside a given-up run that a restarted
// worker has begun late, and whose stop the earlier owner has sent again.
BOOST_AUTO_TEST_CASE(
    NextOwnerWaitsForTheLateRunThatARestartedWorkerIsStopping) {
  Bench earlier(2);
  earlier.scheduler.UpdateWorker(Bench::Worker("b"), earlier.now);
  earlier.Report("b", {});
  earlier.AddJob("job");
  const StartRun given_up = earlier.NextStart();
  const auto lease_end = earlier.now + std::chrono::seconds(10);
  earlier.scheduler.LeaseGranted(given_up.worker, lease_end);
  earlier.scheduler.StartAnswered(given_up, CommandOutcome::kUnknown,
                                  earlier.now);
  earlier.scheduler.StopAnswered(
      {.worker = given_up.worker, .task = given_up.task, .run = given_up.run},
      CommandOutcome::kDone, earlier.now);
  scheduler::WorkerInfo b = Bench::Worker("b");
  b.draining = true;
  earlier.scheduler.UpdateWorker(b, earlier.now);
  earlier.scheduler.UpdateWorker(Bench::Worker("c"), earlier.now);
  earlier.Report("c", {}, lease_end);
  const StartRun placed = StartWhileReporting(earlier, "b");
  BOOST_REQUIRE(placed.worker.id == "c");
  earlier.scheduler.StartAnswered(placed, CommandOutcome::kDone, earlier.now);
  b.incarnation.start_ms = 7;
  earlier.scheduler.UpdateWorker(b, earlier.now);
  const auto actions = earlier.RunPass();
  BOOST_REQUIRE(Only<scheduler::StopRun>(actions).size() == 1);
  jobs::Progress row = earlier.scheduler.all_jobs().at("job").progress;

  Bench bench(3);
  bench.scheduler.InheritWorker(b, bench.now + std::chrono::seconds(10));
  bench.scheduler.UpdateWorker(b, bench.now);
  bench.InheritWorker("c", bench.now + std::chrono::seconds(10));
  bench.AddJobWithProgress("job", Bench::OneTask(), row);
  bench.ReportEnd("c", placed.task, placed.run, RunEndReason::kLeaseExpired);
  BOOST_TEST(bench.NextStart().task.job == "");
}

}  // namespace quartzhoist::testing
