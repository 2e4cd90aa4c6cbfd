#include "entry/save_queue.h"

#include <utility>

#include "entry/tables.h"
#include "platform/batch_room.h"

namespace quartzhoist::entry {

namespace {

// A row saved is a condition and a put; a job that is over loses its other row.
std::size_t EntriesOf(const scheduler::SaveProgress& save) {
  return save.is_over ? 3 : 2;
}

std::string PartOf(const scheduler::SaveProgress& save) {
  return ProgressRow(save.job).part;
}

}  // namespace

void SaveQueue::Add(scheduler::SaveProgress save) {
  const std::string part = PartOf(save);
  this->parts[part].push_back(std::move(save));
}

void SaveQueue::AddAlone(scheduler::SaveProgress save) {
  this->alone.push_back(std::move(save));
}

std::vector<scheduler::SaveProgress> SaveQueue::TakeAlone() {
  std::vector<scheduler::SaveProgress> batch;
  batch.push_back(std::move(this->alone.front()));
  this->alone.pop_front();
  this->busy.insert(PartOf(batch.front()));
  return batch;
}

// Parts take turns: a write begins with the part after the last one's, so that
// none waits for ever while others always have something.
std::vector<scheduler::SaveProgress> SaveQueue::Take(bool one_part) {
  if (!this->alone.empty() && !this->busy.contains(PartOf(this->alone.front())))
    return this->TakeAlone();
  std::vector<scheduler::SaveProgress> batch;
  platform::BatchRoom room(!one_part);
  auto next = this->parts.upper_bound(this->last_part);
  for (std::size_t left = this->parts.size(); left > 0; --left) {
    if (next == this->parts.end())
      next = this->parts.begin();
    const std::string part = next->first;
    Waiting& waiting = next->second;
    const bool may_go = !one_part || !this->busy.contains(part);
    while (may_go && !waiting.empty() &&
           room.Take(part, EntriesOf(waiting.front()),
                     waiting.front().text.size())) {
      batch.push_back(std::move(waiting.front()));
      waiting.pop_front();
      this->busy.insert(part);
      this->last_part = part;
    }
    next = waiting.empty() ? this->parts.erase(next) : std::next(next);
    if (one_part && !batch.empty())
      break;
  }
  return batch;
}

void SaveQueue::Settled(const std::vector<scheduler::SaveProgress>& batch) {
  for (const scheduler::SaveProgress& save : batch)
    this->busy.erase(PartOf(save));
}

}  // namespace quartzhoist::entry
