#include "entry/save_result.h"

#include "base/event_log.h"
#include "entry/tables.h"
#include "jobs/progress.h"

namespace quartzhoist::entry {

namespace {

// The progress that another writer stored. The scheduler must merge it before
// it writes the row again: task ends that an earlier owner saved and
// acknowledged to the workers are recorded nowhere else. Empty if the row is
// missing or malformed.
std::optional<jobs::Progress> DecodeStoredProgress(const platform::Row& row) {
  const std::optional<ProgressRecord> kept = DecodeProgressRecord(row.value);
  std::optional<jobs::Progress> stored;
  if (kept)
    stored = jobs::DecodeProgress(kept->text);
  if (!stored && row.version > 0)
    base::Log(base::Event::kRowMalformed, {{"row", row.at.key}});
  return stored;
}

}  // namespace

scheduler::SaveResult MakeSaveResult(const scheduler::SaveProgress& save,
                                     const platform::WriteResult& result,
                                     const platform::Row* stored_row) {
  scheduler::SaveResult saved{.job = save.job, .change = save.change};
  switch (result.outcome) {
    case platform::WriteOutcome::kDone:
      saved.outcome = scheduler::SaveOutcome::kSaved;
      saved.version = result.version;
      break;
    case platform::WriteOutcome::kConflict:
      saved.version = stored_row ? stored_row->version : 0;
      // An earlier attempt without an answer wrote the row.
      if (stored_row && stored_row->value == save.text) {
        saved.outcome = scheduler::SaveOutcome::kSaved;
        break;
      }
      saved.outcome = scheduler::SaveOutcome::kConflict;
      if (stored_row)
        saved.stored = DecodeStoredProgress(*stored_row);
      break;
    case platform::WriteOutcome::kRefused:
      saved.outcome = scheduler::SaveOutcome::kRejected;
      break;
    case platform::WriteOutcome::kNotDone:
    case platform::WriteOutcome::kUnknown:
      break;
  }
  return saved;
}

}  // namespace quartzhoist::entry
