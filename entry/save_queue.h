// Queues job progress to be written, and groups it into batched writes.

#ifndef ENTRY_SAVE_QUEUE_H_
#define ENTRY_SAVE_QUEUE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "scheduler/actions.h"

namespace quartzhoist::entry {

class SaveQueue {
 public:
  void Add(scheduler::SaveProgress save);
  // For a save whose batched write was refused; it is retried in a write of its
  // own.
  void AddUnbatched(scheduler::SaveProgress save);

  // Removes the saves of the next write, at most one write's capacity; empty if
  // no save can be sent. With `single_part`, all belong to one part that has no
  // write in flight.
  std::vector<scheduler::SaveProgress> Take(bool single_part);
  // Called when the write of `batch` was answered or abandoned.
  void OnWriteFinished(const std::vector<scheduler::SaveProgress>& batch);

  bool empty() const {
    return this->saves_by_part.empty() && this->unbatched.empty();
  }

 private:
  using Saves = std::deque<scheduler::SaveProgress>;

  std::vector<scheduler::SaveProgress> TakeUnbatched();

  std::map<std::string, Saves> saves_by_part;  // no value is empty
  Saves unbatched;
  std::set<std::string> parts_in_flight;
  std::string last_written_part;  // the next write starts after this part
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_SAVE_QUEUE_H_
