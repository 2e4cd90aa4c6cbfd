// Tests that two owners that find the same failure of a job report it once.

#include <cstdint>
#include <optional>
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
  explicit FailureBench(std::uint64_t epoch) : SchedulerBench(epoch) {
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
// read the same end of a run, whichever of them saves the failure first, and
// whether or not the other's attempt got an answer.
BOOST_AUTO_TEST_CASE(OwnersThatFindTheSameFailureReportItOnce) {
  for (const bool replaced_is_first : {true, false}) {
    for (const SaveOutcome attempt :
         {SaveOutcome::kFailed, SaveOutcome::kConflict}) {
      FailureBench first(replaced_is_first ? 1 : 2);
      FailureBench second(replaced_is_first ? 2 : 1);
      const SaveProgress stored = first.NextSave();
      SaveProgress save = second.NextSave();
      // A row that holds the text of a save counts as written by it.
      BOOST_TEST(stored.text != save.text);
      if (attempt == SaveOutcome::kFailed) {
        BOOST_TEST(second.Answer(save, {.outcome = attempt}) == 0U);
        save = second.NextSave();
      }
      BOOST_TEST(first.Answer(stored, {.outcome = SaveOutcome::kSaved,
                                       .version = 5}) == 1U);
      BOOST_TEST(second.Answer(save, {.outcome = SaveOutcome::kConflict,
                                      .version = 5,
                                      .stored = jobs::DecodeProgress(
                                          stored.text)}) == 0U);
      BOOST_TEST(
          second.Answer(second.NextSave(),
                        {.outcome = SaveOutcome::kSaved, .version = 6}) == 0U);
    }
  }
}

// Guards against no report where the first save was carried out, its answer was
// lost, and another owner has changed the row since: the row names the finder.
BOOST_AUTO_TEST_CASE(FinderReportsAFailureInARowThatAnotherOwnerHasChanged) {
  FailureBench bench(2);
  const SaveProgress save = bench.NextSave();
  BOOST_TEST(bench.Answer(save, {.outcome = SaveOutcome::kFailed}) == 0U);
  const SaveProgress again = bench.NextSave();
  BOOST_TEST(again.text == save.text);
  std::optional<jobs::Progress> changed = jobs::DecodeProgress(save.text);
  changed->MarkFailed({.step = {}, .index = 0}, 9);
  BOOST_TEST(bench.Answer(again, {.outcome = SaveOutcome::kConflict,
                                  .version = 6,
                                  .stored = changed}) == 0U);
  BOOST_TEST(bench.Answer(bench.NextSave(), {.outcome = SaveOutcome::kSaved,
                                             .version = 7}) == 1U);
}

// Guards against a second report where a version that does not store the finder
// has saved the row.
BOOST_AUTO_TEST_CASE(FailureInARowWithoutItsFinderIsNotReported) {
  FailureBench bench(2);
  const SaveProgress save = bench.NextSave();
  std::optional<jobs::Progress> stored = jobs::DecodeProgress(save.text);
  BOOST_TEST(stored->failure_epoch == 2U);
  stored->failure_epoch = 0;
  BOOST_TEST(bench.Answer(save, {.outcome = SaveOutcome::kConflict,
                                 .version = 5,
                                 .stored = stored}) == 0U);
  BOOST_TEST(bench.Answer(bench.NextSave(), {.outcome = SaveOutcome::kSaved,
                                             .version = 6}) == 0U);
}

}  // namespace
}  // namespace quartzhoist::scheduler
