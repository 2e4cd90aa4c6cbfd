// What an operator wants to see of the pools, once a second.

#include <algorithm>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

// A pool that can get no box counts as so full.
constexpr int kMostPercent = 1000;

// Cores of a box, and whether it could serve another pool than its own.
struct BoxCores {
  const std::string* pool = nullptr;
  double all = 0.0;
  double unused = 0.0;
  bool may_move = false;
};

int PercentOf(double wanted, double available) {
  if (available <= 0.0 || 100 * wanted >= kMostPercent * available)
    return kMostPercent;
  return static_cast<int>(100 * wanted / available);
}

// What the pool could get, its own work included.
double CoresFor(const std::string& pool, const std::vector<BoxCores>& boxes) {
  double cores = 0.0;
  for (const BoxCores& box : boxes) {
    if (*box.pool == pool)
      cores += box.all;
    else if (box.may_move)
      cores += box.unused;
  }
  return cores;
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
    state.usable += this->Usable(worker, now);
    state.leaving += this->fleet.IsLeaving(worker.info.box);
    state.idle += worker.idle();
    state.pinned += worker.lasting > 0;
    state.busy_cores += static_cast<double>(worker.used.cpu_millis) / 1000.0;
    if (!worker.announced || !worker.listed || worker.info.draining)
      continue;
    boxes.push_back(
        {.pool = &worker.info.service,
         .all = static_cast<double>(worker.info.capacity.cpu_millis) / 1000.0,
         .unused = static_cast<double>(worker.room().cpu_millis) / 1000.0,
         .may_move = worker.lasting == 0});
  }
  for (const auto& [service, tasks] : this->ready) {
    PoolState& state = states[service];
    state.pool = service;
    for (const ReadyTask& task : tasks) {
      const jobs::Step& step = StepOf(*task.job, task.place);
      const Task& waiting = TaskAt(*task.job, task.place);
      if (waiting.state != TaskState::kReady)
        continue;
      const base::Micros waited = now - waiting.ready_since;
      ++state.waiting;
      state.waiting_cores +=
          static_cast<double>(step.task_resources.cpu_millis) / 1000.0;
      state.oldest = std::max(state.oldest, waited);
      PoolState::Waiting& alike = state.waiting_for[waiting.waits_for];
      ++alike.tasks;
      alike.oldest = std::max(alike.oldest, waited);
    }
  }
  for (const auto& [id, job] : this->jobs) {
    if (!job.finished() && !job.progress.losses.empty())
      states[job.queue.service].given_up += GivenUpTasks(job);
  }
  std::vector<PoolState> list;
  for (auto& [name, state] : states) {
    state.load_percent = PercentOf(state.busy_cores + state.waiting_cores,
                                   CoresFor(name, boxes));
    list.push_back(std::move(state));
  }
  return list;
}

// A worker's first label is its kind.
std::vector<std::string> Scheduler::Kinds() const {
  std::set<std::string> kinds;
  for (const auto& [id, worker] : this->workers) {
    if (!worker.info.labels.empty())
      kinds.insert(worker.info.labels.front());
  }
  return {kinds.begin(), kinds.end()};
}

}  // namespace quartzhoist::scheduler
