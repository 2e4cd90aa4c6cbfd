// Actions that the scheduler requests. The caller performs them and passes the
// result of each back to the scheduler.

#ifndef SCHEDULER_ACTIONS_H_
#define SCHEDULER_ACTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "jobs/job.h"
#include "scheduler/advice_calls.h"
#include "scheduler/facts.h"
#include "scheduler/job.h"

namespace quartzhoist::scheduler {

struct StartRun {
  jobs::WorkerIncarnation worker;
  jobs::TaskId task;
  int run = 0;
  std::string text;        // of the job, passed through
  std::string checkpoint;  // to resume from; empty if none
  std::string ticket;      // empty if the queue requires no advice
};

// Requests which of these workers are allowed to run the step.
struct RequestAdvice {
  std::string job;
  int occurrence = 0;
  int step = 0;
  std::vector<jobs::WorkerIncarnation> workers;
  AdviceCallId call = 0;
  base::Micros time_limit{};
};

struct StopRun {
  jobs::WorkerIncarnation worker;
  jobs::TaskId task;
  int run = 0;
};

// Limits a task to this percentage of its full speed.
struct ThrottleRun {
  jobs::WorkerIncarnation worker;
  jobs::TaskId task;
  int run = 0;
  int percent = 100;
};

// Requests a worker's status report and optionally renews its lease.
struct PollWorker {
  jobs::WorkerIncarnation worker;
  std::int64_t acknowledged =
      0;                     // ends up to this sequence number may be discarded
  base::Micros max_wait{};   // time to wait for a run end
  bool renews_lease = true;  // grants a new lease
};

// Writes a job's progress on condition that its row still has `version`.
struct SaveProgress {
  std::string job;
  std::string text;
  std::uint64_t version = 0;
  std::uint64_t change = 0;  // returned with the outcome
  // No task of the job runs or will run: the caller's request is not needed any
  // more.
  bool is_over = false;
};

// A worker reports a job that this owner has not loaded. The caller reads it
// from the store and calls AddJob or UnknownJobIsOver.
struct LoadJob {
  std::string job;
};

// The owner's knowledge of a box when it decided on a call, for the log.
struct BoxCallContext {
  base::Micros confirmed_ago{};    // of the ownership by the store
  base::Micros last_answer_ago{};  // by the box's worker; negative if never
  // Runs there were presumed over when their lease expired, and the worker has
  // not answered since.
  bool runs_presumed_over = false;
};

struct MoveBox {
  std::string box;
  std::string pool;
  jobs::WorkerIncarnation
      incarnation;  // on the box at decision time; empty if none
  BoxCallContext context;
};

struct MaintainBox {
  std::string box;
  int wave = 0;
  jobs::WorkerIncarnation incarnation;  // as above
  BoxCallContext context;
};

// Time limit of a box call. A call may be in flight for as long, also after its
// owner was replaced. The platform may be slow: 60 times its usual answer.
inline constexpr base::Micros kBoxCallTimeLimit = std::chrono::seconds(2);

// A box call is recorded before it is made. The next owner repeats it under its
// own epoch, so that the box rejects a late call of the earlier owner.
using BoxCall = std::variant<MoveBox, MaintainBox>;

// Progress of a maintenance wave, recorded for later owners and for operators.
struct ReportWave {
  int wave = 0;
  WaveState state = WaveState::kRunning;
  std::vector<std::string> begun;  // boxes whose maintenance has begun
};

// Log entry: the reason for a decision.
struct LogNote {
  std::string subject;  // a job, task, worker or box
  std::string text;
};

// A run that was assigned to a lost worker.
struct LostRun {
  jobs::TaskId task;
  int run = 0;
  base::Micros age{};        // since its start was decided
  bool is_answered = false;  // its start was answered or it was reported
};

// Log entry: the runs on a worker are over without reported ends.
struct WorkerLost {
  jobs::WorkerIncarnation worker;
  std::string box;
  LossReason reason = LossReason::kLeaseExpired;
  base::Micros last_answer_ago{};  // negative if it never answered
  std::vector<LostRun> runs;       // newest first
};

// Log entry: a worker has restarted under the same id.
struct WorkerRestarted {
  jobs::WorkerIncarnation worker;
  std::int64_t earlier_born_ms = 0;
  std::int64_t last_end_sequence = 0;  // of the earlier incarnation
  int transferred_runs = 0;            // may be active in the new incarnation
};

// Log entry: a worker has announced another capacity than before.
struct WorkerCapacityChanged {
  jobs::WorkerIncarnation worker;
  jobs::Resources earlier;
  jobs::Resources current;
  jobs::Resources used;        // by the runs there, planned ones included
  base::Micros earlier_age{};  // of the announcement that is replaced
};

// Log entry: a reported end was ignored because its sequence number is not
// above the last one processed, although the owner still tracks its run.
struct RunEndIgnored {
  jobs::WorkerIncarnation worker;
  ReportedEnd end;
  std::int64_t last_end_sequence = 0;  // processed before
};

// Log entry: workers crashed while running the task, so it is not started
// again.
struct TaskGivenUp {
  std::string job;
  jobs::TaskKey task;
  jobs::WorkerLosses losses;
};

// Log entry: a job has finished, with a breakdown of the time it took.
struct JobFinished {
  std::string job;
  std::string queue;
  jobs::JobState state = jobs::JobState::kCompleted;
  base::Micros duration{};   // since it was accepted
  base::Micros objective{};  // for its completion
  JobTimings timings;
};

// Log entry: other long-running tasks of the job are stalled than before.
struct LongRunningStalled {
  std::string job;
  std::string queue;
  int tasks = 0;  // stalled now
  // The longest stall; if none is left, the longest of those that ended.
  base::Micros stalled_for{};
};

// Adds to the counter of stalls: those that have begun, and those that have
// lasted for another period.
struct CountStalls {
  int count = 0;
};

// Log entry: boxes have been moved to the spare pool since the last entry.
struct BoxesRested {
  int boxes = 0;
  double need_cores = 0.0;  // the highest need of the pools that counts
  double pool_cores = 0.0;  // in pools that are not spare
};

// Log entry: the job's progress did not fit its row, or the store rejected it.
struct ProgressRejected {
  std::string job;
  std::size_t bytes = 0;
  std::size_t limit = 0;
  int withdrawn = 0;   // planned runs, which will be planned again
  int rejections = 0;  // since the last successful save
};

// Log entry: this owner has saved the job's failure.
struct JobFailed {
  std::string job;
  std::string queue;
  jobs::TaskKey task;  // that made the job fail
  FailureCause cause = FailureCause::kAttempts;
};

using Action = std::variant<StartRun,
                            StopRun,
                            ThrottleRun,
                            PollWorker,
                            SaveProgress,
                            LoadJob,
                            RequestAdvice,
                            MoveBox,
                            MaintainBox,
                            ReportWave,
                            JobFinished,
                            WorkerLost,
                            WorkerRestarted,
                            WorkerCapacityChanged,
                            RunEndIgnored,
                            TaskGivenUp,
                            LongRunningStalled,
                            CountStalls,
                            JobFailed,
                            ProgressRejected,
                            BoxesRested,
                            LogNote>;

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_ACTIONS_H_
