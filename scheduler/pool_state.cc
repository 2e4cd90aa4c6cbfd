// What an operator wants to see of the pools, once a second.

#include <algorithm>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

std::vector<PoolState> Scheduler::PoolStates(base::Micros now) const {
  std::map<std::string, PoolState> states;
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
  }
  for (const auto& [service, tasks] : this->ready) {
    PoolState& state = states[service];
    state.pool = service;
    for (const ReadyTask& task : tasks) {
      const jobs::Step& step = StepOf(*task.job, task.place);
      ++state.waiting;
      state.waiting_cores += static_cast<double>(step.each.cpu_millis) / 1000.0;
      state.oldest = std::max(state.oldest,
                              now - TaskAt(*task.job, task.place).ready_since);
    }
  }
  std::vector<PoolState> list;
  for (auto& [name, state] : states)
    list.push_back(std::move(state));
  return list;
}

}  // namespace quartzhoist::scheduler
