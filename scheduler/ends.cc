// How runs end, and what follows for their tasks, jobs and workers.

#include <algorithm>

#include <fmt/format.h>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;

// Moving average of failed ends; the weight of one more. About the last five
// count: a worker that fails everything is found after two or three ends.
constexpr double kFailureWeight = 0.25;
// Above this share of failures a worker gets nothing for a while. The few tasks
// that fail anywhere stay below it.
constexpr double kFailureLimit = 0.4;
constexpr base::Micros kQuarantine = std::chrono::seconds(4);
// After it, one failure more puts the worker back.
constexpr double kFailureAfterQuarantine = 0.3;
// A run whose percent has not changed for so long stands still: tasks take 0.8
// to 5 s, and even at an eighth of its speed a task of 5 s makes 3% in this
// time.
constexpr base::Micros kStallTime = milliseconds(1800);
// A run crawls if what is left takes so many times what a run takes elsewhere.
constexpr int kSlowTimes = 2;
constexpr base::Micros kSlowSlack = milliseconds(500);
// How long a worker that crawls is passed over for others.
constexpr base::Micros kSlowFor = std::chrono::seconds(4);
// A task is taken off a worker so often at most: it may be the task.
constexpr int kMostMoves = 2;
// How many workers on which a task failed are remembered.
constexpr std::size_t kFailedOn = 4;

void RememberFailure(Task& task, const jobs::WorkerIncarnation& worker) {
  task.failed_on.push_back(worker);
  if (task.failed_on.size() > kFailedOn)
    task.failed_on.erase(task.failed_on.begin());
}

}  // namespace

void Scheduler::TakeEnd(Worker& worker,
                        const ListedEnd& end,
                        base::Micros now) {
  // 1. The run's room is free.
  const auto run = worker.runs.find(end.task);
  const bool is_ours =
      run != worker.runs.end() && run->second.number == end.run;
  if (is_ours) {
    const Run ended = run->second;
    RemoveRun(worker, end.task);
    Job* job = this->FindJob(end.task.job);
    if (job && !ended.lasting) {
      JobStory& story = job->story;
      story.longest_run = std::max(story.longest_run, now - ended.since);
    }
    if (job && end.how == RunEnd::kDone && !ended.adopted && !ended.lasting) {
      const jobs::Step& step = StepOf(*job, PlaceOf(end.task));
      this->run_times.Learn(step.image.empty() ? job->queue.name : step.image,
                            now - ended.since);
    }
  }
  // 2. The task's fate.
  Job* job = this->FindJob(end.task.job);
  if (!job) {
    this->HoldEnd(worker, end);
    return;
  }
  if (!Exists(*job, PlaceOf(end.task)))
    return;
  this->TakeFate(*job, worker.info.life, end, now);
  // 3. It is acknowledged once the job's row holds it.
  worker.pending_ends.push_back(
      {.number = end.number, .job = job->id, .change = job->change});
}

void Scheduler::TakeFate(Job& job,
                         const jobs::WorkerIncarnation& worker,
                         const ListedEnd& end,
                         base::Micros now) {
  const TaskPlace place = PlaceOf(end.task);
  job.begun = true;
  Task& task = TaskAt(job, place);
  if (!end.checkpoint.empty())
    task.checkpoint = end.checkpoint;
  const bool lasting = StepOf(job, place).long_running;
  const bool done = end.how == RunEnd::kDone && !lasting;
  const bool failed = end.how == RunEnd::kFailed;
  if (done)
    this->TaskDone(job, place, now);
  else if (failed && !lasting)
    this->TaskFailed(job, place, end.run, worker, now);
  else if (failed)
    RememberFailure(task, worker);
  const auto by = this->workers.find(worker);
  if ((done || failed) && by != this->workers.end())
    this->JudgeWorker(by->second, failed, now);
  this->TaskLost(end.task, end.run, now);
}

