#include "scheduler/job.h"

#include <algorithm>
#include <utility>

namespace quartzhoist::scheduler {

namespace {

StepState MakeStep(const jobs::Step& step,
                   const jobs::Progress& progress,
                   const jobs::StepKey& key) {
  StepState step_state;
  step_state.tasks.resize(static_cast<std::size_t>(step.tasks));
  for (std::size_t i = 0; i < step_state.tasks.size(); ++i) {
    const int index = static_cast<int>(i);
    if (progress.IsDone(key, index)) {
      step_state.tasks[i].state = TaskState::kDone;
      ++step_state.tasks_done;
    }
    const auto failed = progress.failures.find({.step = key, .index = index});
    if (failed != progress.failures.end())
      step_state.tasks[i].latest_run = *failed->second.rbegin();
  }
  return step_state;
}

bool IsStepDone(const StepState& step) {
  return step.tasks_done == static_cast<int>(step.tasks.size());
}

bool ArePredecessorsDone(const jobs::Step& step, const Occurrence& occurrence) {
  for (const int before : step.depends_on) {
    if (!IsStepDone(occurrence.steps[static_cast<std::size_t>(before)]))
      return false;
  }
  return true;
}

}  // namespace

Job MakeJob(std::string id,
            jobs::Queue queue,
            jobs::JobSpec spec,
            jobs::Progress progress,
            base::Micros accepted,
            base::Micros time_of_day_offset) {
  Job job;
  job.id = std::move(id);
  job.queue = std::move(queue);
  job.spec = std::move(spec);
  job.progress = std::move(progress);
  job.accepted_at = accepted;
  job.has_started = job.progress.state != jobs::JobState::kQueued ||
                    !job.progress.done.empty() ||
                    !job.progress.failures.empty();
  const std::int64_t count = job.spec.occurrences();
  for (std::int64_t k = 0; k < count; ++k) {
    Occurrence occurrence;
    if (job.spec.repeat_count > 0) {
      const std::int64_t at_ms =
          job.spec.start_at_ms + k * job.spec.interval_ms;
      occurrence.due = std::chrono::milliseconds(at_ms) + time_of_day_offset;
    } else {
      occurrence.due = accepted;
    }
    for (std::size_t s = 0; s < job.spec.steps.size(); ++s) {
      const jobs::StepKey key{.occurrence = static_cast<int>(k),
                              .step = static_cast<int>(s)};
      occurrence.steps.push_back(
          MakeStep(job.spec.steps[s], job.progress, key));
    }
    job.occurrences.push_back(std::move(occurrence));
  }
  return job;
}

jobs::TaskKey KeyOf(const TaskPosition& position) {
  return {.step = {.occurrence = position.occurrence, .step = position.step},
          .index = position.index};
}

TaskPosition PositionOf(const jobs::TaskId& task) {
  return {
      .occurrence = task.occurrence, .step = task.step, .index = task.index};
}

TaskPosition PositionOf(const jobs::TaskKey& key) {
  return {.occurrence = key.step.occurrence,
          .step = key.step.step,
          .index = key.index};
}

jobs::TaskId IdOf(const Job& job, const TaskPosition& position) {
  return {.job = job.id,
          .occurrence = position.occurrence,
          .step = position.step,
          .index = position.index};
}

bool HasTask(const Job& job, const TaskPosition& position) {
  const auto k = static_cast<std::size_t>(position.occurrence);
  const auto s = static_cast<std::size_t>(position.step);
  const auto i = static_cast<std::size_t>(position.index);
  return position.occurrence >= 0 && position.step >= 0 &&
         position.index >= 0 && k < job.occurrences.size() &&
         s < job.occurrences[k].steps.size() &&
         i < job.occurrences[k].steps[s].tasks.size();
}

const StepState& StepAt(const Job& job, const TaskPosition& position) {
  return job.occurrences[static_cast<std::size_t>(position.occurrence)]
      .steps[static_cast<std::size_t>(position.step)];
}

StepState& StepAt(Job& job, const TaskPosition& position) {
  return job.occurrences[static_cast<std::size_t>(position.occurrence)]
      .steps[static_cast<std::size_t>(position.step)];
}

Task& TaskAt(Job& job, const TaskPosition& position) {
  return StepAt(job, position).tasks[static_cast<std::size_t>(position.index)];
}

const jobs::Step& StepOf(const Job& job, const TaskPosition& position) {
  return job.spec.steps[static_cast<std::size_t>(position.step)];
}

bool IsPlacedAs(const Task& task,
                const jobs::WorkerIncarnation& worker,
                int run) {
  return task.state == TaskState::kPlaced && task.worker == worker &&
         task.run == run;
}

jobs::Resources ReservedBy(const jobs::Step& step) {
  jobs::Resources takes = step.task_resources;
  // A filling task uses only CPU time left over by others, so it reserves none.
  if (step.fills)
    takes.cpu_millis = 0;
  return takes;
}

std::vector<TaskPosition> ReleaseSteps(Job& job, base::Micros now) {
  std::vector<TaskPosition> ready;
  if (job.finished() || job.cancelled)
    return ready;
  for (std::size_t k = 0; k < job.occurrences.size(); ++k) {
    Occurrence& occurrence = job.occurrences[k];
    if (job.spec.repeat_count > 0 && occurrence.due > now)
      break;
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      StepState& step_state = occurrence.steps[s];
      const jobs::Step& step = job.spec.steps[s];
      if (step_state.released || !ArePredecessorsDone(step, occurrence))
        continue;
      step_state.released = true;
      for (std::size_t i = 0; i < step_state.tasks.size(); ++i) {
        Task& task = step_state.tasks[i];
        if (task.state != TaskState::kBlocked)
          continue;
        task.state = TaskState::kReady;
        task.ready_since = now;
        if (step.gang && i > 0)
          continue;
        ready.push_back({.occurrence = static_cast<int>(k),
                         .step = static_cast<int>(s),
                         .index = static_cast<int>(i)});
      }
    }
  }
  return ready;
}

