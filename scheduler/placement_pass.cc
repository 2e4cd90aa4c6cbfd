#include "scheduler/placement_pass.h"

#include <algorithm>

#include "scheduler/start_constraints.h"

namespace quartzhoist::scheduler {

bool PlacementPass::HasLabelOf(const jobs::Step& step) {
  if (step.label.empty())
    return true;
  if (this->missing_labels.contains(step.label))
    return false;
  const auto has_label = [&step](const Worker* worker) {
    return HasRequiredLabel(*worker, step);
  };
  const bool found =
      std::any_of(this->candidates.begin(), this->candidates.end(),
                  has_label) ||
      std::any_of(this->stalled.begin(), this->stalled.end(), has_label);
  if (!found)
    this->missing_labels.insert(step.label);
  return found;
}

bool PlacementPass::IsExhausted(const jobs::Resources& takes) const {
  return std::any_of(
      this->exhausted.begin(), this->exhausted.end(),
      [&](const jobs::Resources& amount) { return jobs::Fits(amount, takes); });
}

void PlacementPass::RecordIfExhausted(const jobs::Resources& takes) {
  const bool fits =
      std::any_of(this->candidates.begin(), this->candidates.end(),
                  [&](const Worker* worker) {
                    return jobs::Fits(takes, worker->free_capacity());
                  });
  if (!fits)
    this->exhausted.push_back(takes);
}

// After one task of a step fits no worker, the step's other tasks are skipped
// for this pass: they have the same requirements.

}  // namespace quartzhoist::scheduler
