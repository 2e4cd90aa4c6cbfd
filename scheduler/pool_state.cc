// Pool state for operators, computed once a second.

#include <algorithm>

#include "scheduler/scheduler.h"
#include "scheduler/start_constraints.h"

namespace quartzhoist::scheduler {

namespace {

// A long-running task's wait for capacity is reported if it is longer than
// this.
constexpr base::Micros kReportedWait = std::chrono::seconds(2);

// CPU cores of a box, and whether the box may move to another pool.
struct BoxCores {
  const std::string* pool = nullptr;
  double total = 0.0;
  double unused = 0.0;
  bool may_move = false;
};

int PercentOf(double wanted, double available) {
  if (available <= 0.0 || 100 * wanted >= kMaxLoadPercent * available)
    return kMaxLoadPercent;
  return static_cast<int>(100 * wanted / available);
}

// Cores available to the pool: those of its own boxes, and the unused ones of
// boxes in other pools that may move.
double AvailableCores(const std::string& pool,
                      const std::vector<BoxCores>& boxes) {
  double cores = 0.0;
  for (const BoxCores& box : boxes) {
    if (*box.pool == pool)
      cores += box.total;
    else if (box.may_move)
      cores += box.unused;
  }
  return cores;
}

void CountWorker(const Reservations& reservations,
                 const Worker& worker,
                 const ReadyTask& task,
                 LongRunningWait& wait) {
  const Job& job = *task.job;
  const jobs::Step& step = StepOf(job, task.position);
  const jobs::Resources free = worker.free_capacity();
  ++wait.usable;
  wait.with_cores += free.cpu_millis >= wait.takes.cpu_millis;
  wait.with_memory += free.memory_mb >= wait.takes.memory_mb;
  if (!jobs::Fits(wait.takes, free))
    return;
  ++wait.fitting;
  wait.at_limit += !IsBelowStepLimit(worker, job, task.position);
  wait.unlabelled += !HasRequiredLabel(worker, step);
  const jobs::Resources held =
      reservations.HeldFrom(job, task.position, worker);
  wait.reserved += !jobs::Fits(wait.takes + held, free);
}

}  // namespace

std::vector<PoolState> Scheduler::PoolStates(base::Micros now) const {
  std::map<std::string, PoolState> states;
  std::vector<BoxCores> boxes;
  for (const jobs::Service& service : this->config.services)
    states[service.name].pool = service.name;
  for (const auto& [id, worker] : this->workers) {
    PoolState& state = states[worker.info.service];
    state.pool = worker.info.service;
    ++state.boxes;
    const double unused =
        static_cast<double>(worker.free_capacity().cpu_millis) / 1000.0;
    if (this->IsUsable(worker, now)) {
      ++state.usable;
      state.free_cores += std::max(0.0, unused);
    }
    if (const auto reason = this->fleet.LeavingReasonOf(worker.info.box)) {
      ++state.leaving;
      ++state.leaving_for[*reason];
    }
    state.idle += worker.idle();
    state.pinned += worker.long_running_tasks > 0;
    state.busy_cores += static_cast<double>(worker.used.cpu_millis) / 1000.0;
    if (!worker.is_announced || !worker.has_reported || worker.info.draining)
      continue;
    boxes.push_back(
        {.pool = &worker.info.service,
         .total = static_cast<double>(worker.info.capacity.cpu_millis) / 1000.0,
         .unused = unused,
         .may_move = worker.long_running_tasks == 0});
  }
  for (const auto& [service, tasks] : this->ready) {
    PoolState& state = states[service];
    state.pool = service;
    for (const ReadyTask& task : tasks) {
      const jobs::Step& step = StepOf(*task.job, task.position);
      const Task& waiting = TaskAt(*task.job, task.position);
      if (waiting.state != TaskState::kReady)
        continue;
      const base::Micros waited = now - waiting.ready_since;
      ++state.waiting;
      state.waiting_cores +=
          static_cast<double>(step.task_resources.cpu_millis) / 1000.0;
      state.oldest = std::max(state.oldest, waited);
      PoolState::Waiting& same_reason = state.waiting_for[waiting.wait_reason];
      ++same_reason.tasks;
      same_reason.oldest = std::max(same_reason.oldest, waited);
    }
  }
  for (const auto& [id, job] : this->jobs) {
    if (!job.finished() && !job.progress.losses.empty())
      states[job.queue.service].given_up += CountGivenUpTasks(job);
  }
  std::vector<PoolState> list;
  for (auto& [name, state] : states) {
    state.free_cores = std::max(0.0, state.free_cores - state.waiting_cores);
    const auto effort = this->placement_effort.find(name);
    if (effort != this->placement_effort.end())
      state.placement_effort = effort->second;
    state.load_percent = PercentOf(state.busy_cores + state.waiting_cores,
                                   AvailableCores(name, boxes));
    list.push_back(std::move(state));
  }
  return list;
}

std::vector<LongRunningWait> Scheduler::LongRunningWaits(
    base::Micros now) const {
  std::vector<LongRunningWait> list;
  for (const auto& [service, tasks] : this->ready) {
    LongRunningWait wait{.pool = service};
    const ReadyTask* first = nullptr;
    for (const ReadyTask& task : tasks) {
      const Task& waiting = TaskAt(*task.job, task.position);
      const base::Micros waited = now - waiting.ready_since;
      if (!StepOf(*task.job, task.position).long_running ||
          waiting.state != TaskState::kReady ||
          waiting.wait_reason != WaitReason::kCapacity ||
          waited <= kReportedWait)
        continue;
      ++wait.waiting;
      wait.interrupted += waiting.latest_run > 0;
      if (first)
        continue;
      first = &task;
      wait.task = IdOf(*task.job, task.position);
      wait.waited = waited;
      wait.takes = ReservedBy(StepOf(*task.job, task.position));
    }
    if (!first)
      continue;
    for (const auto& [id, worker] : this->workers) {
      if (worker.info.service == service && this->IsUsable(worker, now))
        CountWorker(this->reservations, worker, *first, wait);
    }
    list.push_back(std::move(wait));
  }
  return list;
}

// Adds the worker to the counts of what keeps the task off its pool's workers.
// A worker's first label is the kind of its box.
std::vector<std::string> Scheduler::BoxKinds() const {
  std::set<std::string> kinds;
  for (const auto& [id, worker] : this->workers) {
    if (!worker.info.labels.empty())
      kinds.insert(worker.info.labels.front());
  }
  return {kinds.begin(), kinds.end()};
}

}  // namespace quartzhoist::scheduler
