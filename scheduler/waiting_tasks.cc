#include "scheduler/waiting_tasks.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "scheduler/scheduler.h"
#include "scheduler/start_constraints.h"

namespace quartzhoist::scheduler {

namespace {

// Most waits for a run's end, a start or a takeover are shorter.
constexpr base::Micros kLongWait = std::chrono::seconds(3);

const Run* FindRun(const Worker* worker, const jobs::TaskId& id, int number) {
  if (!worker)
    return nullptr;
  const auto found = worker->runs.find(id);
  const bool is_match =
      found != worker->runs.end() && found->second.number == number;
  return is_match ? &found->second : nullptr;
}

// Since when nothing shows that a placed task is at work; empty if it is.
std::optional<base::Micros> NotAtWorkSince(const Worker& worker,
                                           const Run& run) {
  switch (run.state) {
    case RunState::kPlanned:
    case RunState::kInherited:
    case RunState::kStarting:
    case RunState::kUnsettled:
      return run.decided_at;
    case RunState::kRunning:
    case RunState::kStopping:
      break;
  }
  if (run.missing_since > base::Micros::zero())
    return run.missing_since;
  if (worker.failed_calls > 0)
    return std::max(worker.last_answer_at, run.decided_at);
  return std::nullopt;
}

void DescribeWorker(const Worker& worker,
                    base::Micros now,
                    WaitingTask& waiting) {
  if (worker.last_answer_at > base::Micros::zero())
    waiting.last_answer_ago = now - worker.last_answer_at;
  waiting.lease_left = worker.latest_lease_end - now;
  waiting.failed_calls = worker.failed_calls;
}

std::optional<TaskPosition> FirstUndoneTask(const Job& job) {
  for (std::size_t k = 0; k < job.occurrences.size(); ++k) {
    const std::vector<StepState>& steps = job.occurrences[k].steps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
      for (std::size_t i = 0; i < steps[s].tasks.size(); ++i) {
        if (steps[s].tasks[i].state != TaskState::kDone)
          return TaskPosition{.occurrence = static_cast<int>(k),
                              .step = static_cast<int>(s),
                              .index = static_cast<int>(i)};
      }
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<WaitingTask> Scheduler::DescribeWait(const Job& job,
                                                   const TaskPosition& position,
                                                   base::Micros now) const {
  const Task& task =
      StepAt(job, position).tasks[static_cast<std::size_t>(position.index)];
  WaitingTask waiting{.task = IdOf(job, position),
                      .pool = job.queue.service,
                      .state = task.state,
                      .reason = task.wait_reason};
  base::Micros since = std::max(task.ready_since, job.accepted_at);
  if (task.state == TaskState::kPlaced) {
    const Worker* worker = this->FindWorker(task.worker);
    const Run* run = FindRun(worker, waiting.task, task.run);
    const std::optional<base::Micros> idle_since =
        run ? NotAtWorkSince(*worker, *run) : since;
    if (!idle_since)
      return std::nullopt;
    since = *idle_since;
    waiting.worker = task.worker;
    waiting.run = task.run;
    if (run)
      waiting.run_state = run->state;
    if (worker)
      DescribeWorker(*worker, now, waiting);
  }
  waiting.waited = now - since;
  if (waiting.waited < kLongWait)
    return std::nullopt;
  return waiting;
}

// Adds the job's tasks of released steps that have waited long. If no released
// step has a task left to run, adds the first task that is not done.
void Scheduler::CollectWaits(const Job& job,
                             base::Micros now,
                             std::vector<WaitingTask>& waits) const {
  const auto add = [&](const TaskPosition& position) {
    if (auto waiting = this->DescribeWait(job, position, now))
      waits.push_back(std::move(*waiting));
  };
  bool has_task = job.spec.repeat_count > 0;
  for (std::size_t k = 0; k < job.occurrences.size(); ++k) {
    const std::vector<StepState>& steps = job.occurrences[k].steps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
      const std::vector<Task>& tasks = steps[s].tasks;
      if (!steps[s].released ||
          steps[s].tasks_done == static_cast<int>(tasks.size()))
        continue;
      has_task = true;
      for (std::size_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].state != TaskState::kDone)
          add({.occurrence = static_cast<int>(k),
               .step = static_cast<int>(s),
               .index = static_cast<int>(i)});
      }
    }
  }
  if (has_task)
    return;
  if (const std::optional<TaskPosition> undone = FirstUndoneTask(job))
    add(*undone);
}

std::vector<WaitingTask> Scheduler::LongestWaits(std::size_t most,
                                                 base::Micros now) const {
  // 1. Collect all long waits.
  std::vector<WaitingTask> waits;
  for (const auto& [id, job] : this->jobs) {
    if (!job.finished() && !job.cancelled)
      this->CollectWaits(job, now, waits);
  }
  // 2. Keep the longest.
  const auto end =
      waits.begin() + static_cast<std::ptrdiff_t>(std::min(most, waits.size()));
  std::partial_sort(waits.begin(), end, waits.end(),
                    [](const WaitingTask& a, const WaitingTask& b) {
                      return a.waited > b.waited;
                    });
  waits.erase(end, waits.end());
  // 3. Look them up in the queues.
  for (const auto& [service, tasks] : this->ready) {
    for (const ReadyTask& task : tasks) {
      for (WaitingTask& waiting : waits) {
        if (waiting.task.job == task.job->id &&
            PositionOf(waiting.task) == task.position)
          waiting.is_queued = true;
      }
    }
  }
  return waits;
}

// --- A job that an operator asked about ---

ExplainedTask Scheduler::ExplainTask(const Job& job,
                                     const TaskPosition& position,
                                     base::Micros now) const {
  const Task& task =
      StepAt(job, position).tasks[static_cast<std::size_t>(position.index)];
  ExplainedTask explained{.position = position, .state = task.state};
  base::Micros since = job.accepted_at;
  if (task.state == TaskState::kReady) {
    since = std::max(task.ready_since, job.accepted_at);
    explained.waits_for = base::NameOf(kWaitReasonNames, task.wait_reason);
  } else if (task.state == TaskState::kPlaced) {
    const Worker* worker = this->FindWorker(task.worker);
    const Run* run = FindRun(worker, IdOf(job, position), task.run);
    const std::optional<base::Micros> idle_since =
        run ? NotAtWorkSince(*worker, *run) : task.ready_since;
    explained.is_at_work = !idle_since;
    since = idle_since.value_or(run ? run->decided_at : task.ready_since);
    const bool is_planned = run && run->state == RunState::kPlanned;
    const bool is_starting = run && run->state == RunState::kStarting;
    if (is_planned)
      explained.waits_for = kWaitsForStore;
    else if (idle_since && !is_starting)
      explained.waits_for = base::NameOf(kWaitReasonNames, WaitReason::kLease);
  }
  explained.since = now - since;
  return explained;
}

bool Scheduler::FitsInEvacuatedZone(const Job& job,
                                    const TaskPosition& position) const {
  const jobs::Resources takes = ReservedBy(StepOf(job, position));
  return std::any_of(this->workers.begin(), this->workers.end(),
                     [&](const auto& entry) {
                       const Worker& worker = entry.second;
                       return this->fleet.IsEvacuated(worker.info.zone) &&
                              Fits(takes, worker.free_capacity()) &&
                              IsSuitable(worker, job, position);
                     });
}

// Adds what only a pass over the workers and the pool's queue shows. A gang
// stands in the queue with its first task, for all of them.
void Scheduler::AddQueuePositions(const Job& job,
                                  std::vector<ExplainedTask>& tasks) const {
  std::map<std::pair<int, int>, bool> fits_in_evacuated_zone;
  for (ExplainedTask& task : tasks) {
    const WaitReason reason =
        StepAt(job, task.position)
            .tasks[static_cast<std::size_t>(task.position.index)]
            .wait_reason;
    const bool lacks_worker = reason == WaitReason::kCapacity ||
                              reason == WaitReason::kNoSuitableWorker;
    if (task.state != TaskState::kReady || !lacks_worker)
      continue;
    const std::pair step(task.position.occurrence, task.position.step);
    const auto [known, is_new] =
        fits_in_evacuated_zone.try_emplace(step, false);
    if (is_new)
      known->second = this->FitsInEvacuatedZone(job, task.position);
    if (known->second)
      task.waits_for = kWaitsForEvacuation;
  }
  const auto queue = this->ready.find(job.queue.service);
  if (queue == this->ready.end())
    return;
  int before = 0;
  for (const ReadyTask& queued : queue->second) {
    const jobs::Step& step = StepOf(*queued.job, queued.position);
    for (ExplainedTask& task : tasks) {
      if (task.state == TaskState::kReady &&
          StandsFor(queued, job, task.position))
        task.ahead = before;
    }
    before += step.gang ? static_cast<int>(step.tasks) : 1;
  }
}

std::optional<ExplainedTasks> Scheduler::ExplainJob(const std::string& id,
                                                    std::size_t most,
                                                    base::Micros now) const {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end())
    return std::nullopt;
  const Job& job = found->second;
  enum Group { kWaiting, kAtWork, kBlocked, kGroups };
  std::array<std::vector<ExplainedTask>, kGroups> groups;
  ExplainedTasks explained;
  const auto add = [&](const TaskPosition& position, TaskState state) {
    const bool may_start = !job.finished() && !job.cancelled;
    const bool is_waiting =
        state == TaskState::kBlocked || state == TaskState::kReady;
    if (state != TaskState::kPlaced && !(is_waiting && may_start))
      return;
    const ExplainedTask task = this->ExplainTask(job, position, now);
    const Group group = state == TaskState::kBlocked ? kBlocked
                        : task.is_at_work            ? kAtWork
                                                     : kWaiting;
    if (groups[group].size() < most)
      groups[group].push_back(task);
    else
      ++explained.left_out;
  };
  for (std::size_t k = 0; k < job.occurrences.size(); ++k) {
    const std::vector<StepState>& steps = job.occurrences[k].steps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
      for (std::size_t i = 0; i < steps[s].tasks.size(); ++i)
        add({.occurrence = static_cast<int>(k),
             .step = static_cast<int>(s),
             .index = static_cast<int>(i)},
            steps[s].tasks[i].state);
    }
  }
  for (const std::vector<ExplainedTask>& group : groups) {
    for (const ExplainedTask& task : group) {
      if (explained.tasks.size() < most)
        explained.tasks.push_back(task);
      else
        ++explained.left_out;
    }
  }
  this->AddQueuePositions(job, explained.tasks);
  this->AddExpectedStarts(job, explained.tasks, now);
  return explained;
}

}  // namespace quartzhoist::scheduler
