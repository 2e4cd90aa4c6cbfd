// Workers reserved for long-running tasks that need more free capacity at once
// than small tasks ever leave: backfilling with reservations.

#ifndef SCHEDULER_RESERVATIONS_H_
#define SCHEDULER_RESERVATIONS_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "jobs/job.h"
#include "scheduler/job.h"
#include "scheduler/ready_tasks.h"
#include "scheduler/worker.h"

namespace quartzhoist::scheduler {

class Reservations {
 public:
  // Drops the pool's reservations whose task no longer waits for capacity, or
  // whose worker is not among the usable ones.
  void DropObsolete(const std::string& pool,
                    const std::vector<Worker*>& usable);
  enum class Outcome {
    kReserved,      // now or before
    kLimitReached,  // the pool has as many as it may
    kNoneEligible,  // none of the workers can ever run the task
  };
  // Reserves capacity for the task on the one of these workers that comes
  // closest to having it. `usable` is the number of the pool's usable workers.
  Outcome Reserve(const std::string& pool,
                  const ReadyTask& task,
                  const std::vector<Worker*>& workers,
                  std::size_t usable);
  // Capacity of the worker that the task must leave free, because it is
  // reserved for another one of the same or a higher priority.
  jobs::Resources HeldFrom(const Job& job,
                           const TaskPosition& position,
                           const Worker& worker) const;
  // Capacity of the worker that is reserved for any task.
  jobs::Resources ReservedOn(const Worker& worker) const;
  // The worker that is reserved for the task, or null.
  const jobs::WorkerIncarnation* FindFor(const Job& job,
                                         const TaskPosition& position) const;

 private:
  struct Reservation {
    Job* job = nullptr;
    TaskPosition position;
    jobs::WorkerIncarnation worker;
    jobs::Resources resources;

    bool IsFor(const Job& other, const TaskPosition& at) const {
      return this->job == &other && this->position == at;
    }
    bool IsObsolete(const std::string& pool,
                    const std::vector<Worker*>& usable) const;
  };

  // The worker's reservation, or null: it has one at most, so that no task is
  // refused its own worker on account of another one.
  const Reservation* FindOn(const Worker& worker) const;

  std::map<std::string, std::vector<Reservation>> by_pool;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_RESERVATIONS_H_
