// Jobs' progress that waits to be written, and which of it goes into one write.

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
  // It is written alone from now on: the write that it shared was refused.
  void AddUnbatched(scheduler::SaveProgress save);

  // The next write's saves, at most one write's worth; none if nothing may go.
  // With `single_part` they are of one part that has no write on its way.
  std::vector<scheduler::SaveProgress> Take(bool single_part);
  // The write of these has been answered, or given up.
  void OnWriteFinished(const std::vector<scheduler::SaveProgress>& batch);

  bool empty() const {
    return this->saves_by_part.empty() && this->unbatched.empty();
  }

 private:
  using Saves = std::deque<scheduler::SaveProgress>;

  std::vector<scheduler::SaveProgress> TakeUnbatched();

  std::map<std::string, Saves> saves_by_part;  // none of them empty
  Saves unbatched;
  std::set<std::string> parts_in_flight;  // parts with a write on its way
  std::string last_written_part;          // the next write begins after it
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_SAVE_QUEUE_H_
