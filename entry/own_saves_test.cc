// Tests that a save whose answer was lost finds its own row.

#include <optional>
#include <string>

#include <boost/test/unit_test.hpp>

#include "entry/save_result.h"
#include "entry/tables.h"
#include "jobs/progress.h"
#include "testing/store_bench.h"

namespace quartzhoist::entry {
namespace {

using testing::StoreStandin;

// Guards against a failure that nobody reports: the HTTP library sends the
// write a second time, since the kept connection was closed before its answer,
// and the second sending finds the row of the first.
BOOST_AUTO_TEST_CASE(WriteThatTheLibraryRepeatsCountsAsSaved) {
  testing::StoreBench bench;
  jobs::Progress progress;
  progress.state = jobs::JobState::kFailed;
  progress.failure_epoch = 3;
  const scheduler::SaveProgress save{
      .job = "5c0e7a21d94b36f8",
      .text = EncodeProgressRecord({.text = jobs::EncodeProgress(progress)})};
  const platform::RowKey at = ProgressRow(save.job);
  const auto write = [&](const std::string& value, std::uint64_t version) {
    std::optional<platform::WriteResult> result;
    bench.store.Write({.conditions = {{.at = at, .version = version}},
                       .puts = {{.at = at, .value = value}},
                       .removes = {}},
                      [&](const platform::WriteResult& got) { result = got; });
    bench.Until([&] { return result.has_value(); });
    return *result;
  };
  const platform::WriteResult first = write("earlier", 0);
  BOOST_CHECK(first.outcome == platform::WriteOutcome::kDone);
  bench.standin.SetNextWrites({StoreStandin::Mood::kLosesAnswers});
  const platform::WriteResult second = write(save.text, first.version);
  BOOST_CHECK(second.outcome == platform::WriteOutcome::kConflict);
  BOOST_REQUIRE(second.rows.size() == 1U);
  const scheduler::SaveResult result =
      MakeSaveResult(save, second, &second.rows[0]);
  BOOST_CHECK(result.outcome == scheduler::SaveOutcome::kSaved);
}

// Guards against a save of this owner that counts as done by a row in which
// another owner has recorded the same failure.
BOOST_AUTO_TEST_CASE(RowWithTheSameFailureOfAnotherOwnerIsAConflict) {
  jobs::Progress progress;
  progress.state = jobs::JobState::kFailed;
  progress.failure_epoch = 3;
  const scheduler::SaveProgress save{
      .job = "5c0e7a21d94b36f8",
      .text = EncodeProgressRecord({.text = jobs::EncodeProgress(progress)})};
  progress.failure_epoch = 2;
  const platform::Row row{
      .at = ProgressRow(save.job),
      .value = EncodeProgressRecord({.text = jobs::EncodeProgress(progress)}),
      .version = 12};
  const scheduler::SaveResult result = MakeSaveResult(
      save, {.outcome = platform::WriteOutcome::kConflict}, &row);
  BOOST_CHECK(result.outcome == scheduler::SaveOutcome::kConflict);
  BOOST_REQUIRE(result.stored.has_value());
  BOOST_TEST(result.stored->failure_epoch == 2U);
}

}  // namespace
}  // namespace quartzhoist::entry
