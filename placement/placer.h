// Where jobs run: a pure decision on jobs, boxes, quotas, learned sizes and
// what boxes report. Urgent work first; patient work is sure to finish.

#ifndef PLACEMENT_PLACER_H_
#define PLACEMENT_PLACER_H_

#include <map>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "placement/job.h"
#include "placement/size_model.h"
#include "table/box.h"
#include "table/row.h"

namespace quartzhoist::placement {

// A box that could run jobs, as it is now.
struct BoxView {
  const table::Box* box = nullptr;
  bool live = true;
  Size used;  // as last reported: late, and all jobs together
};

struct Input {
  std::vector<const Job*> jobs;  // running and waiting
  std::vector<BoxView> boxes;
  std::unordered_map<std::string, table::TeamRow> teams;
  const SizeModel* sizes = nullptr;
  base::Micros now{};
};

struct Start {
  std::string job;
  std::string box;
};

// Stop the job where it is; it goes on from its checkpoint later.
struct Checkpoint {
  std::string job;
};

// Let the job run slower: its box is overrun by more urgent work.
struct Throttle {
  std::string job;
};

// Stop a job whose box is gone for good, so that it can start elsewhere.
struct Reclaim {
  std::string job;
};

enum class Impossibility { kNoBoxIsLargeEnough, kQuotaTooSmall, kNoSuchTeam };

inline constexpr base::EnumNames<Impossibility, 3> kImpossibilityNames{{
    {Impossibility::kNoBoxIsLargeEnough, "no_box_is_large_enough"},
    {Impossibility::kQuotaTooSmall, "quota_too_small"},
    {Impossibility::kNoSuchTeam, "no_such_team"},
}};

// Tell the owner at once that the job can never run.
struct Refuse {
  std::string job;
  Impossibility why = Impossibility::kNoBoxIsLargeEnough;
};

using Action = std::variant<Start, Checkpoint, Throttle, Reclaim, Refuse>;

std::vector<Action> Place(const Input& input);

}  // namespace quartzhoist::placement

#endif  // PLACEMENT_PLACER_H_
