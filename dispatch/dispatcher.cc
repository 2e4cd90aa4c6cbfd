// The dispatcher's events. What it chooses is in choice.cc, how it takes a new
// table in install.cc.

#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace quartzhoist::dispatch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kMaxTries = 3;

// A target that refused is full: nothing is sent to it for about one short
// request's time, and twice as long after each further refusal in a row.
constexpr base::Micros kRefusalHold = milliseconds(20);
constexpr int kMostHoldDoublings = 4;

// A target learns from a closed connection that a try was cancelled, and works
// on it until it has read that. Sent to such slots at once, 16 of 40 callers
// that came 0.1 s after 40 cancelled ones were refused on a busy machine.
constexpr base::Micros kCancelSettles = milliseconds(100);

base::Micros RefusalHold(int refusals) {
  const int doublings = std::min(refusals - 1, kMostHoldDoublings);
  return kRefusalHold * (1 << doublings);
}
// Slots a second that a target's limit wins back after a refusal.
constexpr double kLimitRecovery = 1.0;

}  // namespace

RequestId Dispatcher::Arrive(const Arrival& arrival,
                             base::Micros now,
                             Actions& actions) {
  this->FreeSettledSlots(now, actions);
  // 1. Admission: refuse at once what could not be answered in time.
  const std::optional<Refuse> refusal = this->WouldRefuse(arrival, now);
  const auto found = this->service_by_name.find(std::string(arrival.service));
  const Index service =
      found == this->service_by_name.end() ? kNone : found->second;
  const Index request = this->NewRequest(arrival, service);
  const RequestId id = this->requests[request].id;
  if (refusal) {
    this->RefuseNow(request, refusal->reason, refusal->retry_after, actions);
    return id;
  }
  // 2. Queue it, and start whatever is now first.
  this->PushBack(request);
  this->Pump(this->services[service].pool, now, actions);
  return id;
}

std::optional<Refuse> Dispatcher::WouldRefuse(const Arrival& arrival,
                                              base::Micros now) const {
  Refuse refusal;
  const auto found = this->service_by_name.find(std::string(arrival.service));
  if (found == this->service_by_name.end()) {
    refusal.reason = Reason::kUnknownService;
    refusal.retry_after = RetryAfter(seconds(1));
    return refusal;
  }
  const ServiceEntry& service = this->services[found->second];
  const PoolEntry& pool = this->pools[service.pool];
  // 1. Nobody to send it to.
  if (this->UsableSlots(pool) == 0) {
    refusal.reason = Reason::kNoTarget;
    refusal.retry_after = RetryAfter(this->UntilProbe(pool, now));
    return refusal;
  }
  // 2. A slot is free and nobody waits: take it, whatever was learned before.
  if (service.queued == 0 && this->HasFreeSlot(pool, now) &&
      this->NextService(pool) == kNone)
    return std::nullopt;
  // 3. It would have to wait: is there room, and time enough?
  const base::Micros wait = this->ExpectedWait(service);
  if (service.queued >= static_cast<std::size_t>(service.row.queue)) {
    refusal.reason = Reason::kQueueFull;
    refusal.retry_after = RetryAfter(wait);
    return refusal;
  }
  const base::Micros late =
      now + wait + service.TimeNeeded() - arrival.deadline;
  if (late.count() > 0) {
    refusal.reason = Reason::kDeadline;
    refusal.retry_after = RetryAfter(late);
    return refusal;
  }
  return std::nullopt;
}

void Dispatcher::Settle(const TryResult& result,
                        base::Micros now,
                        Actions& actions) {
  const Index request = this->Find(result.request);
  if (request == kNone ||
      this->requests[request].state != RequestState::kInFlight)
    return;
  const Index pool = this->services[this->requests[request].service].pool;
  const Index target_pool = this->targets[this->requests[request].target].pool;
  this->EndTry(this->requests[request], result.outcome, now, actions);
  this->Resolve(request, result.outcome, now, actions);
  this->Pump(pool, now, actions);
  if (target_pool != pool)
    this->Pump(target_pool, now, actions);
}

