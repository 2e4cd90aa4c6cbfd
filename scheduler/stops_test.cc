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

}  // namespace quartzhoist::testing
