// Tests whether a row that already holds the text of a save counts as written
// by this owner.

#include <cstdint>
#include <optional>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "entry/save_result.h"
#include "entry/tables.h"
#include "jobs/progress.h"
#include "testing/store_bench.h"

namespace quartzhoist::entry {
namespace {

using platform::WriteOutcome;
using testing::StoreStandin;

scheduler::SaveProgress Save(bool may_be_written) {
  return {.job = "5c0e7a21d94b36f8",
          .text = EncodeProgressRecord({.text = jobs::EncodeProgress({})}),
          .version = 7,
          .change = 4,
          .may_be_written = may_be_written};
}

// Guards against a failure that two owners report since both have written the
// same text, and against one that nobody reports since the answer was lost.
BOOST_AUTO_TEST_CASE(RowWithTheSameTextIsOwnOnlyAfterAnAttemptWithoutAnAnswer) {
  const platform::Row row{.at = ProgressRow("5c0e7a21d94b36f8"),
                          .value = Save(false).text,
                          .version = 12};
  for (const auto& [earlier, repeated] :
       {std::pair(false, false), std::pair(true, false),
        std::pair(false, true)}) {
    const scheduler::SaveResult result = MakeSaveResult(
        Save(earlier),
        {.outcome = WriteOutcome::kConflict, .was_repeated = repeated}, &row);
    BOOST_CHECK(result.outcome == scheduler::SaveOutcome::kSaved);
    BOOST_TEST(result.was_saved_by_other == (!earlier && !repeated));
    const scheduler::SaveResult refused = MakeSaveResult(
        Save(earlier),
        {.outcome = WriteOutcome::kNotDone, .was_repeated = repeated}, nullptr);
    BOOST_CHECK(refused.outcome == (earlier || repeated
                                        ? scheduler::SaveOutcome::kFailed
                                        : scheduler::SaveOutcome::kNotWritten));
  }
}

// Guards against a write that the HTTP library has silently sent twice and that
// finds its own row: its first sending had no answer either.
BOOST_AUTO_TEST_CASE(WriteThatTheLibraryRepeatedSaysSo) {
  testing::StoreBench bench;
  const platform::RowKey at{.table = "t", .part = "", .key = "k"};
  const auto write = [&](std::uint64_t version) {
    std::optional<platform::WriteResult> result;
    bench.store.Write({.conditions = {{.at = at, .version = version}},
                       .puts = {{.at = at, .value = "v"}},
                       .removes = {}},
                      [&](const platform::WriteResult& got) { result = got; });
    bench.Until([&] { return result.has_value(); });
    return *result;
  };
  const platform::WriteResult first = write(0);
  BOOST_CHECK(first.outcome == WriteOutcome::kDone);
  BOOST_TEST(!first.was_repeated);
  bench.standin.SetNextWrites({StoreStandin::Mood::kLosesAnswers});
  const platform::WriteResult second = write(first.version);
  BOOST_CHECK(second.outcome == WriteOutcome::kConflict);
  BOOST_TEST(second.was_repeated);
}

}  // namespace
}  // namespace quartzhoist::entry