void Dispatcher::Cancel(RequestId id, base::Micros now, Actions& actions) {
  const Index request = this->Find(id);
  if (request == kNone)
    return;
  RequestEntry& entry = this->requests[request];
  const Index pool = this->services[entry.service].pool;
  if (entry.state == RequestState::kQueued) {
    this->Unlink(request);
  } else {
    this->settling.push_back(
        {.target = entry.target, .free_at = now + kCancelSettles});
  }
  this->Free(request);
  this->Pump(pool, now, actions);
}

void Dispatcher::Tick(base::Micros now, Actions& actions) {
  const base::Micros elapsed =
      this->last_tick.count() == 0 ? base::Micros{} : now - this->last_tick;
  this->last_tick = now;
  this->FreeSettledSlots(now, actions);
  for (TargetIndex index = 0; index < this->targets.size(); ++index) {
    TargetEntry& target = this->targets[index];
    if (target.health.Advance(now))
      actions.emplace_back(
          ReportHealth{.target = index, .health = target.health.state});
    target.limit = std::min<double>(
        target.target.share,
        target.limit + kLimitRecovery * base::Seconds(elapsed));
  }
  for (Index pool = 0; pool < this->pools.size(); ++pool) {
    this->pools[pool].budget.Advance(elapsed);
    this->Pump(pool, now, actions);
  }
  for (ServiceEntry& service : this->services) {
    if (service.queued > 0)
      this->RefuseHopeless(service, now, actions);
  }
}

void Dispatcher::Send(Index request,
                      TargetIndex target,
                      base::Micros now,
                      Actions& actions) {
  RequestEntry& entry = this->requests[request];
  this->Unlink(request);
  if (entry.tries == 0)
    this->pools[this->services[entry.service].pool].budget.NoteFirstTry();
  entry.state = RequestState::kInFlight;
  entry.target = target;
  entry.sent_at = now;
  ++entry.tries;
  ++this->targets[target].in_flight;
  actions.emplace_back(SendTry{
      .request = entry.id, .target = target, .timeout = entry.deadline - now});
}

void Dispatcher::EndTry(RequestEntry& request,
                        TryOutcome outcome,
                        base::Micros now,
                        Actions& actions) {
  TargetEntry& target = this->targets[request.target];
  --target.in_flight;
  // 1. Learn how long the service's requests take.
  const bool ran =
      outcome == TryOutcome::kAnswered || outcome == TryOutcome::kLost;
  if (ran) {
    this->services[request.service].NoteTime(now - request.sent_at);
  }
  // 2. Learn how the target is.
  this->NoteHealth(request.target, outcome, now, actions);
  if (outcome == TryOutcome::kRefused) {
    target.limit =
        std::max(1.0, std::min<double>(target.limit, target.in_flight));
    target.hold_until = now + RefusalHold(++target.refusals);
  } else {
    target.refusals = 0;
  }
  this->ReportIfDrained(request.target, actions);
}

void Dispatcher::NoteHealth(TargetIndex index,
                            TryOutcome outcome,
                            base::Micros now,
                            Actions& actions) {
  TargetEntry& target = this->targets[index];
  const HealthState before = target.health.state;
  // A refusal says that the target is full, not that it is ill.
  if (outcome == TryOutcome::kAnswered || outcome == TryOutcome::kRefused) {
    target.health.NoteSuccess();
  } else {
    target.health.NoteFailure(outcome == TryOutcome::kNotSent);
    if (target.health.WantsEjection() && this->MayEject(target))
      target.health.Eject(now);
  }
  if (target.health.state != before)
    actions.emplace_back(
        ReportHealth{.target = index, .health = target.health.state});
}

