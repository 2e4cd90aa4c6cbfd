#include "scheduler/waiting_tasks.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "scheduler/scheduler.h"

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

}  // namespace quartzhoist::scheduler
