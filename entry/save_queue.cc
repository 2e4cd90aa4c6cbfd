#include "entry/save_queue.h"

#include <utility>

#include "entry/tables.h"
#include "platform/batch_room.h"

namespace quartzhoist::entry {

namespace {

// A saved row takes a condition and a put; for a finished job, its other row is
// removed as well.
std::size_t EntryCount(const scheduler::SaveProgress& save) {
  return save.is_over ? 3 : 2;
}

std::string PartOf(const scheduler::SaveProgress& save) {
  return ProgressRow(save.job).part;
}

}  // namespace

void SaveQueue::Add(scheduler::SaveProgress save) {
  const std::string part = PartOf(save);
  this->saves_by_part[part].push_back(std::move(save));
}

void SaveQueue::AddUnbatched(scheduler::SaveProgress save) {
  this->unbatched.push_back(std::move(save));
}

std::vector<scheduler::SaveProgress> SaveQueue::TakeUnbatched() {
  std::vector<scheduler::SaveProgress> batch;
  batch.push_back(std::move(this->unbatched.front()));
  this->unbatched.pop_front();
  this->parts_in_flight.insert(PartOf(batch.front()));
  return batch;
}

// Serves the parts round-robin, starting after the last written one, so that no
// part starves while others always have saves queued.
std::vector<scheduler::SaveProgress> SaveQueue::Take(bool single_part) {
  if (!this->unbatched.empty() &&
      !this->parts_in_flight.contains(PartOf(this->unbatched.front())))
    return this->TakeUnbatched();
  std::vector<scheduler::SaveProgress> batch;
  platform::BatchRoom room(!single_part);
  auto next = this->saves_by_part.upper_bound(this->last_written_part);
  for (std::size_t left = this->saves_by_part.size(); left > 0; --left) {
    if (next == this->saves_by_part.end())
      next = this->saves_by_part.begin();
    const std::string part = next->first;
    Saves& queued = next->second;
    const bool can_send = !single_part || !this->parts_in_flight.contains(part);
    while (can_send && !queued.empty() &&
           room.Take(part, EntryCount(queued.front()),
                     queued.front().text.size())) {
      batch.push_back(std::move(queued.front()));
      queued.pop_front();
      this->parts_in_flight.insert(part);
      this->last_written_part = part;
    }
    next = queued.empty() ? this->saves_by_part.erase(next) : std::next(next);
    if (single_part && !batch.empty())
      break;
  }
  return batch;
}

void SaveQueue::OnWriteFinished(
    const std::vector<scheduler::SaveProgress>& batch) {
  for (const scheduler::SaveProgress& save : batch)
    this->parts_in_flight.erase(PartOf(save));
}

}  // namespace quartzhoist::entry
