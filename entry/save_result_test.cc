// Tests the save results that the scheduler receives.

#include <string>

#include <boost/test/unit_test.hpp>

#include "entry/save_result.h"
#include "entry/tables.h"
#include "jobs/progress.h"

namespace quartzhoist::entry {
namespace {

constexpr const char* kJob = "5c0e7a21d94b36f8";

jobs::Progress ProgressWithOneDone() {
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

// A deposed owner saves a task end and acknowledges it to the worker. The new
// owner read the row before that, so it must get the end from the conflict.
BOOST_AUTO_TEST_CASE(ConflictReturnsProgressOfAnotherOwner) {
  const platform::Row there = RowOf(EncodeProgressRecord(
      {.text = jobs::EncodeProgress(ProgressWithOneDone())}));
  const scheduler::SaveResult result =
      MakeSaveResult(Save(), kConflict, &there);
  BOOST_CHECK(result.outcome == scheduler::SaveOutcome::kConflict);
  BOOST_TEST(result.version == 12U);
  BOOST_REQUIRE(result.stored.has_value());
  BOOST_CHECK(result.stored->done == ProgressWithOneDone().done);
  BOOST_CHECK(result.stored->placed == ProgressWithOneDone().placed);
  BOOST_CHECK(result.stored->state == jobs::JobState::kRunning);
}

BOOST_AUTO_TEST_CASE(ConflictWithOwnEarlierAttemptIsSaved) {
  const platform::Row there = RowOf(Save().text);
  const scheduler::SaveResult result =
      MakeSaveResult(Save(), kConflict, &there);
  BOOST_CHECK(result.outcome == scheduler::SaveOutcome::kSaved);
  BOOST_TEST(result.version == 12U);
}

BOOST_AUTO_TEST_CASE(ConflictWithMissingOrMalformedRowReturnsNoProgress) {
  const platform::Row malformed = RowOf("nonsense that is no progress at all");
  for (const platform::Row* there :
       {static_cast<const platform::Row*>(nullptr), &malformed}) {
    const scheduler::SaveResult result =
        MakeSaveResult(Save(), kConflict, there);
    BOOST_CHECK(result.outcome == scheduler::SaveOutcome::kConflict);
    BOOST_TEST(!result.stored.has_value());
    BOOST_TEST(result.version == (there ? 12U : 0U));
  }
}

}  // namespace
}  // namespace quartzhoist::entry
