#include "scheduler/task_suspicion.h"

#include <algorithm>
#include <cstddef>

namespace quartzhoist::scheduler {

void RecordLastTry(Job& job, const TaskPosition& position, int run) {
  const auto found = job.progress.losses.find(KeyOf(position));
  if (found != job.progress.losses.end() && IsLastTry(found->second))
    job.progress.last_tries[KeyOf(position)].insert(run);
}

void RevokeLastTry(Job& job, const TaskPosition& position, int run) {
  const auto found = job.progress.last_tries.find(KeyOf(position));
  if (found == job.progress.last_tries.end())
    return;
  found->second.erase(run);
  if (found->second.empty())
    job.progress.last_tries.erase(found);
}

Suspicion SuspicionOf(const Job& job,
                      const TaskPosition& position,
                      base::Micros now) {
  if (job.progress.losses.empty())
    return Suspicion::kNone;
  const auto found = job.progress.losses.find(KeyOf(position));
  if (found == job.progress.losses.end())
    return Suspicion::kNone;
  const auto index = static_cast<std::size_t>(position.index);
  const Task& task = StepAt(job, position).tasks[index];
  const auto tries = job.progress.last_tries.find(KeyOf(position));
  return AssessSuspicion(
      found->second,
      tries == job.progress.last_tries.end() ? jobs::RunNumbers()
                                             : tries->second,
      now - task.latest_loss_at, StepOf(job, position).long_running);
}

// The members of a gang start together, so the highest suspicion applies.
Suspicion SuspicionOfStart(const Job& job,
                           const TaskPosition& position,
                           base::Micros now) {
  if (job.progress.losses.empty() || !StepOf(job, position).gang)
    return SuspicionOf(job, position, now);
  Suspicion worst = Suspicion::kNone;
  const auto members = static_cast<int>(StepAt(job, position).tasks.size());
  for (int i = 0; i < members; ++i) {
    const TaskPosition member{
        .occurrence = position.occurrence, .step = position.step, .index = i};
    worst = std::max(worst, SuspicionOf(job, member, now));
  }
  return worst;
}

}  // namespace quartzhoist::scheduler
