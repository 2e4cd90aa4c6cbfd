// Searches for the workers that a ready task starts on: which workers a search
// visits, so that a step that fits nowhere costs a pass little.

#include <algorithm>

#include "scheduler/scheduler.h"
#include "scheduler/start_constraints.h"

namespace quartzhoist::scheduler {

namespace {

bool WaitsForIdleWorker(const Task& task, base::Micros now) {
  return now - task.ready_since < kIdleWorkerWait;
}

// The members of a gang need an idle worker as long as any of them does.
SearchKind SearchKindOf(const Job& job,
                        const TaskPosition& position,
                        Suspicion suspicion,
                        base::Micros now) {
  if (suspicion != Suspicion::kProbe)
    return SearchKind::kOrdinary;
  const std::vector<Task>& tasks = StepAt(job, position).tasks;
  const bool waits_for_idle =
      StepOf(job, position).gang
          ? std::any_of(tasks.begin(), tasks.end(),
                        [now](const Task& task) {
                          return WaitsForIdleWorker(task, now);
                        })
          : WaitsForIdleWorker(
                tasks.at(static_cast<std::size_t>(position.index)), now);
  return waits_for_idle ? SearchKind::kIdleProbe : SearchKind::kProbe;
}

std::int64_t CountReady(const StepState& step_state) {
  return std::count_if(
      step_state.tasks.begin(), step_state.tasks.end(),
      [](const Task& task) { return task.state == TaskState::kReady; });
}

}  // namespace

// Returns nothing if the task, or any member of its gang, fits no worker.
std::vector<Assignment> Scheduler::FindWorkers(Job& job,
                                               const TaskPosition& position,
                                               Suspicion suspicion,
                                               PlacementPass& pass,
                                               base::Micros now) {
  if (job.queue.advice.required)
    return this->FindAdvisedWorkers(job, position, pass, now);
  const SearchKind kind = SearchKindOf(job, position, suspicion, now);
  if (StepOf(job, position).gang)
    return this->FindWorkersForGang(job, position, kind, pass, now);
  return this->FindWorkerForTask(job, position, kind, pass, now);
}

std::vector<Assignment> Scheduler::FindWorkerForTask(
    Job& job,
    const TaskPosition& position,
    SearchKind kind,
    PlacementPass& pass,
    base::Micros now) {
  StepSearches& searches = StepAt(job, position).searches;
  const jobs::Resources takes = ReservedBy(StepOf(job, position));
  const std::uint64_t failed_in = searches.LatestFor(kind).pass;
  // 1. The candidates that may take the task.
  std::vector<Worker*> visited;
  if (failed_in > 0)
    visited = pass.candidates.OpenedAfter(failed_in);
  else if (!pass.IsExhausted(takes))
    visited = pass.candidates.all();
  // The step's other tasks were refused what is reserved for this one.
  if (Worker* reserved = this->ReservedCandidate(job, position))
    visited.push_back(reserved);
  std::vector<Assignment> choices =
      this->ChooseWorkers(job, position, visited, now);
  pass.visits += choices.empty() ? visited.size() : 0;
  if (choices.empty() && failed_in == 0 && !visited.empty()) {
    pass.RecordIfExhausted(takes);
    pass.visits += visited.size();
  }
  // 2. A box that a wave can't empty keeps its long-running tasks, so that
  // another one does not put the wave off any further.
  const bool may_use_stalled =
      kind == SearchKind::kOrdinary && StepOf(job, position).long_running;
  if (choices.empty() && may_use_stalled) {
    visited = failed_in > 0 ? pass.stalled.OpenedAfter(failed_in)
                            : pass.stalled.all();
    choices = this->ChooseWorkers(job, position, visited, now);
    pass.visits += choices.empty() ? visited.size() : 0;
  }
  if (choices.empty())
    searches.Of(kind).pass = pass.number;
  return choices;
}

std::vector<Assignment> Scheduler::FindWorkersForGang(
    Job& job,
    const TaskPosition& position,
    SearchKind kind,
    PlacementPass& pass,
    base::Micros now) {
  StepState& step_state = StepAt(job, position);
  FailedSearch failed = step_state.searches.LatestFor(kind);
  const std::int64_t members = CountReady(step_state);
  const std::vector<Worker*>& all = pass.candidates.all();
  // 1. Room that has come up since the last search can't be enough if the sum
  // of both is not.
  bool may_fit = !pass.IsExhausted(ReservedBy(StepOf(job, position)));
  if (failed.pass > 0) {
    const auto opened = pass.candidates.OpenedAfter(failed.pass);
    pass.visits += opened.size();
    failed.room += this->CountRoomForMembers(job, position, opened);
    may_fit = may_fit && failed.room >= members;
  }
  // 2. Count before choosing, which visits the workers once for each member.
  std::vector<Assignment> choices;
  if (may_fit) {
    failed.room = this->CountRoomForMembers(job, position, all);
    pass.visits += failed.room < members ? all.size() : 0;
    if (failed.room >= members) {
      choices = this->ChooseWorkers(job, position, all, now);
      pass.visits +=
          choices.empty() ? all.size() * static_cast<std::size_t>(members) : 0;
    }
  }
  if (choices.empty())
    step_state.searches.Of(kind) = {.pass = pass.number, .room = failed.room};
  return choices;
}

// Only workers with a ticket are visited, and these are few.
std::vector<Assignment> Scheduler::FindAdvisedWorkers(
    Job& job,
    const TaskPosition& position,
    PlacementPass& pass,
    base::Micros now) {
  std::vector<Assignment> choices;
  const std::vector<Worker*> visited =
      this->CandidatesWithTickets(job, position, now);
  if (!pass.IsExhausted(ReservedBy(StepOf(job, position))))
    choices = this->ChooseWorkers(job, position, visited, now);
  if (!choices.empty())
    return choices;
  pass.visits += visited.size();
  // Workers that have not been asked for may have the room that those with a
  // ticket lack.
  this->RequestAdviceFor(job, position, pass, now);
  return {};
}

// Upper bound of the gang's members that the workers have room for together.
std::int64_t Scheduler::CountRoomForMembers(
    const Job& job,
    const TaskPosition& position,
    const std::vector<Worker*>& visited) const {
  const jobs::Step& step = StepOf(job, position);
  const jobs::Resources takes = ReservedBy(step);
  const auto members = static_cast<std::int64_t>(step.tasks);
  std::int64_t room = 0;
  for (const Worker* worker : visited) {
    if (worker->probe_runs > 0 || !HasRequiredLabel(*worker, step) ||
        !IsBelowStepLimit(*worker, job, position))
      continue;
    const jobs::Resources free =
        worker->free_capacity() -
        this->reservations.HeldFrom(job, position, *worker);
    const std::int64_t limit =
        step.max_per_worker > 0 ? step.max_per_worker : members;
    room += std::min(jobs::CountFitting(takes, free, members), limit);
  }
  return room;
}

// The worker that is reserved for the task, if it is a candidate; else null.
Worker* Scheduler::ReservedCandidate(const Job& job,
                                     const TaskPosition& position) {
  const jobs::WorkerIncarnation* reserved =
      this->reservations.FindFor(job, position);
  Worker* worker = reserved ? this->FindIncarnation(*reserved) : nullptr;
  return worker && worker->last_view.is_candidate ? worker : nullptr;
}

}  // namespace quartzhoist::scheduler
