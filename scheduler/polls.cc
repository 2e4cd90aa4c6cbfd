// Polling of workers: when a poll is sent, how long the worker may hold it
// open, and whether it renews the worker's lease.

#include <algorithm>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;

// Longest time that a worker may hold a poll open while waiting for an end.
// Each poll costs as much as a probe. The platform allows up to 2 s.
constexpr base::Micros kMaxPollWait = milliseconds(1500);
// Minimum time left on a lease while its owner is alive. Another owner takes
// over within 1.3 to 1.9 s and then has to poll every worker.
constexpr base::Micros kMinRemainingLease = milliseconds(2500);
// A poll whose wait would be shorter than this renews the lease instead.
constexpr base::Micros kMinPollWait = milliseconds(300);
// Wait while the outcome of a start or stop is open: the report itself, rather
// than an end, settles it.
constexpr base::Micros kUnsettledPollWait = milliseconds(300);
// Wait at workers with both serving and filling runs, where tail latencies
// change within seconds.
constexpr base::Micros kMixedRunsPollWait = milliseconds(500);
// Poll delay while processed ends are not recorded yet.
constexpr base::Micros kUnrecordedEndsPollDelay = milliseconds(20);

// Whether recorded ends have not been acknowledged to the worker yet.
bool HasUnsentAcknowledgement(const Worker& worker) {
  return worker.last_recorded_end > worker.last_acknowledged_end;
}

// While an idle worker is not polled its clock and this process's drift apart,
// so that its announcements look older than they are. One poll tells.
bool IsUnpolledSinceAnnouncement(const Worker& worker) {
  return worker.is_announced &&
         worker.poll_sent_at < worker.announcement_received_at;
}

bool HasStartInFlight(const Worker& worker) {
  return std::any_of(worker.runs.begin(), worker.runs.end(),
                     [](const auto& entry) {
                       return entry.second.state == RunState::kStarting;
                     });
}

base::Micros PollWaitFor(const Worker& worker) {
  const bool is_unsettled = std::any_of(
      worker.runs.begin(), worker.runs.end(), [](const auto& entry) {
        return entry.second.state == RunState::kUnsettled ||
               entry.second.state == RunState::kStopping ||
               entry.second.missing_since > base::Micros::zero();
      });
  if (!worker.has_reported || worker.idle() || worker.failed_calls > 0)
    return {};
  if (is_unsettled)
    return kUnsettledPollWait;
  return MixesServingAndFillingRuns(worker) ? kMixedRunsPollWait : kMaxPollWait;
}

// Tasks on a box that crashed or was cut off restart elsewhere only after its
// lease has expired. A busy worker is polled every few 100 ms; if every poll
// renewed the lease, that delay would always be a full lease. So a lease is
// renewed only when little of it is left, and a poll waits no longer than until
// then, which keeps the delay below a full lease.
PollWorker MakePoll(const Worker& worker, bool is_doubtful, base::Micros now) {
  const base::Micros spare =
      worker.earliest_lease_end - now - kMinRemainingLease;
  const bool is_due = spare < kMinPollWait;
  const base::Micros wait = PollWaitFor(worker);
  // An idle worker that may be lost needs no lease.
  const bool may_renew = worker.is_lease_recorded && worker.failed_calls == 0 &&
                         !(is_doubtful && worker.idle());
  const bool acknowledges =
      HasUnsentAcknowledgement(worker) && CanAcknowledgeEnds(worker);
  return {.worker = worker.info.incarnation,
          .acknowledged = acknowledges ? worker.last_recorded_end : 0,
          .max_wait = is_due ? wait : std::min(wait, spare),
          // The lease of an unresponsive worker must run out, even if the
          // worker receives this poll.
          .renews_lease = is_due && may_renew};
}

}  // namespace

void Scheduler::LeaseGranted(const jobs::WorkerIncarnation& incarnation,
                             base::Micros end) {
  if (Worker* worker = this->FindIncarnation(incarnation))
    worker->latest_lease_end = std::max(worker->latest_lease_end, end);
}

void Scheduler::PollGrantsLease(const jobs::WorkerIncarnation& incarnation,
                                base::Micros end) {
  this->LeaseGranted(incarnation, end);
  if (Worker* worker = this->FindIncarnation(incarnation))
    worker->poll_lease_end = end;
}

void Scheduler::PollSent(const PollWorker& command, base::Micros now) {
  Worker* worker = this->FindIncarnation(command.worker);
  if (!worker)
    return;
  worker->poll_in_flight = true;
  worker->poll_lease_end = {};
  worker->poll_acknowledged_end = command.acknowledged;
  worker->poll_sent_at = now;
}

void Scheduler::IssueDuePolls(base::Micros now) {
  if (this->is_fenced)
    return;
  for (auto& [id, worker] : this->workers) {
    this->AdvanceRecordedEnds(worker);
    // An unresponsive or doubtful worker is polled until it answers or its
    // incarnation is over, because nothing is placed on it before.
    const bool is_doubtful = this->zone_health.IsDoubtful(worker);
    const bool needs_poll =
        is_doubtful || !worker.has_reported || !worker.idle() ||
        worker.failed_calls > 0 ||
        worker.last_recorded_end < worker.last_processed_end ||
        HasUnsentAcknowledgement(worker) || worker.may_have_restarted ||
        (IsUnpolledSinceAnnouncement(worker) &&
         !this->HasCurrentAnnouncement(worker, now));
    if (!needs_poll || worker.poll_in_flight || now < worker.next_poll_at)
      continue;
    // The worker would answer at once with the same ends if they are not
    // recorded yet, or cannot be acknowledged while a start is in flight.
    const bool would_repeat =
        worker.last_recorded_end < worker.last_processed_end ||
        (HasUnsentAcknowledgement(worker) && HasStartInFlight(worker));
    if (would_repeat) {
      worker.next_poll_at = now + kUnrecordedEndsPollDelay;
      const bool lease_lasts =
          worker.idle() || worker.earliest_lease_end - now > kMinRemainingLease;
      if (lease_lasts &&
          now < worker.last_answer_at + this->limits.lease_duration / 2)
        continue;
    }
    worker.poll_in_flight = true;
    this->actions.emplace_back(MakePoll(worker, is_doubtful, now));
  }
}

}  // namespace quartzhoist::scheduler
