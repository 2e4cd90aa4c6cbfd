// Queues whose steps only some workers may run: which ones is asked for, and
// the tickets are kept for as long as they hold.

#include <algorithm>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;

// Workers named in a call: twice the tasks and a few. Each costs the service's
// time; the pages count 30 a step as usual and allow 100.
constexpr std::size_t kSpareWorkers = 4;
constexpr std::size_t kMostWorkers = 30;
// An answer that named nobody, or did not come, is asked for again after this.
constexpr base::Micros kAskAgain = milliseconds(500);
// Tickets are used until this long before they end: the placement's commit and
// the order take some ms.
constexpr base::Micros kTicketMargin = milliseconds(150);

}  // namespace

bool Scheduler::EnsureAdvice(Job& job,
                             const TaskPosition& place,
                             const std::vector<Worker*>& candidates,
                             base::Micros now) {
  StepState& runs = StepAt(job, place);
  StepAdvice& advice = runs.advice;
  if (!advice.tickets.empty() && now + kTicketMargin < advice.valid_until)
    return true;
  if (advice.in_flight || now < advice.requested_at + kAskAgain)
    return false;
  // The emptiest: they are the likeliest to have room when the answer comes.
  std::vector<const Worker*> asked(candidates.begin(), candidates.end());
  std::stable_sort(asked.begin(), asked.end(),
                   [](const Worker* a, const Worker* b) {
                     return a->used.cpu_millis < b->used.cpu_millis;
                   });
  const std::size_t most =
      std::min(kMostWorkers, 2 * runs.tasks.size() + kSpareWorkers);
  asked.resize(std::min(asked.size(), most));
  RequestAdvice ask{.job = job.id,
                    .occurrence = place.occurrence,
                    .step = place.step,
                    .workers = {}};
  for (const Worker* worker : asked)
    ask.workers.push_back(worker->info.life);
  advice.in_flight = true;
  advice.requested_at = now;
  this->actions.emplace_back(std::move(ask));
  return false;
}

void Scheduler::AdviceAnswered(const RequestAdvice& asked,
                               const std::optional<Advice>& answer,
                               base::Micros now) {
  Job* job = this->FindJob(asked.job);
  const TaskPosition place{
      .occurrence = asked.occurrence, .step = asked.step, .index = 0};
  if (!job || !HasTask(*job, place))
    return;
  StepAdvice& advice = StepAt(*job, place).advice;
  advice.in_flight = false;
  if (!answer) {
    advice.requested_at = now;
    return;
  }
  advice.tickets = answer->tickets;
  // From when it was asked: the service may have decided at once.
  advice.valid_until = advice.requested_at + answer->valid_for;
}

}  // namespace quartzhoist::scheduler
