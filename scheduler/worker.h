// The scheduler's state of one worker: its capacity, its runs, and bounds on
// the end of the lease it was granted.

#ifndef SCHEDULER_WORKER_H_
#define SCHEDULER_WORKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/enum_names.h"
#include "jobs/job.h"
#include "scheduler/facts.h"
#include "scheduler/suspects.h"

namespace quartzhoist::scheduler {

enum class RunState {
  kPlanned,    // the placement is being recorded; no start has been sent
  kInherited,  // placed by an earlier owner; awaiting the worker's report
  kStarting,   // the start request is in flight
  kRunning,    // the start was acknowledged or the run was reported
  kUnsettled,  // the start got no answer and may still be carried out
  kStopping,  // being stopped; its resources are freed once its end is reported
};

inline constexpr base::EnumNames<RunState, 6> kRunStateNames{{
    {RunState::kPlanned, "planned"},
    {RunState::kInherited, "inherited"},
    {RunState::kStarting, "starting"},
    {RunState::kRunning, "running"},
    {RunState::kUnsettled, "unsettled"},
    {RunState::kStopping, "stopping"},
}};

// The loss of a worker incarnation that may have had the run. It counts only if
// the next incarnation turns out not to have started the run.
struct PossibleLoss {
  jobs::WorkerIncarnation incarnation;
  jobs::WorkerLoss loss;
};

struct Run {
  int number = 0;
  RunState state = RunState::kStarting;
  jobs::Resources reserved;  // share of the worker's capacity
  // Charge against the organisation's quota, and the total it is added to
  // (null if it is not charged).
  jobs::Resources quota_usage;
  jobs::Resources* organisation_usage = nullptr;
  std::string image;
  base::Micros decided_at{};          // when the placement was decided
  base::Micros start_answered_at{};   // when the start was acknowledged
  base::Micros start_unsettled_at{};  // when the start was given up
  base::Micros stop_answered_at{};    // when a stop was acknowledged; 0: never
  base::Micros stop_sent_at{};        // when a stop was last sent
  // Time since which neither the run nor its end has been reported and a stop
  // of it has begun, if there is one; 0 if it is not missing.
  base::Micros missing_since{};
  bool is_long_running = false;
  bool fills = false;
  bool adopted = false;  // not started by this owner, or a late start
  // The worker reported an older run of the task beside it, which is being
  // stopped.
  bool has_older_run = false;
  // Its start was given up before the worker restarted. Nothing shows that it
  // has begun unless it is confirmed.
  bool is_late_start = false;
  // The change of the job's row that first names the run, if this owner adopted
  // it; an earlier one does for any other run.
  std::uint64_t recorded_by = 0;
  // The job or its task is not known, so neither is the resource usage.
  bool has_unknown_resources = false;
  // The current incarnation of the worker is known to have the run, or to have
  // had it if it had any. Until then the start may have reached a later
  // incarnation instead.
  bool is_confirmed = false;
  // Loss of the previous incarnation, recorded if the current one never had the
  // run.
  std::optional<PossibleLoss> possible_loss;
  // Suspicion of crashing the worker; cleared once the run has survived for
  // some time.
  Suspicion suspicion = Suspicion::kNone;
  int percent = 0;
  base::Micros progress_changed_at{};
  int pace = 100;  // allowed share of full speed, in percent
  std::int64_t load = -1;
  std::int64_t target_ms = 0;
};

// An end that was processed, and the change of its job's row that records it.
struct PendingEnd {
  std::int64_t number = 0;
  std::string job;
  std::uint64_t change = 0;
  bool awaits_job = false;  // the job has not been read, so no row records it
};

// State of a worker that decides which tasks it takes. Runs that are added are
// left out: they only take room.
struct PlacementView {
  bool is_candidate = false;
  bool is_stalled =
      false;  // takes long-running tasks while a wave waits for it
  std::uint64_t info_changes = 0;
  std::uint64_t removed_runs = 0;
  int probe_runs = 0;
  jobs::Resources reserved;  // for one task

