// Tests of the reports about failed jobs: one for each, by the owner that saves
// the failure.

#include <optional>
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

struct Bench : testing::SchedulerBench {
  explicit Bench(std::uint64_t epoch) : SchedulerBench(epoch) {}

  // A job "job" with one attempt, whose task runs on the worker "w" as `run`.
  void AddPlacedJobWithOneAttempt(int run) {
    this->InheritWorker("w", this->now + seconds(8));
    jobs::Queue queue;
    queue.name = "queue";
    queue.service = "pool";
    queue.attempts = 1;
    jobs::JobSpec spec;
    spec.steps.push_back(OneTask());
    jobs::Progress progress;
    progress.placed[{.step = {}, .index = 0}] = {.worker = {.id = "w"},
                                                 .run = run};
    this->scheduler.AddJob(MakeJob("job", queue, spec, progress, this->now, {}),
                           this->now);
  }

  // The run has failed. Returns the save of the job's failure.
  SaveProgress FailRun(int run) {
    this->ReportEnd("w", FirstTask("job"), run, RunEndReason::kFailed);
    return this->NextSave();
  }

  SaveProgress NextSave() {
    const std::vector<Action> actions = this->RunPass();
    BOOST_TEST(Only<JobFailed>(actions).empty());
    const auto saves = Only<SaveProgress>(actions);
    BOOST_REQUIRE(saves.size() == 1U);
    return saves[0];
  }

  void Answer(const SaveProgress& save,
              SaveOutcome outcome,
              const std::optional<jobs::Progress>& stored = {}) {
    this->scheduler.ProgressSaved({.job = save.job,
                                   .change = save.change,
                                   .outcome = outcome,
                                   .version = ++this->version,
                                   .stored = stored},
                                  this->now);
  }

  std::vector<JobFailed> TakeReports() {
    return Only<JobFailed>(this->scheduler.TakeActions());
  }
};

}  // namespace

// Guards against reports of failures that are not in the store, and against one
// for each later save of the job. The store is away for the first save.
BOOST_AUTO_TEST_CASE(FailureIsReportedOnceWhenItIsSaved) {
  Bench bench(1);
  bench.AddPlacedJobWithOneAttempt(1);
  bench.Answer(bench.FailRun(1), SaveOutcome::kFailed);
  BOOST_TEST(bench.TakeReports().empty());
  bench.Answer(bench.NextSave(), SaveOutcome::kSaved);
  const auto reports = bench.TakeReports();
  BOOST_REQUIRE(reports.size() == 1U);
  BOOST_TEST(reports[0].job == "job");
  BOOST_TEST(reports[0].queue == "queue");
  BOOST_TEST((reports[0].task == jobs::TaskKey{}));
  BOOST_TEST((reports[0].cause == FailureCause::kAttempts));
  for (int i = 0; i < 5; ++i) {
    const std::vector<Action> actions = bench.RunPass();
    BOOST_TEST(Only<JobFailed>(actions).empty());
    bench.Save(Only<SaveProgress>(actions));
    BOOST_TEST(bench.TakeReports().empty());
  }
}

// Guards against a failure that nobody reports since its finder was replaced
// before it saved it, and against a second report by an owner that reads it.
BOOST_AUTO_TEST_CASE(NextOwnerReportsOnlyAFailureThatItSaves) {
  Bench first(1);
  first.AddPlacedJobWithOneAttempt(1);
  const SaveProgress lost = first.FailRun(1);
  BOOST_TEST(first.TakeReports().empty());

  Bench second(2);
  second.AddPlacedJobWithOneAttempt(1);
  const SaveProgress save = second.FailRun(1);
  second.Answer(save, SaveOutcome::kSaved);
  BOOST_TEST(second.TakeReports().size() == 1U);

  Bench third(3);
  third.AddJobWithProgress("job", Bench::OneTask(),
                           jobs::DecodeProgress(save.text).value());
  for (int i = 0; i < 5; ++i) {
    const std::vector<Action> actions = third.RunPass();
    BOOST_TEST(Only<JobFailed>(actions).empty());
    third.Save(Only<SaveProgress>(actions));
    BOOST_TEST(third.TakeReports().empty());
  }
}

// Guards against two reports of a failure that two owners have found: the save
// of one is refused and shows the other's.
BOOST_AUTO_TEST_CASE(FailureSavedByAnotherOwnerIsNotReported) {
  Bench other(1);
  other.AddPlacedJobWithOneAttempt(1);
  jobs::Progress stored = jobs::DecodeProgress(other.FailRun(1).text).value();
  stored.MarkFailed({.step = {}, .index = 0}, 2);
  Bench bench(2);
  bench.AddPlacedJobWithOneAttempt(1);
  const SaveProgress save = bench.FailRun(1);
  bench.Answer(save, SaveOutcome::kConflict, stored);
  bench.Answer(bench.NextSave(), SaveOutcome::kSaved);
  BOOST_TEST(bench.TakeReports().empty());
}

// Guards against no report at all when the owner's save was carried out, its
// answer was lost, and the next save finds the owner's own row.
BOOST_AUTO_TEST_CASE(FailureInARowOfTheOwnerIsReported) {
  Bench bench(2);
  bench.AddPlacedJobWithOneAttempt(1);
  const SaveProgress first = bench.FailRun(1);
  bench.Answer(first, SaveOutcome::kFailed);
  bench.Answer(bench.NextSave(), SaveOutcome::kConflict,
               jobs::DecodeProgress(first.text));
  BOOST_TEST(bench.TakeReports().empty());
  bench.Answer(bench.NextSave(), SaveOutcome::kSaved);
  BOOST_TEST(bench.TakeReports().size() == 1U);
}

// Guards against the wrong cause: no attempt has failed.
BOOST_AUTO_TEST_CASE(JobOfACrashingTaskIsReportedAsGivenUp) {
  Bench bench(2);
  jobs::Progress progress;
  for (const int run : {1, 2, 3}) {
    progress.MarkLost({.step = {}, .index = 0},
                      {.id = "lost-" + std::to_string(run)},
                      {.run = run,
                       .box = "box-" + std::to_string(run),
                       .has_crashed = true,
                       .was_sole_suspect = true,
                       .start_confirmed = true});
  }
  bench.AddJobWithProgress("job", Bench::OneTask(), progress);
  bench.Answer(bench.NextSave(), SaveOutcome::kSaved);
  const auto reports = bench.TakeReports();
  BOOST_REQUIRE(reports.size() == 1U);
  BOOST_TEST((reports[0].cause == FailureCause::kGivenUp));
}

}  // namespace quartzhoist::scheduler
