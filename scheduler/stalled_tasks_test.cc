// Tests of the reports about long-running tasks that are not at work.

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/scheduler.h"
#include "testing/scheduler_bench.h"
#include "testing/scheduler_model.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using testing::FirstTask;
using testing::Only;

// Longer than the silences of the tests, in which no run is to be lost.
constexpr base::Micros kLease = seconds(8);

struct TimedReport {
  base::Micros at{};
  LongRunningStalled stalled;
};

// One worker "w", which reports `running`.
struct Bench : testing::SchedulerBench {
  explicit Bench(std::uint64_t epoch) : SchedulerBench(epoch) {}

  // Passes of 300 ms; the worker answers in each one unless it is silent. A run
  // that is not at work makes progress, since it is started elsewhere if not.
  void RunFor(base::Micros span) {
    const base::Micros end = this->now + span;
    while (this->now < end) {
      if (!this->running.empty() && this->running[0].percent < 100)
        this->running[0].percent = this->running[0].percent == 50 ? 51 : 50;
      if (this->answers)
        this->Report("w", {.running = this->running}, this->now + kLease);
      this->Pass();
    }
  }

  void Pass() {
    this->now += milliseconds(300);
    if (this->is_confirmed)
      this->Confirm();
    this->scheduler.Advance(this->now);
    const std::vector<Action> actions = this->scheduler.TakeActions();
    this->Save(Only<SaveProgress>(actions));
    for (const StartRun& start : Only<StartRun>(actions))
      this->scheduler.StartAnswered(start, CommandOutcome::kDone, this->now);
    for (const LongRunningStalled& stalled : Only<LongRunningStalled>(actions))
      this->reports.push_back({.at = this->now, .stalled = stalled});
    for (const CountStalls& stalls : Only<CountStalls>(actions))
      this->counted += stalls.count;
  }

  // The job's only task runs on the worker and is at work.
  void AddServingJob() {
    this->scheduler.UpdateWorker(Worker("w"), this->now);
    this->Report("w", {});
    this->AddJob("job", OneLongRunningTask());
    const StartRun start = this->NextStart();
    this->scheduler.StartAnswered(start, CommandOutcome::kDone, this->now);
    this->SetRun(start.run, 100);
    this->RunFor(seconds(5));
    BOOST_TEST(this->reports.empty());
  }

  void SetRun(int run, int percent) {
    this->running = {{.task = FirstTask("job"),
                      .run = run,
                      .checkpoint = "",
                      .percent = percent}};
  }

  bool answers = true;
  bool is_confirmed = true;
  std::vector<ReportedRun> running;
  std::vector<TimedReport> reports;
  int counted = 0;
};

}  // namespace

// Guards against a service that stands still unnoticed, and against a line in
// each evaluation while it does. The worker is silent at first, then answers
// without the task at work.
BOOST_AUTO_TEST_CASE(StalledTaskIsReportedOnceUntilItRecovers) {
  Bench bench(1);
  bench.AddServingJob();
  const base::Micros stopped = bench.now;
  bench.answers = false;
  bench.RunFor(milliseconds(2600));
  BOOST_TEST(bench.reports.empty());
  bench.RunFor(milliseconds(2300));
  BOOST_REQUIRE(bench.reports.size() == 1U);
  BOOST_TEST(bench.reports[0].stalled.job == "job");
  BOOST_TEST(bench.reports[0].stalled.queue == "queue");
  BOOST_TEST(bench.reports[0].stalled.tasks == 1);
  BOOST_TEST((bench.reports[0].stalled.stalled_for >= seconds(3)));
  BOOST_TEST((bench.reports[0].at - stopped <= seconds(5)));
  BOOST_TEST(bench.scheduler.CountStalledTasks() == 1);
  BOOST_TEST(bench.counted == 1);
  bench.answers = true;
  bench.running[0].percent = 50;
  bench.RunFor(seconds(7));
  BOOST_TEST(bench.counted == 1);
  bench.RunFor(seconds(4));
  BOOST_TEST(bench.counted == 2);
  BOOST_TEST(bench.reports.size() == 1U);
  bench.running[0].percent = 100;
  bench.RunFor(seconds(5));
  BOOST_REQUIRE(bench.reports.size() == 2U);
  BOOST_TEST(bench.reports[1].stalled.tasks == 0);
  BOOST_TEST((bench.reports[1].stalled.stalled_for > seconds(15)));
  BOOST_TEST(bench.scheduler.CountStalledTasks() == 0);
  BOOST_TEST(bench.counted == 2);
}

// Guards against alerts about jobs that have just been accepted, and against
// none about a job that never gets a place.
BOOST_AUTO_TEST_CASE(TaskWithoutAPlaceIsReportedSixSecondsAfterAcceptance) {
  Bench bench(1);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  jobs::Step step = Bench::OneLongRunningTask();
  step.task_resources.memory_mb = 5000;
  bench.AddJob("job", step);
  bench.RunFor(milliseconds(5700));
  BOOST_TEST(bench.reports.empty());
  bench.RunFor(milliseconds(900));
  BOOST_TEST(bench.reports.size() == 1U);
}