  bool operator==(const PlacementView&) const = default;
};

struct Worker {
  WorkerInfo info;
  bool has_reported = false;  // has answered a poll under this owner's epoch
  // When the first report arrived that lists all ends; 0: never.
  base::Micros first_complete_report_at{};
  // The stored list of lease holders names this worker for this owner.
  bool is_lease_recorded = false;
  bool is_announced = true;  // its announcement is in the store
  // False while capacity and labels are copied from the previous incarnation
  // because this incarnation's announcement has not been read.
  bool is_described = true;
  // It may hold a lease whose deadline was set on the previous incarnation's
  // clock.
  bool may_hold_earlier_lease = false;
  // A start was answered with a clock reading that this incarnation cannot
  // have, so a later incarnation may be running.
  bool may_have_restarted = false;
  base::Micros withdrawn_at{};  // when its announcement was removed
  base::Micros announcement_received_at{};
  bool poll_in_flight = false;
  base::Micros poll_sent_at{};
  base::Micros next_poll_at{};
  base::Micros last_answer_at{};
  base::Micros report_requested_at{};  // send time of the last answered poll
  // Upper bound, on this process's clock, of the end of every run there.
  base::Micros latest_lease_end{};
  // Lower bound: the latest lease end granted by a poll that was answered.
  base::Micros earliest_lease_end{};
  // Lease end that the poll in flight grants; 0 if it grants none.
  base::Micros poll_lease_end{};
  // Last end that the poll in flight acknowledges.
  std::int64_t poll_acknowledged_end = 0;
  // Runs were presumed over when the lease expired, and the worker has not
  // answered since.
  bool runs_presumed_over = false;
  // The worker's clock, and when its reading arrived on this process's clock.
  std::int64_t clock_ms = 0;
  base::Micros clock_read_at{};
  // Upper bound of the worker's clock less this process's clock.
  base::Micros max_clock_lead = base::Micros::max();
  // Ends are numbered per incarnation and handled in order: first processed,
  // then recorded in the store, then acknowledged to the worker. Each of these
  // is the highest number that has passed the stage.
  std::int64_t last_processed_end = 0;
  std::int64_t last_recorded_end = 0;
  std::int64_t last_acknowledged_end = 0;
  std::deque<PendingEnd> pending_ends;  // processed but not yet recorded
  std::map<jobs::TaskId, Run> runs;
  jobs::Resources used;
  int long_running_tasks = 0;  // runs of long-running tasks, which pin the box
  int unknown_runs = 0;        // runs with unknown resources
  int suspect_runs = 0;        // runs suspected of crashing the worker
  int probe_runs = 0;          // suspects beside which nothing else is placed
  std::uint64_t removed_runs = 0;  // counts them
  // Counts changes of its pool, capacity or labels.
  std::uint64_t info_changes = 0;
  PlacementView last_view;  // of the latest placement pass over its pool
  // The latest placement pass before which `last_view` changed, so that the
  // worker may take tasks that it could not take.
  std::uint64_t opened_in = 0;
  // Health, derived from ended runs and failed calls.
  double failure_rate = 0.0;  // moving average over ended runs
  int failed_calls = 0;       // since the last answer
  // Send time of the first of these calls.
  base::Micros unanswered_since{};
  base::Micros last_contact_at{};  // latest answer to a poll or a start
  int consecutive_unanswered_starts = 0;
  base::Micros quarantined_until{};
  base::Micros slow_until{};  // its runs take much longer than elsewhere

  // None while the resource usage of any run is unknown.
  jobs::Resources free_capacity() const {
    return this->unknown_runs > 0 ? jobs::Resources()
                                  : this->info.capacity - this->used;
  }
  bool idle() const { return this->runs.empty(); }
  // It still answered after its announcement was removed, so it is leaving on
  // purpose.
  bool has_withdrawn() const {
    return !this->is_announced && this->last_answer_at > this->withdrawn_at;
  }
};

void RecordContact(Worker& worker, base::Micros now);
void RecordFailedCall(Worker& worker, base::Micros sent_at);
Run& AddRun(Worker& worker, const jobs::TaskId& task, Run run);
void RemoveRun(Worker& worker, const jobs::TaskId& task);
void ClearSuspicion(Worker& worker, Run& run);
// Removes all runs from the worker and returns them.
std::map<jobs::TaskId, Run> ExtractRuns(Worker& worker);

// Whether the worker may have a run of an earlier owner that its reports do not
// show: none with all ends has arrived, or the run was being stopped at the
// first of these. `max_stop_time` bounds the duration of a stop.
bool MayHideRuns(const Worker& worker,
                 base::Micros max_stop_time,
                 base::Micros now);

// Whether the worker is leaving and can have no run of this or an earlier
// owner. Before it has reported all ends to this owner, only the end of its
// lease shows that an earlier owner's runs are over.
bool IsVacated(const Worker& worker, base::Micros now);

// Whether ends may be acknowledged to the worker. Ends are numbered per
// incarnation, so a later incarnation that receives the acknowledgement would
// discard its own ends before they are read.
bool CanAcknowledgeEnds(const Worker& worker);

// Whether a clock reading in the answer to a start decided at `decided_at` can
// come from the incarnation that last reported. A worker's clock never goes
// back and starts anew in each incarnation.
bool IsClockConsistent(const Worker& worker,
                       std::int64_t clock_ms,
                       base::Micros decided_at);

// Notes a clock reading in the answer to a call made at `requested_at`.
void BoundClockLead(Worker& worker,
                    std::int64_t clock_ms,
                    base::Micros requested_at);

// Upper bound of the age of the worker's announcement, by the worker's own
// clock. Without both clock readings, the time since the announcement was
// received.
base::Micros AnnouncementAge(const Worker& worker, base::Micros now);

// Whether a clock reading that has arrived may come from an incarnation that
// started after the last report was requested. The owner may have read that
// report much later than the worker sent it.
bool MayBeLaterIncarnationsClock(const Worker& worker,
                                 std::int64_t clock_ms,
                                 base::Micros now);

// Whether the worker has both serving runs (with a latency target) and filling
// runs.
bool MixesServingAndFillingRuns(const Worker& worker);

// The lease deadline on the worker's clock that expires no later than `end` on
// this process's clock, even if the worker's clock runs slow. 0 if its clock
// has not been read yet.
std::int64_t DeadlineFor(const Worker& worker, base::Micros end);

// Workers' monotonic clocks may run up to 2% slow, per the platform's
// documentation.
inline constexpr double kMinClockRate = 0.98;

// Free capacity of a worker that is not yet spoken for.
struct WorkerRoom {
  const Worker* worker = nullptr;
  jobs::Resources free;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_WORKER_H_