std::optional<jobs::TaskKey> FindExhaustedTask(const Job& job) {
  const jobs::Progress& progress = job.progress;
  for (const auto& [task, runs] : progress.failures) {
    if (!progress.IsDone(task.step, task.index) &&
        progress.FailureCount(task) >= job.queue.attempts)
      return task;
  }
  return std::nullopt;
}

bool IsGangWithPlacedMember(const Job& job, const TaskPosition& position) {
  const std::vector<Task>& tasks = StepAt(job, position).tasks;
  return StepOf(job, position).gang &&
         std::any_of(tasks.begin(), tasks.end(), [](const Task& member) {
           return member.state == TaskState::kPlaced;
         });
}

void RecordCheckpoint(Job& job,
                      const TaskPosition& position,
                      const Checkpoint& reported) {
  Task& task = TaskAt(job, position);
  if (reported.text.empty() || reported.run < task.checkpoint.run)
    return;
  // A member that has not saved again reports an older one than those that
  // have.
  const bool is_new = reported.text != task.checkpoint.text;
  task.checkpoint = reported;
  Checkpoint& of_gang = StepAt(job, position).gang_checkpoint;
  if (StepOf(job, position).gang && is_new && reported.run >= of_gang.run)
    of_gang = reported;
}

// Any member's checkpoint serves for its gang, but all members must bring the
// same.
std::string CheckpointFor(const Job& job, const TaskPosition& position) {
  const jobs::Step& step = StepOf(job, position);
  const StepState& step_state = StepAt(job, position);
  if (!step.checkpoints)
    return {};
  return step.gang
             ? step_state.gang_checkpoint.text
             : step_state.tasks.at(static_cast<std::size_t>(position.index))
                   .checkpoint.text;
}

void ForgetSearches(Job& job) {
  for (Occurrence& occurrence : job.occurrences) {
    for (StepState& step : occurrence.steps)
      step.searches = {};
  }
}

int CountGivenUpTasks(const Job& job) {
  int count = 0;
  for (const Occurrence& occurrence : job.occurrences) {
    for (const StepState& step : occurrence.steps) {
      for (const Task& task : step.tasks)
        count += task.state == TaskState::kGivenUp;
    }
  }
  return count;
}

bool AreAllTasksDone(const Job& job) {
  for (const Occurrence& occurrence : job.occurrences) {
    for (const StepState& step : occurrence.steps) {
      if (!IsStepDone(step))
        return false;
    }
  }
  return true;
}

}  // namespace quartzhoist::scheduler
