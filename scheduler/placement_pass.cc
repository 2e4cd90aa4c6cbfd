#include "scheduler/placement_pass.h"

#include <algorithm>

namespace quartzhoist::scheduler {

namespace {

// Workers that the searches of a pass visit in vain before the rest of the
// pool's queue waits for the next pass, which continues behind them: steps that
// have been searched for cost it only the workers that have opened. Bounds the
// duration of a pass after a takeover, when nothing has been searched for.
constexpr std::size_t kMinVisitsPerPass = 4000;
constexpr std::size_t kSearchesOfAllPerPass = 4;

PlacementView ViewOf(const Worker& worker,
                     const Reservations& reservations,
                     bool is_candidate) {
  return {.is_candidate = is_candidate,
          .is_stalled = !is_candidate,
          .info_changes = worker.info_changes,
          .removed_runs = worker.removed_runs,
          .probe_runs = worker.probe_runs,
          .reserved = reservations.ReservedOn(worker)};
}

}  // namespace

std::vector<Worker*> PassWorkers::OpenedAfter(std::uint64_t pass) {
  if (this->latest_first.empty() && !this->workers.empty()) {
    this->latest_first = this->workers;
    std::stable_sort(this->latest_first.begin(), this->latest_first.end(),
                     [](const Worker* a, const Worker* b) {
                       return a->opened_in > b->opened_in;
                     });
  }
  const auto end = std::partition_point(
      this->latest_first.begin(), this->latest_first.end(),
      [pass](const Worker* worker) { return worker->opened_in > pass; });
  return {this->latest_first.begin(), end};
}

void PlacementPass::NoteOpenedWorkers(const Reservations& reservations) {
  const auto note = [&](Worker& worker, bool is_candidate) {
    const PlacementView view = ViewOf(worker, reservations, is_candidate);
    if (view == worker.last_view)
      return;
    worker.last_view = view;
    worker.opened_in = this->number;
  };
  for (Worker* worker : this->candidates.all())
    note(*worker, true);
  for (Worker* worker : this->stalled.all())
    note(*worker, false);
}

bool PlacementPass::IsSpent() const {
  return this->visits >= kMinVisitsPerPass + kSearchesOfAllPerPass *
                                                 this->candidates.all().size();
}

bool PlacementPass::HasLabelOf(const jobs::Step& step) {
  if (step.label.empty())
    return true;
  if (!this->labels) {
    this->labels.emplace();
    for (const PassWorkers* workers : {&this->candidates, &this->stalled}) {
      for (const Worker* worker : workers->all())
        this->labels->insert(worker->info.labels.begin(),
                             worker->info.labels.end());
    }
  }
  return this->labels->contains(step.label);
}

bool PlacementPass::IsExhausted(const jobs::Resources& takes) const {
  return std::any_of(
      this->exhausted.begin(), this->exhausted.end(),
      [&](const jobs::Resources& amount) { return jobs::Fits(amount, takes); });
}

void PlacementPass::RecordIfExhausted(const jobs::Resources& takes) {
  const std::vector<Worker*>& all = this->candidates.all();
  const bool fits =
      std::any_of(all.begin(), all.end(), [&](const Worker* worker) {
        return jobs::Fits(takes, worker->free_capacity());
      });
  if (!fits)
    this->exhausted.push_back(takes);
}

}  // namespace quartzhoist::scheduler
