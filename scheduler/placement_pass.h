// One pass over the ready tasks of a pool: its workers and what could not be
// placed, so that the same is not tried again.

#ifndef SCHEDULER_PLACEMENT_PASS_H_
#define SCHEDULER_PLACEMENT_PASS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "jobs/job.h"
#include "scheduler/job.h"
#include "scheduler/reservations.h"
#include "scheduler/worker.h"

namespace quartzhoist::scheduler {

// Workers in a fixed order, and those that have opened lately.
class PassWorkers {
 public:
  void Add(Worker* worker) { this->workers.push_back(worker); }
  const std::vector<Worker*>& all() const { return this->workers; }
  // The workers that opened after this pass.
  std::vector<Worker*> OpenedAfter(std::uint64_t pass);

 private:
  std::vector<Worker*> workers;
  std::vector<Worker*> latest_first;  // by when they opened; empty until needed
};

// State of one placement pass over a pool.
struct PlacementPass {
  std::uint64_t number = 0;  // over all pools, from 1
  PassWorkers candidates;
  // Workers on boxes that a wave can't evacuate.
  PassWorkers stalled;
  // Amounts that no candidate had free. Free capacity only shrinks during a
  // pass, so nothing that takes as much fits either.
  std::vector<jobs::Resources> exhausted;
  // All workers' labels; empty until needed.
  std::optional<std::set<std::string_view>> labels;
  std::size_t visits = 0;  // of workers, by searches that found none

  // Notes which workers have opened since the latest pass over the pool. Call
  // once, when all workers have been added and reservations been dropped.
  void NoteOpenedWorkers(const Reservations& reservations);
  // The searches have visited as many workers as a pass may.
  bool IsSpent() const;
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
