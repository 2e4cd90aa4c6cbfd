// What the scheduler wants done. The caller carries the actions out and tells
// what came of each.

#ifndef SCHEDULER_ACTIONS_H_
#define SCHEDULER_ACTIONS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "jobs/job.h"
#include "scheduler/facts.h"
#include "scheduler/job.h"

namespace quartzhoist::scheduler {

struct StartRun {
  jobs::WorkerIncarnation worker;
  jobs::TaskId task;
  int run = 0;
  std::string text;        // the job's, handed on
  std::string checkpoint;  // to resume from; empty: none
  std::string ticket;      // where the queue asks for advice; else empty
};

// Asks which of these workers may run the step.
struct AskAdvice {
  std::string job;
  int occurrence = 0;
  int step = 0;
  std::vector<jobs::WorkerIncarnation> workers;
};

struct StopRun {
  jobs::WorkerIncarnation worker;
  jobs::TaskId task;
  int run = 0;
};

// Lets a task work at this share of its speed.
struct PaceRun {
  jobs::WorkerIncarnation worker;
  jobs::TaskId task;
  int run = 0;
  int percent = 100;
};

// Renews the worker's lease and asks for its listing.
struct LookAt {
  jobs::WorkerIncarnation worker;
  std::int64_t acknowledged = 0;  // it may forget ends up to this number
  base::Micros wait{};            // for an end, before it answers
  bool renews = true;             // grants a lease anew
};

// Records a job's progress, if its row still has `version`.
struct SaveProgress {
  std::string job;
  std::string text;
  std::uint64_t version = 0;
  std::uint64_t change = 0;  // returned with the outcome
  // Nothing of it runs or will: what its caller sent is not needed any more.
  bool over = false;
};

// A worker tells of a job that this owner does not know: it is to be read from
// the store, and added, or said to be over.
struct ReadJob {
  std::string job;
};

// What an owner knew of a box when it decided on a call, for the log.
struct BoxEvidence {
  base::Micros confirmed_ago{};  // the ownership, by the store
  base::Micros heard_ago{};      // of the box's worker; negative: never
  // Runs there were taken as over with their lease; nothing was heard since.
  bool runs_presumed_over = false;
};

struct MoveBox {
  std::string box;
  std::string pool;
  jobs::WorkerIncarnation life;  // there when it was decided; empty: none
  BoxEvidence evidence;
};

struct UpkeepBox {
  std::string box;
  int wave = 0;
  jobs::WorkerIncarnation life;  // as above
  BoxEvidence evidence;
};

// A call for a box, recorded before it is made: the next owner makes it again
// under its own epoch, so that the box refuses the earlier owner's.
using BoxCall = std::variant<MoveBox, UpkeepBox>;

// How far a wave is: recorded for a later owner and for the operators.
struct ReportWave {
  int wave = 0;
  WaveState state = WaveState::kRunning;
  std::vector<std::string> begun;  // boxes whose upkeep has begun
};

// For the log: why something was decided.
struct Note {
  std::string subject;  // a job, task, worker or box
  std::string text;
};

// A run on a worker that was lost.
struct LostRun {
  jobs::TaskId task;
  int run = 0;
  base::Micros age{};        // since its order was decided
  bool is_answered = false;  // its start was, or it was listed
};

// For the log: what ran on a worker is over without ends of its own.
struct WorkerLost {
  jobs::WorkerIncarnation worker;
  std::string box;
  LossSign sign = LossSign::kSilence;
  base::Micros heard_ago{};   // its last answer; negative: none
  std::vector<LostRun> runs;  // the newest first
};

// For the log: a worker has started again under its id.
struct WorkerRestarted {
  jobs::WorkerIncarnation worker;
  std::int64_t earlier_born_ms = 0;
  std::int64_t ends_read = 0;  // the highest number read from the earlier life
  int moved_runs = 0;          // that the next life may have begun
};

// For the log: an end was passed over for its number, of a run that the owner
// still counts on.
struct EndSkipped {
  jobs::WorkerIncarnation worker;
  ListedEnd end;
  std::int64_t ends_read = 0;  // the highest number read before
};

// For the log: workers crashed under the task, and it is not started any more.
struct TaskGivenUp {
  std::string job;
  jobs::TaskKey task;
  jobs::WorkerLosses losses;
};

// For the log: a job is over, and where its time went.
struct JobOver {
  std::string job;
  std::string queue;
  jobs::JobState state = jobs::JobState::kCompleted;
  base::Micros took{};       // since it was accepted
  base::Micros objective{};  // within which it was to be completed
  JobStory story;
};

using Action = std::variant<StartRun,
                            StopRun,
                            PaceRun,
                            LookAt,
                            SaveProgress,
                            ReadJob,
                            AskAdvice,
                            MoveBox,
                            UpkeepBox,
                            ReportWave,
                            JobOver,
                            WorkerLost,
                            WorkerRestarted,
                            EndSkipped,
                            TaskGivenUp,
                            Note>;

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_ACTIONS_H_