void Dispatcher::Resolve(Index request,
                         TryOutcome outcome,
                         base::Micros now,
                         Actions& actions) {
  RequestEntry& entry = this->requests[request];
  const bool may_have_run =
      outcome == TryOutcome::kLost || outcome == TryOutcome::kFailedAnswer;
  entry.may_have_run = entry.may_have_run || may_have_run;
  // 1. A whole answer ends it, unless it is a failure that may be repeated.
  if (outcome == TryOutcome::kAnswered) {
    actions.emplace_back(PassAnswer{.request = entry.id});
    this->Free(request);
    return;
  }
  // 2. Another try, if what came before allows it.
  const bool allowed = entry.repeatable || !entry.may_have_run;
  if (allowed && this->MayRetry(entry, now)) {
    this->PushFront(request);
    return;
  }
  // 3. The end: the failed answer, or a refusal.
  if (outcome == TryOutcome::kFailedAnswer) {
    actions.emplace_back(PassAnswer{.request = entry.id});
    this->Free(request);
    return;
  }
  const ServiceEntry& service = this->services[entry.service];
  const Reason reason =
      outcome == TryOutcome::kLost ? Reason::kLost : Reason::kTargetsRefuse;
  const base::Micros wait =
      std::max(this->ExpectedWait(service),
               this->UntilProbe(this->pools[service.pool], now));
  this->RefuseNow(request, reason, RetryAfter(wait), actions);
}

bool Dispatcher::MayRetry(const RequestEntry& request, base::Micros now) {
  const ServiceEntry& service = this->services[request.service];
  PoolEntry& pool = this->pools[service.pool];
  const bool in_time = now + service.typical_time < request.deadline;
  return service.present && request.tries < kMaxTries && in_time &&
         this->UsableSlots(pool) > 0 && pool.budget.Take();
}

void Dispatcher::RefuseNow(Index request,
                           Reason reason,
                           base::Micros retry_after,
                           Actions& actions) {
  const RequestEntry& entry = this->requests[request];
  actions.emplace_back(Refuse{.request = entry.id,
                              .verdict = entry.may_have_run
                                             ? base::Verdict::kMayHaveRun
                                             : base::Verdict::kNotRun,
                              .reason = reason,
                              .retry_after = retry_after});
  this->Free(request);
}

void Dispatcher::RefuseQueue(ServiceEntry& service,
                             Reason reason,
                             base::Micros retry_after,
                             Actions& actions) {
  while (service.head != kNone) {
    const Index request = service.head;
    this->Unlink(request);
    this->RefuseNow(request, reason, retry_after, actions);
  }
}

void Dispatcher::RefuseHopeless(ServiceEntry& service,
                                base::Micros now,
                                Actions& actions) {
  const PoolEntry& pool = this->pools[service.pool];
  if (this->UsableSlots(pool) == 0) {
    this->RefuseQueue(service, Reason::kNoTarget,
                      RetryAfter(this->UntilProbe(pool, now)), actions);
    return;
  }
  Index request = service.head;
  while (request != kNone) {
    const RequestEntry& entry = this->requests[request];
    const Index next = entry.next;
    if (now + service.TimeNeeded() >= entry.deadline) {
      this->Unlink(request);
      this->RefuseNow(request, Reason::kDeadline,
                      RetryAfter(this->ExpectedWait(service)), actions);
    }
    request = next;
  }
}

void Dispatcher::ReportIfDrained(TargetIndex index, Actions& actions) {
  TargetEntry& target = this->targets[index];
  if (!target.present || !target.target.leaving || target.in_flight > 0 ||
      target.drain_reported)
    return;
  target.drain_reported = true;
  actions.emplace_back(
      ReportDrained{.target = index, .epoch = target.target.epoch});
}

void Dispatcher::FreeSettledSlots(base::Micros now, Actions& actions) {
  while (!this->settling.empty() && this->settling.front().free_at <= now) {
    const TargetIndex target = this->settling.front().target;
    this->settling.pop_front();
    --this->targets[target].in_flight;
    this->ReportIfDrained(target, actions);
  }
}

std::vector<ServiceView> Dispatcher::ViewServices() const {
  std::vector<ServiceView> views;
  for (const ServiceEntry& service : this->services) {
    if (service.present)
      views.push_back({.name = service.row.name,
                       .queued = service.queued,
                       .typical_time = service.typical_time});
  }
  return views;
}

std::vector<TargetView> Dispatcher::ViewTargets() const {
  std::vector<TargetView> views;
  for (const TargetEntry& target : this->targets) {
    if (target.present)
      views.push_back({.target = target.target,
                       .health = target.health.state,
                       .failure_rate = target.health.failure_rate,
                       .in_flight = target.in_flight,
                       .limit = static_cast<int>(target.limit)});
  }
  return views;
}

}  // namespace quartzhoist::dispatch
