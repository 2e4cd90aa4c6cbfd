// When a worker is asked for its listing, how long it may wait with it, and
// when that renews its lease.

#include <algorithm>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;

// How long a look waits at a worker for an end, at most. Each look costs like
// a probe; the platform allows up to 2 s.
constexpr base::Micros kLookWait = milliseconds(1500);
// What a lease has left at least while its owner lives: another owner takes
// over within 1.3 to 1.9 s and then looks at each worker.
constexpr base::Micros kLeastLease = milliseconds(2500);
// A look is to wait for an end at least so long, else it renews the lease.
constexpr base::Micros kLeastLookWait = milliseconds(300);
// With an order whose fate is open the listing itself is the news.
constexpr base::Micros kLookWaitOpen = milliseconds(300);
// Where tasks fill beside others that serve, the tails change within seconds.
constexpr base::Micros kLookWaitShared = milliseconds(500);
// Ends that are not recorded yet are looked at this soon again.
constexpr base::Micros kLookUnrecorded = milliseconds(20);

// Ends are recorded, and the worker has not heard so.
bool HasToTell(const Worker& worker) {
  return worker.acknowledged > worker.told;
}

bool HasStartOnItsWay(const Worker& worker) {
  return std::any_of(worker.runs.begin(), worker.runs.end(),
                     [](const auto& entry) {
                       return entry.second.state == RunState::kStarting;
                     });
}

// How long a look may wait at the worker for an end.
base::Micros WaitOfLook(const Worker& worker) {
  const bool stopping = std::any_of(
      worker.runs.begin(), worker.runs.end(), [](const auto& entry) {
        return entry.second.state == RunState::kUnsettled ||
               entry.second.state == RunState::kStopping ||
               entry.second.missing_since > base::Micros::zero();
      });
  if (!worker.listed || worker.idle() || worker.failed_calls > 0)
    return {};
  if (stopping)
    return kLookWaitOpen;
  return IsShared(worker) ? kLookWaitShared : kLookWait;
}

// What runs on a box that a cut or a crash has taken starts elsewhere only once
// its lease is over. Looks at a busy worker come each few 100 ms: if each of
// them renewed, the wait would always be a whole lease. So a lease is renewed
// when little of it is left, and the look waits no longer than until then: the
// tasks of a busy worker that falls silent wait for less than a lease.
LookAt NextLook(const Worker& worker, base::Micros now) {
  const base::Micros spare = worker.leased_until - now - kLeastLease;
  const bool is_due = spare < kLeastLookWait;
  const base::Micros wait = WaitOfLook(worker);
  const bool tells = HasToTell(worker) && MayAcknowledge(worker);
  return {
      .worker = worker.info.life,
      .acknowledged = tells ? worker.acknowledged : 0,
      .wait = is_due ? wait : std::min(wait, spare),
      // A silent worker's lease is to run out, whether or not it hears this.
      .renews = is_due && worker.recorded && worker.failed_calls == 0};
}

}  // namespace

void Scheduler::Granted(const jobs::WorkerIncarnation& life, base::Micros end) {
  if (Worker* worker = this->FindLife(life))
    worker->lease_end = std::max(worker->lease_end, end);
}

void Scheduler::LookGrants(const jobs::WorkerIncarnation& life,
                           base::Micros end) {
  this->Granted(life, end);
  if (Worker* worker = this->FindLife(life))
    worker->look_grant = end;
}

void Scheduler::LookSent(const LookAt& order, base::Micros now) {
  Worker* worker = this->FindLife(order.worker);
  if (!worker)
    return;
  worker->look_in_flight = true;
  worker->look_grant = {};
  worker->look_acknowledged = order.acknowledged;
  worker->look_sent = now;
}

void Scheduler::DueLooks(base::Micros now) {
  if (this->is_fenced)
    return;
  for (auto& [id, worker] : this->workers) {
    this->Acknowledge(worker);
    // A silent worker is asked until it answers or its life is over: nothing
    // is placed on it before.
    const bool wanted = !worker.listed || !worker.idle() ||
                        worker.failed_calls > 0 ||
                        worker.acknowledged < worker.processed ||
                        HasToTell(worker) || worker.is_in_doubt;
    if (!wanted || worker.look_in_flight || now < worker.next_look)
      continue;
    // What has ended and is not recorded, or may not be acknowledged while a
    // start is on its way, would be listed again at once.
    const bool would_repeat = worker.acknowledged < worker.processed ||
                              (HasToTell(worker) && HasStartOnItsWay(worker));
    if (would_repeat) {
      worker.next_look = now + kLookUnrecorded;
      const bool lease_lasts =
          worker.idle() || worker.leased_until - now > kLeastLease;
      if (lease_lasts && now < worker.last_answer + this->limits.lease / 2)
        continue;
    }
    worker.look_in_flight = true;
    this->actions.emplace_back(NextLook(worker, now));
  }
}

}  // namespace quartzhoist::scheduler
