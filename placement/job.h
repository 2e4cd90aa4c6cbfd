// Jobs: what a pool's boxes run besides requests.

#ifndef PLACEMENT_JOB_H_
#define PLACEMENT_JOB_H_

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/enum_names.h"
#include "table/row.h"
#include "table/stored_row.h"

namespace quartzhoist::placement {

// What a job takes of a box, or a box has.
struct Size {
  std::int64_t cores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  bool operator==(const Size&) const = default;
};

Size operator+(const Size& a, const Size& b);
Size operator-(const Size& a, const Size& b);
bool Fits(const Size& job, const Size& room);

enum class JobState {
  kWaiting,
  kRunning,
  kDone,        // its outcome is recorded, once
  kImpossible,  // it can never run anywhere; its owner has been told
};

inline constexpr base::EnumNames<JobState, 4> kJobStateNames{{
    {JobState::kWaiting, "waiting"},
    {JobState::kRunning, "running"},
    {JobState::kDone, "done"},
    {JobState::kImpossible, "impossible"},
}};

struct Job {
  std::string id;
  std::string kind;  // jobs of one kind are alike: their sizes are learned
  std::string team;
  std::string pool;
  table::Urgency urgency = table::Urgency::kPatient;
  std::int64_t order = 100;
  Size declared;
  bool can_checkpoint = false;  // it may be stopped and go on elsewhere
  base::Micros arrived{};
  JobState state = JobState::kWaiting;
  std::string box;           // while running
  table::Version epoch = 0;  // the row's version; a worker obeys the largest
};

}  // namespace quartzhoist::placement

#endif  // PLACEMENT_JOB_H_
