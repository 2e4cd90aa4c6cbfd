#include "entry/save_result.h"

#include "base/event_log.h"
#include "entry/tables.h"
#include "jobs/progress.h"

namespace quartzhoist::entry {

namespace {

// What another writer recorded. The scheduler takes it in before it writes the
// row again: ends that an earlier owner has saved, and let its workers forget,
// stand nowhere else. Nothing if the row is gone or cannot be read.
std::optional<jobs::Progress> StoredProgress(const platform::Row& there) {
  const std::optional<ProgressRecord> kept = DecodeProgressRecord(there.value);
  std::optional<jobs::Progress> stored;
  if (kept)
    stored = jobs::DecodeProgress(kept->text);
  if (!stored && there.version > 0)
    base::Log(base::Event::kRowMalformed, {{"row", there.at.key}});
  return stored;
}

}  // namespace

scheduler::SaveResult SaveResultOf(const scheduler::SaveProgress& save,
                                   const platform::WriteResult& result,
                                   const platform::Row* there) {
  scheduler::SaveResult saved{.job = save.job, .change = save.change};
  switch (result.outcome) {
    case platform::WriteOutcome::kDone:
      saved.outcome = scheduler::SaveOutcome::kSaved;
      saved.version = result.version;
      break;
    case platform::WriteOutcome::kConflict:
      saved.version = there ? there->version : 0;
      // An earlier try whose answer was lost wrote just this.
      if (there && there->value == save.text) {
        saved.outcome = scheduler::SaveOutcome::kSaved;
        break;
      }
      saved.outcome = scheduler::SaveOutcome::kConflict;
      if (there)
        saved.stored = StoredProgress(*there);
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
