// Advice for queues whose steps may run only on certain workers: when to
// request it, and for which workers.

#include <algorithm>

#include "scheduler/scheduler.h"
#include "scheduler/start_constraints.h"

namespace quartzhoist::scheduler {

namespace {

base::Micros ServiceTime(const jobs::AdviceConfig& cost, std::size_t workers) {
  return cost.time_per_call +
         static_cast<std::int64_t>(workers) * cost.time_per_worker;
}

}  // namespace

std::vector<Worker*> Scheduler::CandidatesWithTickets(
    const Job& job,
    const TaskPosition& position,
    base::Micros now) {
  std::vector<Worker*> found;
  for (const jobs::WorkerIncarnation& allowed :
       StepAt(job, position).advice.WorkersWithTickets(now)) {
    Worker* worker = this->FindIncarnation(allowed);
    if (worker && worker->last_view.is_candidate &&
        worker->info.service == job.queue.service)
      found.push_back(worker);
  }
  return found;
}

// Only workers are named that the task could run on, or each answer might
// allow others alone.
void Scheduler::RequestAdviceFor(Job& job,
                                 const TaskPosition& position,
                                 PlacementPass& pass,
                                 base::Micros now) {
  StepState& step_state = StepAt(job, position);
  StepAdvice& advice = step_state.advice;
  const jobs::AdviceConfig& cost = job.queue.advice;
  if (!advice.MayRequest(now) ||
      !this->advice_calls.MaySend(AdviceUse::kStart, cost.time_per_call, now))
    return;
  // 1. Find out what an answer would be good for.
  std::vector<AdviceCandidate> candidates =
      this->AdviceCandidatesFor(job, position, pass);
  const bool has_room = this->HasRoomForStep(job, position, pass, candidates);
  const AdviceUse use = advice.UseOfRequest(candidates, has_room);
  if (advice.WaitsForRoom(has_room) ||
      !this->advice_calls.MaySend(use, cost.time_per_call, now)) {
    advice.Postpone(now);
    return;
  }
  // 2. Send the request.
  RequestAdvice request{
      .job = job.id,
      .occurrence = position.occurrence,
      .step = position.step,
      .workers = advice.Request(
          std::move(candidates), step_state.tasks.size(),
          !this->CandidatesWithTickets(job, position, now).empty(), now)};
  if (request.workers.empty())
    return;
  const AdviceCalls::Sent sent = this->advice_calls.Send(
      use, ServiceTime(cost, request.workers.size()), now);
  request.call = sent.id;
  request.time_limit = sent.time_limit;
  advice.RequestSent(sent.time_limit, now);
  this->actions.emplace_back(std::move(request));
}

std::vector<AdviceCandidate> Scheduler::AdviceCandidatesFor(
    const Job& job,
    const TaskPosition& position,
    PlacementPass& pass) const {
  const jobs::Step& step = StepOf(job, position);
  const jobs::Resources takes = ReservedBy(step);
  std::vector<AdviceCandidate> found;
  for (const Worker* worker : pass.candidates.all()) {
    if (HasRequiredLabel(*worker, step) &&
        jobs::Fits(takes, worker->info.capacity))
      found.push_back({.worker = worker->info.incarnation,
                       .used_cpu_millis = worker->used.cpu_millis,
                       .has_room = jobs::Fits(takes, worker->free_capacity()) &&
                                   IsBelowStepLimit(*worker, job, position)});
  }
  pass.visits += pass.candidates.all().size();
  return found;
}

bool Scheduler::HasRoomForStep(
    const Job& job,
    const TaskPosition& position,
    const PlacementPass& pass,
    const std::vector<AdviceCandidate>& candidates) const {
  const jobs::Step& step = StepOf(job, position);
  if (step.gang)
    return this->CountRoomForMembers(job, position, pass.candidates.all()) >=
           step.tasks;
  return std::any_of(candidates.begin(), candidates.end(),
                     [](const AdviceCandidate& one) { return one.has_room; });
}

void Scheduler::AdviceAnswered(const RequestAdvice& asked,
                               const AdviceResult& result,
                               base::Micros now) {
  this->advice_calls.Ended(asked.call, result.outcome, now);
  Job* job = this->FindJob(asked.job);
  const TaskPosition position{
      .occurrence = asked.occurrence, .step = asked.step, .index = 0};
  if (!job || !HasTask(*job, position))
    return;
  StepAdvice& advice = StepAt(*job, position).advice;
  if (result.outcome == AdviceOutcome::kAnswered)
    advice.RequestAnswered(asked.workers, result.advice,
                           ServiceTime(job->queue.advice, asked.workers.size()),
                           now);
  else
    advice.RequestFailed(result.outcome, now);
}

}  // namespace quartzhoist::scheduler
