// Tests that two owners that find the same failure of a job and save the same
// text report it once.

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/scheduler.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using testing::Only;

// An owner of a job with a task that is given up.
struct FailureBench : testing::SchedulerBench {
  FailureBench() : SchedulerBench(2) {
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
    this->AddJobWithProgress("job", OneTask(), progress);
  }

  SaveProgress NextSave() {
    const auto saves = Only<SaveProgress>(this->RunPass());
    BOOST_REQUIRE(saves.size() == 1U);
    return saves[0];
  }

  // The number of reports that the answer leads to.
  std::size_t Answer(const SaveProgress& save, SaveResult result) {
    result.job = save.job;
    result.change = save.change;
    this->scheduler.ProgressSaved(result, this->now);
    return Only<JobFailed>(this->scheduler.TakeActions()).size();
  }
};

// Guards against two reports by a replaced owner and its successor that have
// read the same end of a run.
BOOST_AUTO_TEST_CASE(OwnersThatSaveTheSameFailureReportItOnce) {
  FailureBench other;
  BOOST_TEST(other.Answer(other.NextSave(), {.outcome = SaveOutcome::kSaved,
                                             .version = 5}) == 1U);
  FailureBench bench;
  BOOST_TEST(bench.Answer(bench.NextSave(), {.outcome = SaveOutcome::kSaved,
                                             .version = 5,
                                             .was_saved_by_other = true}) ==
             0U);
  // The save of another text is refused and shows the failure.
  FailureBench refused;
  const SaveProgress save = refused.NextSave();
  BOOST_TEST(refused.Answer(save, {.outcome = SaveOutcome::kNotWritten}) == 0U);
  const SaveProgress again = refused.NextSave();
  BOOST_TEST(!again.may_be_written);
  BOOST_TEST(
      refused.Answer(again, {.outcome = SaveOutcome::kConflict,
                             .version = 5,
                             .stored = jobs::DecodeProgress(save.text)}) == 0U);
  BOOST_TEST(refused.Answer(refused.NextSave(), {.outcome = SaveOutcome::kSaved,
                                                 .version = 6}) == 0U);
}

// Guards against no report where the first save was carried out and its answer
// was lost: the next one says so, and so finds the owner's own row.
BOOST_AUTO_TEST_CASE(SaveTellsThatAnEarlierAttemptGotNoAnswer) {
  FailureBench bench;
  const SaveProgress save = bench.NextSave();
  BOOST_TEST(!save.may_be_written);
  BOOST_TEST(bench.Answer(save, {.outcome = SaveOutcome::kFailed}) == 0U);
  const SaveProgress again = bench.NextSave();
  BOOST_TEST(again.may_be_written);
  BOOST_TEST(again.text == save.text);
  BOOST_TEST(bench.Answer(
                 again, {.outcome = SaveOutcome::kSaved, .version = 5}) == 1U);
}

}  // namespace
}  // namespace quartzhoist::scheduler
