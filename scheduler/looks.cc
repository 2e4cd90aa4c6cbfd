// When a worker is asked for its listing, how long it may wait with it, and
// when that renews its lease.

#include <algorithm>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;

// How long a look waits at a worker for an end, at most. Each look costs like
// a probe; the platform allows up to 2 s.
constexpr base::Micros kMaxPollWait = milliseconds(1500);
// What a lease has left at least while its owner lives: another owner takes
// over within 1.3 to 1.9 s and then looks at each worker.
constexpr base::Micros kMinRemainingLease = milliseconds(2500);
// A look is to wait for an end at least so long, else it renews the lease.
constexpr base::Micros kMinPollWait = milliseconds(300);
// With an order whose fate is open the listing itself is the news.
constexpr base::Micros kUnsettledPollWait = milliseconds(300);
// Where tasks fill beside others that serve, the tails change within seconds.
constexpr base::Micros kMixedRunsPollWait = milliseconds(500);
// Ends that are not recorded yet are looked at this soon again.
constexpr base::Micros kUnrecordedEndsPollDelay = milliseconds(20);

// Ends are recorded, and the worker has not heard so.
bool HasUnsentAcknowledgement(const Worker& worker) {
  return worker.last_recorded_end > worker.last_acknowledged_end;
}

bool HasStartInFlight(const Worker& worker) {
  return std::any_of(worker.runs.begin(), worker.runs.end(),
                     [](const auto& entry) {
                       return entry.second.state == RunState::kStarting;
                     });
}

// How long a look may wait at the worker for an end.
base::Micros PollWaitFor(const Worker& worker) {
  const bool is_unsettled = std::any_of(
      worker.runs.begin(), worker.runs.end(), [](const auto& entry) {
        return entry.second.state == RunState::kUnsettled ||
               entry.second.state == RunState::kStopping ||
               entry.second.missing_since > base::Micros::zero();
      });
  if (!worker.has_listing || worker.idle() || worker.failed_calls > 0)
    return {};
  if (is_unsettled)
    return kUnsettledPollWait;
  return MixesServingAndFillingRuns(worker) ? kMixedRunsPollWait : kMaxPollWait;
}

// What runs on a box that a cut or a crash has taken starts elsewhere only once
// its lease is over. Looks at a busy worker come each few 100 ms: if each of
// them renewed, the wait would always be a whole lease. So a lease is renewed
// when little of it is left, and the look waits no longer than until then: the
// tasks of a busy worker that falls silent wait for less than a lease.
LookAt MakePoll(const Worker& worker, base::Micros now) {
  const base::Micros spare =
      worker.earliest_lease_end - now - kMinRemainingLease;
  const bool is_due = spare < kMinPollWait;
  const base::Micros wait = PollWaitFor(worker);
  const bool acknowledges =
      HasUnsentAcknowledgement(worker) && CanAcknowledgeEnds(worker);
  return {
      .worker = worker.info.life,
      .acknowledged = acknowledges ? worker.last_recorded_end : 0,
      .wait = is_due ? wait : std::min(wait, spare),
      // A silent worker's lease is to run out, whether or not it hears this.
      .renews = is_due && worker.is_lease_recorded && worker.failed_calls == 0};
}

}  // namespace

void Scheduler::Granted(const jobs::WorkerLife& life, base::Micros end) {
  if (Worker* worker = this->FindLife(life))
    worker->latest_lease_end = std::max(worker->latest_lease_end, end);
}

void Scheduler::LookGrants(const jobs::WorkerLife& life, base::Micros end) {
  this->Granted(life, end);
  if (Worker* worker = this->FindLife(life))
    worker->poll_lease_end = end;
}

void Scheduler::LookSent(const LookAt& order, base::Micros now) {
  Worker* worker = this->FindLife(order.worker);
  if (!worker)
    return;
  worker->poll_in_flight = true;
  worker->poll_lease_end = {};
  worker->poll_acknowledged_end = order.acknowledged;
  worker->poll_sent_at = now;
}

void Scheduler::DueLooks(base::Micros now) {
  if (this->is_fenced)
    return;
  for (auto& [id, worker] : this->workers) {
    this->Acknowledge(worker);
    // A silent worker is asked until it answers or its life is over: nothing
    // is placed on it before.
    const bool needs_poll =
        !worker.has_listing || !worker.idle() || worker.failed_calls > 0 ||
        worker.last_recorded_end < worker.last_processed_end ||
        HasUnsentAcknowledgement(worker) || worker.may_have_restarted;
    if (!needs_poll || worker.poll_in_flight || now < worker.next_poll_at)
      continue;
    // What has ended and is not recorded, or may not be acknowledged while a
    // start is on its way, would be listed again at once.
    const bool would_repeat =
        worker.last_recorded_end < worker.last_processed_end ||
        (HasUnsentAcknowledgement(worker) && HasStartInFlight(worker));
    if (would_repeat) {
      worker.next_poll_at = now + kUnrecordedEndsPollDelay;
      const bool lease_lasts =
          worker.idle() || worker.earliest_lease_end - now > kMinRemainingLease;
      if (lease_lasts && now < worker.last_answer_at + this->limits.lease / 2)
        continue;
    }
    worker.poll_in_flight = true;
    this->actions.emplace_back(MakePoll(worker, now));
  }
}

}  // namespace quartzhoist::scheduler