void Scheduler::TaskDone(Job& job, const TaskPlace& place, base::Micros now) {
  const jobs::StepKey key{.occurrence = place.occurrence, .step = place.step};
  const jobs::Step& step = StepOf(job, place);
  StepRuns& runs = StepAt(job, place);
  // One such end of a gang's member stands for all.
  const int first = step.gang ? 0 : place.index;
  const int last =
      step.gang ? static_cast<int>(runs.tasks.size()) - 1 : place.index;
  bool is_news = false;
  for (int i = first; i <= last; ++i) {
    Task& task = runs.tasks[static_cast<std::size_t>(i)];
    if (task.state == TaskState::kDone)
      continue;
    is_news = true;
    // An earlier run, beyond a cut, was done while another had begun.
    const auto other = this->workers.find(task.worker);
    if (task.state == TaskState::kPlaced && other != this->workers.end()) {
      const TaskPlace member{
          .occurrence = place.occurrence, .step = place.step, .index = i};
      this->Stop(other->second, IdOf(job, member), now);
      if (other->second.runs.contains(IdOf(job, member)))
        job.progress.stopping[KeyOf(member)] = {.worker = task.worker,
                                                .run = task.run};
    }
    task.state = TaskState::kDone;
    ++runs.done;
    job.progress.MarkDone(key, i);
  }
  if (!is_news || job.finished())
    return;
  this->Changed(job);
  if (AllDone(job))
    this->Finish(job, jobs::JobState::kCompleted, now);
  else
    this->Release(job, now);
}

void Scheduler::TaskFailed(Job& job,
                           const TaskPlace& place,
                           int run,
                           const jobs::WorkerIncarnation& worker,
                           base::Micros now) {
  const jobs::Step& step = StepOf(job, place);
  Task& task = TaskAt(job, place);
  RememberFailure(task, worker);
  // A gang fails as one: its first task stands for it.
  const jobs::TaskKey key{
      .step = {.occurrence = place.occurrence, .step = place.step},
      .index = step.gang ? 0 : place.index};
  job.progress.MarkFailed(key, run);
  if (job.finished())
    return;
  this->Changed(job);
  const int count = job.progress.FailureCount(key);
  this->actions.emplace_back(
      Note{job.id, fmt::format("task {}.{}.{} run {} failed on {}, {} of {}",
                               place.occurrence, place.step, place.index, run,
                               worker.id, count, job.queue.attempts)});
  if (count >= job.queue.attempts) {
    task.state = TaskState::kFailed;
    this->Finish(job, jobs::JobState::kFailed, now);
  }
}

void Scheduler::TaskLost(const jobs::TaskId& id, int run, base::Micros now) {
  Job* job = this->FindJob(id.job);
  if (!job || !Exists(*job, PlaceOf(id)))
    return;
  const TaskPlace place = PlaceOf(id);
  const auto stopping = job->progress.stopping.find(KeyOf(place));
  if (stopping != job->progress.stopping.end() && stopping->second.run == run) {
    job->progress.stopping.erase(stopping);
    this->Changed(*job);
  }
  Task& task = TaskAt(*job, place);
  if (task.state != TaskState::kPlaced || task.run != run)
    return;
  task.worker = {};
  task.at_work = false;
  ++job->story.lost_runs;
  if (job->finished()) {
    task.state = TaskState::kBlocked;
    return;
  }
  task.state = TaskState::kReady;
  const jobs::Step& step = StepOf(*job, place);
  if (!step.gang) {
    this->Enqueue(*job, place, now);
    return;
  }
  // A gang is placed again as a whole, once no member is anywhere.
  StepRuns& runs = StepAt(*job, place);
  bool any_placed = false;
  for (std::size_t i = 0; i < runs.tasks.size(); ++i) {
    if (runs.tasks[i].state != TaskState::kPlaced)
      continue;
    any_placed = true;
    const auto worker = this->workers.find(runs.tasks[i].worker);
    const jobs::TaskId member{.job = id.job,
                              .occurrence = id.occurrence,
                              .step = id.step,
                              .index = static_cast<int>(i)};
    if (worker != this->workers.end())
      this->Stop(worker->second, member, now);
  }
  if (any_placed)
    return;
  this->Enqueue(
      *job, {.occurrence = place.occurrence, .step = place.step, .index = 0},
      now);
}

