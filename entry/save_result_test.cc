// What the scheduler is told of a save.

#include <string>

#include <boost/test/unit_test.hpp>

#include "entry/save_result.h"
#include "entry/tables.h"
#include "jobs/progress.h"

namespace quartzhoist::entry {
namespace {

constexpr const char* kJob = "5c0e7a21d94b36f8";

jobs::Progress OneDone() {
  jobs::Progress progress;
  progress.state = jobs::JobState::kRunning;
  progress.MarkDone({.occurrence = 0, .step = 0}, 3);
  progress.placed[{.step = {.occurrence = 0, .step = 0}, .index = 1}] = {
      .worker = {.id = "i-5e86393d3a"}, .run = 1};
  return progress;
}

platform::Row RowOf(const std::string& value) {
  return {.at = ProgressRow(kJob), .value = value, .version = 12};
}

scheduler::SaveProgress Save() {
  return {.job = kJob,
          .text = EncodeProgressRecord({.text = jobs::EncodeProgress({})}),
          .version = 7,
          .change = 4,
          .is_over = false};
}

const platform::WriteResult kConflict{.outcome =
                                          platform::WriteOutcome::kConflict};

// An owner that has been taken over saves an end and lets its worker forget it;
// the next one, which had read the row before, must hear of it.
BOOST_AUTO_TEST_CASE(ConflictTellsWhatAnotherOwnerRecorded) {
  const platform::Row there =
      RowOf(EncodeProgressRecord({.text = jobs::EncodeProgress(OneDone())}));
  const scheduler::SaveResult result =
      MakeSaveResult(Save(), kConflict, &there);
  BOOST_CHECK(result.outcome == scheduler::SaveOutcome::kConflict);
  BOOST_TEST(result.version == 12U);
  BOOST_REQUIRE(result.stored.has_value());
  BOOST_CHECK(result.stored->done == OneDone().done);
  BOOST_CHECK(result.stored->placed == OneDone().placed);
  BOOST_CHECK(result.stored->state == jobs::JobState::kRunning);
}

BOOST_AUTO_TEST_CASE(ConflictWithAnOwnEarlierTryIsASave) {
  const platform::Row there = RowOf(Save().text);
  const scheduler::SaveResult result =
      MakeSaveResult(Save(), kConflict, &there);
  BOOST_CHECK(result.outcome == scheduler::SaveOutcome::kSaved);
  BOOST_TEST(result.version == 12U);
}

BOOST_AUTO_TEST_CASE(ConflictWithARowThatIsGoneOrUnreadableTellsNothing) {
  const platform::Row unreadable = RowOf("nonsense that is no progress at all");
  for (const platform::Row* there :
       {static_cast<const platform::Row*>(nullptr), &unreadable}) {
    const scheduler::SaveResult result =
        MakeSaveResult(Save(), kConflict, there);
    BOOST_CHECK(result.outcome == scheduler::SaveOutcome::kConflict);
    BOOST_TEST(!result.stored.has_value());
    BOOST_TEST(result.version == (there ? 12U : 0U));
  }
}

}  // namespace
}  // namespace quartzhoist::entry
