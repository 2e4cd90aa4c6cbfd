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
  void AddAlone(scheduler::SaveProgress save);

  // The next write's saves, at most one write's worth; none if nothing may go.
  // With `one_part` they are of one part that has no write on its way.
  std::vector<scheduler::SaveProgress> Take(bool one_part);
  // The write of these has been answered, or given up.
  void Settled(const std::vector<scheduler::SaveProgress>& batch);

  bool empty() const { return this->parts.empty() && this->alone.empty(); }

 private:
  using Waiting = std::deque<scheduler::SaveProgress>;

  std::vector<scheduler::SaveProgress> TakeAlone();

  std::map<std::string, Waiting> parts;  // none of them empty
  Waiting alone;
  std::set<std::string> busy;  // parts with a write on its way
  std::string last_part;       // the next write begins after it
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_SAVE_QUEUE_H_