void Scheduler::JudgeWorker(Worker& worker, bool failed, base::Micros now) {
  worker.failure_rate +=
      kFailureWeight * ((failed ? 1.0 : 0.0) - worker.failure_rate);
  if (!failed || worker.failure_rate < kFailureLimit)
    return;
  worker.quarantined_until = now + kQuarantine;
  this->actions.emplace_back(
      Note{worker.info.life.id,
           fmt::format("fails {:.0f}% of its runs: nothing is "
                       "placed for {:.0f} s",
                       worker.failure_rate * 100, base::Seconds(kQuarantine))});
  worker.failure_rate = kFailureAfterQuarantine;
}

// Runs that stand still, or crawl, start anew elsewhere: what they have saved
// goes with them.
void Scheduler::MoveOffBadWorker(Worker& worker, base::Micros now) {
  std::vector<jobs::TaskId> stalled;
  std::vector<jobs::TaskId> slow;
  for (const auto& [id, run] : worker.runs) {
    const Job* job = this->FindJob(id.job);
    const bool unseen = run.progressed == base::Micros::zero();
    if (run.state != RunState::kRunning || unseen || run.pace < 100 || !job ||
        !Exists(*job, PlaceOf(id)) || StepOf(*job, PlaceOf(id)).gang)
      continue;
    if (run.percent < 100 && now - run.progressed > kStallTime)
      stalled.push_back(id);
    else if (this->IsCrawling(*job, id, run, now))
      slow.push_back(id);
  }
  for (const jobs::TaskId& id : stalled) {
    this->JudgeWorker(worker, true, now);
    this->MoveOff(worker, id, "stands still", now);
  }
  for (const jobs::TaskId& id : slow) {
    worker.slow_until = now + kSlowFor;
    this->MoveOff(worker, id, "crawls", now);
  }
}

// Is the run so slow that it would end sooner if it began anew elsewhere?
bool Scheduler::IsCrawling(const Job& job,
                           const jobs::TaskId& id,
                           const Run& run,
                           base::Micros now) const {
  const jobs::Step& step = StepOf(job, PlaceOf(id));
  if (step.long_running || run.adopted || run.percent <= 0 ||
      run.percent >= 100)
    return false;
  const base::Micros expected = this->run_times.Expect(
      step.image.empty() ? job.queue.name : step.image, base::Micros::zero());
  const base::Micros elapsed = now - run.since;
  if (expected <= base::Micros::zero() || elapsed < kSlowTimes * expected)
    return false;
  const base::Micros left = elapsed * (100 - run.percent) / run.percent;
  return left > kSlowTimes * expected + kSlowSlack;
}

void Scheduler::MoveOff(Worker& worker,
                        const jobs::TaskId& id,
                        const char* why,
                        base::Micros now) {
  Job* job = this->FindJob(id.job);
  Task& task = TaskAt(*job, PlaceOf(id));
  if (task.moved >= kMostMoves)
    return;
  ++task.moved;
  RememberFailure(task, worker.info.life);
  this->actions.emplace_back(Note{
      id.job,
      fmt::format("task {}.{}.{} {} on {}: it starts elsewhere", id.occurrence,
                  id.step, id.index, why, worker.info.life.id)});
  this->Stop(worker, id, now);
}

// Ends are recorded in the order of their numbers, since the worker is told
// one number up to which it may forget.
void Scheduler::Acknowledge(Worker& worker) {
  while (!worker.pending_ends.empty()) {
    const PendingEnd& end = worker.pending_ends.front();
    if (end.is_held)
      return;
    const Job* job = this->FindJob(end.job);
    if (job && job->saved_change < end.change)
      return;
    worker.acknowledged = end.number;
    worker.pending_ends.pop_front();
  }
  worker.acknowledged = worker.processed;
}

}  // namespace quartzhoist::scheduler
