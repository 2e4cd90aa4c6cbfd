// A worker as the scheduler keeps it: its room, its runs, and how long the
// lease that was granted to it can last.

#ifndef SCHEDULER_WORKER_H_
#define SCHEDULER_WORKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "jobs/job.h"
#include "scheduler/facts.h"
#include "scheduler/suspects.h"

namespace quartzhoist::scheduler {

enum class RunState {
  kPlanned,    // its placement is being recorded; the worker is not told yet
  kInherited,  // an earlier owner placed it: its worker's listing settles it
  kStarting,   // the order is on its way
  kRunning,    // answered or listed
  kUnsettled,  // the order got no answer: it may still be carried out
  kStopping,   // it is to end; the room is free once the end is listed
};

// A worker's life that was lost under a run, unless the next one has begun it.
struct PossibleLoss {
  jobs::WorkerIncarnation life;
  jobs::WorkerLoss loss;
};

struct Run {
  int number = 0;
  RunState state = RunState::kStarting;
  jobs::Resources takes;  // what it takes of the room
  // What it counts for towards its organisation's quota, and where that is
  // counted; null: nowhere.
  jobs::Resources counts;
  jobs::Resources* counted = nullptr;
  std::string image;
  base::Micros since{};          // when the order was decided
  base::Micros answered{};       // when the start was answered
  base::Micros unsettled{};      // when the start was given up unanswered
  base::Micros stop_answered{};  // when a stop was answered; 0: none yet
  base::Micros stop_sent{};      // when a stop was last sent
  // When the first look was sent since which no listing shows it, nor its end.
  base::Micros missing_since{};
  bool lasting = false;
  bool fills = false;
  bool adopted = false;  // started by an earlier owner
  bool is_held = false;  // its job is not known, nor what it takes
  // Its worker's life has been heard to have it; else a later one may.
  bool is_seen = false;
  // Of the life before this one: what is to be noted if this one never had it.
  std::optional<PossibleLoss> possible_loss;
  // Of crashing its worker; none once it has run on for some time.
  Suspicion suspicion = Suspicion::kNone;
  int percent = 0;
  base::Micros progressed{};  // when its percent was last seen to change
  int pace = 100;             // the share of its speed that it is let work at
  std::int64_t load = -1;
  std::int64_t target_ms = 0;
};

// An end that was taken in, and the change of its job's row that holds it.
struct PendingEnd {
  std::int64_t number = 0;
  std::string job;
  std::uint64_t change = 0;
  bool is_held = false;  // its job is not known: no row holds it
};

// A start without an answer, which may be carried out late.
struct UnansweredStart {
  jobs::TaskId task;
  int run = 0;
  base::Micros given_up{};
};

struct Worker {
  WorkerInfo info;
  bool listed = false;  // has answered a look under this owner's epoch
  // The stored list says that this owner grants it leases.
  bool recorded = false;
  bool announced = true;  // its announcement stands in the store
  // Room and labels are its own; else those of the life before, and its own
  // announcement has not been read.
  bool is_described = true;
  // It may hold a lease that was granted on the clock of the life before.
  bool has_foreign_lease = false;
  // A start was answered by an earlier clock: a later life may be there.
  bool is_in_doubt = false;
  base::Micros unlisted{};  // when its announcement went
  bool look_in_flight = false;
  base::Micros look_sent{};
  base::Micros next_look{};
  base::Micros last_answer{};
  base::Micros listed_sent{};  // when the last look that was answered was sent
  // An upper bound, on our clock, of when everything on it is over.
  base::Micros lease_end{};
  // A lower bound: until when looks that it has answered granted it a lease.
  base::Micros leased_until{};
  base::Micros look_grant{};  // what the look in flight grants; 0: nothing
  std::int64_t look_acknowledged = 0;  // what the look in flight acknowledges
  // Runs were taken as over with their lease, and it has not answered since.
  bool runs_presumed_over = false;
  // Its clock, as read at `clock_read` on ours (when the answer came).
  std::int64_t clock_ms = 0;
  base::Micros clock_read{};
  std::int64_t processed = 0;           // ends up to this number were taken in
  std::int64_t acknowledged = 0;        // ends up to this number are recorded
  std::int64_t told = 0;                // ends that it knows to be recorded
  std::deque<PendingEnd> pending_ends;  // taken in, not yet recorded
  std::deque<UnansweredStart> unanswered;  // of late, the oldest first
  std::map<jobs::TaskId, Run> runs;
  jobs::Resources used;
  int lasting = 0;   // lasting tasks among the runs: they pin the box
  int held = 0;      // runs of jobs that are not known
  int suspects = 0;  // runs that are watched for crashing it
  int probes = 0;    // of them, those beside which nothing is placed
  // Health, from the ends of tasks and failed calls.
  double failure_rate = 0.0;  // moving average of failed ends
  int failed_calls = 0;       // since the last answer
  int unanswered_starts = 0;  // since the last start that was answered
  base::Micros quarantined_until{};
  base::Micros slow_until{};  // its runs take much longer than elsewhere

  // None while it is not known what some of the runs take.
  jobs::Resources room() const {
    return this->held > 0 ? jobs::Resources()
                          : this->info.capacity - this->used;
  }
  bool idle() const { return this->runs.empty(); }
  // It answered on after its announcement had gone: it was to leave.
  bool has_withdrawn() const {
    return !this->announced && this->last_answer > this->unlisted;
  }
};

Run& AddRun(Worker& worker, const jobs::TaskId& task, Run run);
void RemoveRun(Worker& worker, const jobs::TaskId& task);
// The run is not suspected any more.
void ClearSuspicion(Worker& worker, Run& run);
// Notes a start without an answer, and forgets those that can come no more.
void NoteUnanswered(Worker& worker, const UnansweredStart& start);
// Takes all of its runs off the worker.
std::map<jobs::TaskId, Run> TakeRuns(Worker& worker);

// May the worker be told to forget ends? A later life that hears the number,
// and has ended runs of its own, would forget those unread.
bool MayAcknowledge(const Worker& worker);

// Whether this reading of a clock, for a start that was ordered at `ordered`,
// can be of the life that was listed: clocks never go back, and the next life's
// starts anew.
bool MayBeClockOf(const Worker& worker,
                  std::int64_t clock_ms,
                  base::Micros ordered);

// Do tasks that serve run beside tasks that fill?
bool IsShared(const Worker& worker);

// The deadline to grant, on the worker's clock, so that it is over at `end` on
// ours even if its clock runs slow. 0 if its clock has not been read yet.
std::int64_t DeadlineFor(const Worker& worker, base::Micros end);

// Workers' steady clocks may run 2% slow (the platform's pages).
inline constexpr double kSlowestClock = 0.98;

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_WORKER_H_
