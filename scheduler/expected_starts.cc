// Estimates when the waiting tasks of a job will start: as the expected wait of
// a new job, with only the work that is ahead of the task.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

// Why else a task waits says nothing about when that will end. Filling tasks
// start whenever others leave processor time unused.
bool HasKnownWait(const ReadyTask& queued, const ExplainedTask& task) {
  return task.state == TaskState::kReady &&
         task.waits_for ==
             base::NameOf(kWaitReasonNames, WaitReason::kCapacity) &&
         !StepOf(*queued.job, queued.position).fills;
}

// Work of steps not yet released that will be placed before a ready task. The
// steps enter the queue as kStarted, and as kLate once their job is late. Among
// tasks of one class their order is not known: counted as behind, so that the
// figure errs towards a shorter wait.
Work ReleasedBefore(const ReadyTask& task,
                    const PoolWork& unreleased,
                    base::Micros now) {
  const SchedulingClass scheduling_class = task.ClassAt(now);
  Work ahead;
  for (const auto& [priority, work] : unreleased.waiting) {
    if (priority > task.priority)
      break;
    const bool is_more_urgent = priority < task.priority;
    if (is_more_urgent || scheduling_class > SchedulingClass::kStarted)
      ahead += work.on_time;
    if (is_more_urgent || scheduling_class > SchedulingClass::kLate)
      ahead += work.late_or_over_rate;
  }
  return ahead;
}

}  // namespace

void Scheduler::AddExpectedStarts(const Job& job,
                                  std::vector<ExplainedTask>& tasks,
                                  base::Micros now) const {
  const std::string& service = job.queue.service;
  const auto queue = this->ready.find(service);
  if (queue == this->ready.end())
    return;
  // 1. Capacity of the pool, and what begun jobs will still release there. The
  // job's own later steps come after its waiting tasks.
  BegunOccurrences begun = this->OccurrencesWithRuns();
  for (const ReadyTask& queued : queue->second) {
    if (WaitsForCores(queued) &&
        (queued.job->has_started || queued.position.step > 0))
      begun.emplace(queued.job, queued.position.occurrence);
  }
  std::erase_if(begun, [&job](const auto& occurrence) {
    return occurrence.first == &job;
  });
  std::map<std::string, PoolWork> pools;
  this->AddWorkerCapacities(pools, now);
  this->AddWorkOfBegunJobs(pools, begun, now);
  const PoolWork& pool = pools[service];
  // 2. The queue in its order. Any entry of a gang stands for the whole gang.
  Work before;
  std::set<std::tuple<const Job*, int, int>> gangs;
  for (const ReadyTask& queued : queue->second) {
    for (ExplainedTask& task : tasks) {
      if (!StandsFor(queued, job, task.position) || !HasKnownWait(queued, task))
        continue;
      Work ahead = ReleasedBefore(queued, pool, now);
      ahead += before;
      task.expected_start = ComputeExpectedWait(ahead, pool);
    }
    const jobs::Step& step = StepOf(*queued.job, queued.position);
    if (!WaitsForCores(queued))
      continue;
    const Work of_one = this->WorkOf(*queued.job, step);
    if (!step.gang) {
      before += of_one;
      continue;
    }
    const auto members = static_cast<double>(step.tasks);
    const bool is_first =
        !IsGangWithPlacedMember(*queued.job, queued.position) &&
        gangs
            .emplace(queued.job, queued.position.occurrence,
                     queued.position.step)
            .second;
    if (is_first)
      before += {.core_seconds = members * of_one.core_seconds,
                 .ready_cores = members * of_one.ready_cores};
  }
}

}  // namespace quartzhoist::scheduler