// Guards against waiting for six seconds although the first start has failed.
BOOST_AUTO_TEST_CASE(TaskThatIsPlacedButNotAtWorkIsReported) {
  Bench bench(1);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report("w", {});
  bench.AddJob("job", Bench::OneLongRunningTask());
  const StartRun start = bench.NextStart();
  bench.scheduler.StartAnswered(start, CommandOutcome::kDone, bench.now);
  bench.SetRun(start.run, 20);
  bench.RunFor(milliseconds(2000));
  BOOST_TEST(bench.reports.empty());
  bench.RunFor(milliseconds(2400));
  BOOST_TEST(bench.reports.size() == 1U);
}

// Guards against stalls that no owner reports because each counts from its own
// first sight of a task at work: this one never sees it there.
BOOST_AUTO_TEST_CASE(NextOwnerReportsWhatIsNotAtWork) {
  Bench bench(2);
  bench.InheritWorker("w", bench.now + seconds(8));
  bench.AddPlacedJob({.worker = {.id = "w"}, .run = 1},
                     Bench::OneLongRunningTask());
  bench.answers = false;
  bench.RunFor(milliseconds(2700));
  BOOST_TEST(bench.reports.empty());
  bench.RunFor(milliseconds(2100));
  BOOST_REQUIRE(bench.reports.size() == 1U);
  BOOST_TEST(bench.reports[0].stalled.tasks == 1);
}

// Guards against alerts at each takeover.
BOOST_AUTO_TEST_CASE(NextOwnerDoesNotReportWhatIsAtWork) {
  Bench bench(2);
  bench.InheritWorker("w", bench.now + seconds(8));
  bench.AddPlacedJob({.worker = {.id = "w"}, .run = 1},
                     Bench::OneLongRunningTask());
  bench.answers = false;
  bench.RunFor(milliseconds(2100));
  bench.answers = true;
  bench.SetRun(1, 100);
  bench.RunFor(seconds(8));
  BOOST_TEST(bench.reports.empty());
  BOOST_TEST(bench.counted == 0);
}

// Guards against alerts about tasks that are to be away.
BOOST_AUTO_TEST_CASE(CancelledJobIsNotReported) {
  for (const base::Micros silence : {seconds(2), seconds(5)}) {
    Bench bench(1);
    bench.AddServingJob();
    bench.answers = false;
    bench.RunFor(silence);
    const std::size_t reported = bench.reports.size();
    const int counted = bench.counted;
    bench.scheduler.CancelJob("job", bench.now);
    bench.RunFor(seconds(15));
    BOOST_TEST(bench.reports.size() == reported);
    BOOST_TEST(bench.counted == counted);
    BOOST_TEST(bench.scheduler.CountStalledTasks() == 0);
  }
}

// Guards against an alert about every long-running task after an owner stood
// still, or could not poll while the store was away. The gap is longer than a
// task may be silent.
BOOST_AUTO_TEST_CASE(TimeInWhichTheOwnerDidNotPollIsNoStall) {
  Bench bench(1);
  bench.AddServingJob();
  constexpr base::Micros kGap = milliseconds(3500);
  bench.now += kGap;
  bench.Pass();
  bench.RunFor(seconds(6));
  BOOST_TEST(bench.reports.empty());
  // A stall of that time is reported once the owner polls again.
  bench.now += kGap;
  bench.answers = false;
  bench.RunFor(seconds(5));
  BOOST_TEST(bench.reports.size() == 1U);
}

// Guards against alerts from an owner that is cut off and may have been
// replaced, and against missing ones while the store is away.
BOOST_AUTO_TEST_CASE(UnconfirmedOwnerReportsOnlyWhileWorkersAnswer) {
  Bench cut_off(1);
  cut_off.AddServingJob();
  cut_off.is_confirmed = false;
  cut_off.answers = false;
  cut_off.RunFor(seconds(8));
  BOOST_TEST(cut_off.reports.empty());

  Bench bench(1);
  bench.AddServingJob();
  bench.is_confirmed = false;
  bench.running[0].percent = 50;
  bench.RunFor(seconds(5));
  BOOST_TEST(bench.reports.size() == 1U);
}

// Guards against stalls that a takeover hides, and against alerts without one:
// with polls, leases and the start of another run, over two owners.
BOOST_AUTO_TEST_CASE(StallsAreReportedOverATakeover) {
  testing::ModelJob job{.id = "lasting"};
  job.spec.steps = {Bench::OneLongRunningTask()};
  testing::SchedulerModel model(1, {}, 3, {job});
  model.RunFor(seconds(10));
  model.TakeOver();
  model.RunFor(seconds(10));
  BOOST_TEST(model.stall_reports().empty());
  model.SilenceWorkersOf("lasting");
  model.TakeOver();
  model.RunFor(seconds(4));
  BOOST_REQUIRE(model.stall_reports().size() == 1U);
  BOOST_TEST(model.stall_reports()[0].tasks == 1);
  model.RunFor(seconds(20));
  BOOST_REQUIRE(model.stall_reports().size() == 2U);
  BOOST_TEST(model.stall_reports()[1].tasks == 0);
  BOOST_TEST(model.violations().empty());
}

}  // namespace quartzhoist::scheduler
