// Advice for queues whose steps may run only on certain workers: requests which
// workers are allowed, and caches the tickets while they are valid.

#include <algorithm>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;

// Number of workers named in a request: twice the number of tasks plus
// kSpareWorkers, at most kMaxWorkers. Each named worker adds to the service's
// processing time; the platform documentation gives 30 per step as usual and
// 100 as the limit.
constexpr std::size_t kSpareWorkers = 4;
constexpr std::size_t kMaxWorkers = 30;
// Retry interval after a response without workers, or no response.
constexpr base::Micros kRetryInterval = milliseconds(500);
// Tickets are not used within this time before they expire, since saving the
// placement and sending the start take some ms.
constexpr base::Micros kTicketMargin = milliseconds(150);

}  // namespace

bool Scheduler::EnsureAdvice(Job& job,
                             const TaskPosition& position,
                             const std::vector<Worker*>& candidates,
                             base::Micros now) {
  StepState& step_state = StepAt(job, position);
  StepAdvice& advice = step_state.advice;
  if (!advice.tickets.empty() && now + kTicketMargin < advice.valid_until)
    return true;
  if (advice.in_flight || now < advice.requested_at + kRetryInterval)
    return false;
  // Least loaded first: they are most likely to have capacity when the response
  // arrives.
  std::vector<const Worker*> asked(candidates.begin(), candidates.end());
  std::stable_sort(asked.begin(), asked.end(),
                   [](const Worker* a, const Worker* b) {
                     return a->used.cpu_millis < b->used.cpu_millis;
                   });
  const std::size_t max_count =
      std::min(kMaxWorkers, 2 * step_state.tasks.size() + kSpareWorkers);
  asked.resize(std::min(asked.size(), max_count));
  RequestAdvice request{.job = job.id,
                        .occurrence = position.occurrence,
                        .step = position.step,
                        .workers = {}};
  for (const Worker* worker : asked)
    request.workers.push_back(worker->info.incarnation);
  advice.in_flight = true;
  advice.requested_at = now;
  this->actions.emplace_back(std::move(request));
  return false;
}

void Scheduler::AdviceAnswered(const RequestAdvice& asked,
                               const std::optional<Advice>& answer,
                               base::Micros now) {
  Job* job = this->FindJob(asked.job);
  const TaskPosition position{
      .occurrence = asked.occurrence, .step = asked.step, .index = 0};
  if (!job || !HasTask(*job, position))
    return;
  StepAdvice& advice = StepAt(*job, position).advice;
  advice.in_flight = false;
  if (!answer) {
    advice.requested_at = now;
    return;
  }
  advice.tickets = answer->tickets;
  // Counted from the request, as the service may have decided immediately.
  advice.valid_until = advice.requested_at + answer->valid_for;
}

}  // namespace quartzhoist::scheduler
