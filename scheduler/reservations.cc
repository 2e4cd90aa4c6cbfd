#include "scheduler/reservations.h"

#include <algorithm>
#include <cstddef>

#include "scheduler/start_constraints.h"

namespace quartzhoist::scheduler {

namespace {

// Share of a pool's workers that may be reserved at the same time, as its
// inverse: reserved capacity stands idle until there is enough of it.
constexpr std::size_t kWorkersPerReservation = 8;

// Capacity that becomes free once the worker's tasks that end by themselves
// have ended.
jobs::Resources AttainableCapacity(const Worker& worker) {
  jobs::Resources attainable = worker.info.capacity;
  for (const auto& [id, run] : worker.runs) {
    if (run.is_long_running)
      attainable = attainable - run.reserved;
  }
  return attainable;
}

bool CanEverRun(const Worker& worker, const ReadyTask& task) {
  const jobs::Step& step = StepOf(*task.job, task.position);
  return HasRequiredLabel(worker, step) &&
         IsBelowStepLimit(worker, *task.job, task.position) &&
         worker.unknown_runs == 0 &&
         jobs::Fits(ReservedBy(step), AttainableCapacity(worker));
}

// Part of a requested amount that is free.
double Coverage(std::int64_t free, std::int64_t requested) {
  if (requested <= free)
    return 1.0;
  return static_cast<double>(free) / static_cast<double>(requested);
}

double Coverage(const jobs::Resources& free, const jobs::Resources& requested) {
  return std::min({Coverage(free.cpu_millis, requested.cpu_millis),
                   Coverage(free.memory_mb, requested.memory_mb),
                   Coverage(free.gpus, requested.gpus)});
}

}  // namespace

bool Reservations::Reservation::IsObsolete(
    const std::string& pool,
    const std::vector<Worker*>& usable) const {
  const Task& task = TaskAt(*this->job, this->position);
  const bool waits = !this->job->finished() &&
                     this->job->queue.service == pool &&
                     task.state == TaskState::kReady &&
                     task.wait_reason == WaitReason::kCapacity;
  const bool is_usable = std::any_of(
      usable.begin(), usable.end(),
      [&](const Worker* one) { return one->info.incarnation == this->worker; });
  return !waits || !is_usable;
}

void Reservations::DropObsolete(const std::string& pool,
                                const std::vector<Worker*>& usable) {
  const auto found = this->by_pool.find(pool);
  if (found == this->by_pool.end())
    return;
  std::erase_if(found->second, [&](const Reservation& reservation) {
    return reservation.IsObsolete(pool, usable);
  });
  if (found->second.empty())
    this->by_pool.erase(found);
}

Reservations::Outcome Reservations::Reserve(const std::string& pool,
                                            const ReadyTask& task,
                                            const std::vector<Worker*>& workers,
                                            std::size_t usable) {
  if (this->FindFor(*task.job, task.position))
    return Outcome::kReserved;
  std::vector<Reservation>& reservations = this->by_pool[pool];
  if (reservations.size() >=
      std::max<std::size_t>(1, usable / kWorkersPerReservation))
    return Outcome::kLimitReached;
  const jobs::Resources requested =
      ReservedBy(StepOf(*task.job, task.position));
  const Worker* best = nullptr;
  double best_coverage = 0.0;
  for (const Worker* worker : workers) {
    if (!CanEverRun(*worker, task) || this->FindOn(*worker))
      continue;
    const double coverage = Coverage(worker->free_capacity(), requested);
    if (!best || coverage > best_coverage) {
      best = worker;
      best_coverage = coverage;
    }
  }
  if (!best)
    return Outcome::kNoneEligible;
  reservations.push_back({.job = task.job,
                          .position = task.position,
                          .worker = best->info.incarnation,
                          .resources = requested});
  return Outcome::kReserved;
}

jobs::Resources Reservations::ReservedOn(const Worker& worker) const {
  const Reservation* reservation = this->FindOn(worker);
  return reservation ? reservation->resources : jobs::Resources();
}

const jobs::WorkerIncarnation* Reservations::FindFor(
    const Job& job,
    const TaskPosition& position) const {
  const auto pool = this->by_pool.find(job.queue.service);
  if (pool == this->by_pool.end())
    return nullptr;
  for (const Reservation& reservation : pool->second) {
    if (reservation.IsFor(job, position))
      return &reservation.worker;
  }
  return nullptr;
}

jobs::Resources Reservations::HeldFrom(const Job& job,
                                       const TaskPosition& position,
                                       const Worker& worker) const {
  const Reservation* reservation = this->FindOn(worker);
  const bool applies = reservation && !reservation->IsFor(job, position) &&
                       reservation->job->queue.priority <= job.queue.priority;
  return applies ? reservation->resources : jobs::Resources();
}

const Reservations::Reservation* Reservations::FindOn(
    const Worker& worker) const {
  const auto pool = this->by_pool.find(worker.info.service);
  if (pool == this->by_pool.end())
    return nullptr;
  for (const Reservation& reservation : pool->second) {
    if (reservation.worker == worker.info.incarnation)
      return &reservation;
  }
  return nullptr;
}

}  // namespace quartzhoist::scheduler
