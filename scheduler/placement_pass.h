// One pass over the ready tasks of a pool: its workers and what could not be
// placed, so that the same is not tried again.

#ifndef SCHEDULER_PLACEMENT_PASS_H_
#define SCHEDULER_PLACEMENT_PASS_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/job.h"
#include "scheduler/job.h"
#include "scheduler/worker.h"

namespace quartzhoist::scheduler {

// State of one placement pass over a pool: its usable workers and the steps
// that could not be placed.
struct PlacementPass {
  std::vector<Worker*> candidates;
  // Workers on boxes that a wave can't evacuate.
  std::vector<Worker*> stalled;
  // Steps that could not be placed in this pass, with the reason.
  std::map<std::pair<const Job*, int>, WaitReason> unplaceable_steps;
  // Amounts that no candidate had free. Free capacity only shrinks during a
  // pass, so nothing that takes as much fits either.
  std::vector<jobs::Resources> exhausted;
  // Labels that steps require and no candidate has.
  std::set<std::string> missing_labels;
  int misses = 0;

  // Whether a worker of the pass has the label that the step requires.
  bool HasLabelOf(const jobs::Step& step);
  bool IsExhausted(const jobs::Resources& takes) const;
  // Remembers the amount if no candidate has it free.
  void RecordIfExhausted(const jobs::Resources& takes);
};

// A task of a step and the worker selected for it.
struct Assignment {
  TaskPosition position;
  Worker* worker = nullptr;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_PLACEMENT_PASS_H_
