// The outcome of a save of a job's progress.

#ifndef SCHEDULER_SAVE_RESULT_H_
#define SCHEDULER_SAVE_RESULT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "jobs/progress.h"

namespace quartzhoist::scheduler {

enum class SaveOutcome {
  kSaved,
  kConflict,
  kFailed,    // no answer; the save is retried
  kRejected,  // the store does not accept this content
};

struct SaveResult {
  std::string job;
  std::uint64_t change = 0;
  SaveOutcome outcome = SaveOutcome::kFailed;
  std::uint64_t version = 0;  // current row version, if known
  // With kConflict: the stored progress; empty if the row is missing or
  // unreadable.
  std::optional<jobs::Progress> stored;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_SAVE_RESULT_H_
