// Bounds on the leases of workers: those that earlier owners granted, and the
// expiry for workers that do not answer.

#include <algorithm>
#include <vector>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;

// A command of an earlier owner for a worker's previous incarnation may have
// reached the next one, whose lease is then as long as workers allow. None does
// once the incarnation is this old.
constexpr base::Micros kSettledIncarnationAge = std::chrono::seconds(30);
// Tolerance for clocks and timers before a lease is treated as expired.
constexpr base::Micros kLeaseExpirySlack = milliseconds(200);
// A worker whose announcement was removed and that failed this many calls is
// dropped once its lease has expired.
constexpr int kFailedCallsUntilDropped = 2;

}  // namespace

// Once the worker has reported, its lease is that of this owner. A restarted
// one may hold a lease that was granted on the clock of the one before.
void Scheduler::InheritedLeaseEndsBy(const jobs::WorkerIncarnation& incarnation,
                                     base::Micros end) {
  Worker* worker = this->FindIncarnation(incarnation);
  if (!worker || worker->has_reported || worker->may_hold_earlier_lease)
    return;
  worker->latest_lease_end = std::min(worker->latest_lease_end, end);
}

// From the first report on, the worker refuses grants of earlier owners.
// Without this bound, the long-running tasks of a worker that died 3 s after a
// takeover waited another 7 s. A young incarnation may hold a lease that was
// granted on the clock of the one before, which no record bounds.
void Scheduler::BoundInheritedLease(Worker& worker,
                                    std::int64_t clock_ms,
                                    base::Micros now) const {
  const bool is_inherited = worker.latest_lease_end > base::Micros::zero();
  if (worker.may_hold_earlier_lease || !is_inherited)
    return;
  const bool is_settled = clock_ms >= base::Millis(kSettledIncarnationAge);
  worker.latest_lease_end = is_settled ? std::min(worker.latest_lease_end,
                                                  now + this->limits.max_grant)
                                       : now + this->limits.max_lease;
}

// Workers stop their runs when the lease expires, so the runs of an
// unresponsive worker are over by then.
void Scheduler::ExpireLeases(base::Micros now) {
  std::vector<jobs::WorkerIncarnation> dropped;
  for (auto& [id, worker] : this->workers) {
    const bool is_expired = now > worker.latest_lease_end + kLeaseExpirySlack;
    if (!is_expired)
      continue;
    if (IsVacated(worker, now)) {
      dropped.push_back(id);
      continue;
    }
    // A planned run has no lease yet; the next report or answer decides on it.
    const bool has_only_plans = std::all_of(
        worker.runs.begin(), worker.runs.end(), [](const auto& entry) {
          return entry.second.state == RunState::kPlanned;
        });
    if (has_only_plans && worker.failed_calls == 0)
      continue;
    for (const auto& [task, run] : worker.runs) {
      Job* job = this->FindJob(task.job);
      if (job && HasTask(*job, PositionOf(task)))
        TaskAt(*job, PositionOf(task)).lease_expired_at = now;
    }
    worker.runs_presumed_over = worker.runs_presumed_over || !worker.idle();
    this->DropAllRuns(worker, LossReason::kLeaseExpired, now);
    if (!worker.is_announced && worker.failed_calls >= kFailedCallsUntilDropped)
      dropped.push_back(id);
  }
  for (const jobs::WorkerIncarnation& id : dropped)
    this->workers.erase(id);
  this->worker_change_count += dropped.size();
}

}  // namespace quartzhoist::scheduler
