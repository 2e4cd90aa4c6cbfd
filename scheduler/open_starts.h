// Starts that got no answer and may still be carried out.

#ifndef SCHEDULER_OPEN_STARTS_H_
#define SCHEDULER_OPEN_STARTS_H_

#include <map>
#include <string>
#include <utility>

#include "base/clock.h"
#include "jobs/job.h"
#include "scheduler/actions.h"

namespace quartzhoist::scheduler {

struct OpenStart {
  std::string worker;  // any incarnation of it may carry out the start
  base::Micros until{};
  bool was_carried_out = false;
};

class OpenStarts {
 public:
  using ByRun = std::map<std::pair<jobs::TaskId, int>, OpenStart>;

  void Record(const StartRun& command, base::Micros now);
  void MarkCarriedOut(const jobs::TaskId& task, int run);
  ByRun::iterator Erase(ByRun::iterator start) {
    return this->by_run.erase(start);
  }

  // Whether the start may yet be carried out.
  bool Contains(const jobs::TaskId& task, int run) const;
  ByRun::iterator begin() { return this->by_run.begin(); }
  ByRun::iterator end() { return this->by_run.end(); }

 private:
  ByRun by_run;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_OPEN_STARTS_H_
