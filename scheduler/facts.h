// What the scheduler is told, in its own terms.

#ifndef SCHEDULER_FACTS_H_
#define SCHEDULER_FACTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/enum_names.h"
#include "jobs/job.h"
#include "jobs/worker_life.h"

namespace quartzhoist::scheduler {

// One life of a worker's process, as it announces itself.
struct WorkerInfo {
  jobs::WorkerLife life;
  std::string box;
  std::string service;
  std::string address;  // ip:port
  std::string zone;
  std::vector<std::string> labels;
  std::string rack;
  jobs::Resources capacity;
  bool draining = false;
};

// A box as the platform lists it.
enum class BoxState { kUp, kMoving, kMaintenance, kDown };

struct BoxInfo {
  std::string name;
  std::string pool;
  BoxState state = BoxState::kUp;
  std::string worker;  // the id of the life on it, or empty
  double cores = 0.0;  // of its capacity
};

// By what it is known that nothing of a worker's life runs any more.
enum class LossReason {
  kLeaseExpired,      // it did not answer until its lease was over
  kOtherIncarnation,  // another life answers at its address
  kRestarted,         // a later life of it answers or announces itself
  kBoxReclaimed,      // its box was moved or went into its upkeep
  kDeregistered,  // it had said that it leaves, or withdrawn its announcement
};

inline constexpr base::EnumNames<LossReason, 5> kLossReasonNames{{
    {LossReason::kLeaseExpired, "silence"},
    {LossReason::kOtherIncarnation, "other_life"},
    {LossReason::kRestarted, "restarted"},
    {LossReason::kBoxReclaimed, "box_taken"},
    {LossReason::kDeregistered, "left"},
}};

// Why a run ended.
enum class RunEndReason {
  kSucceeded,
  kFailed,
  kStopped,
  kLeaseExpired,
  kBroken,
  kAlone
};

inline constexpr base::EnumNames<RunEndReason, 6> kRunEndReasonNames{{
    {RunEndReason::kSucceeded, "done"},
    {RunEndReason::kFailed, "failed"},
    {RunEndReason::kStopped, "stopped"},
    {RunEndReason::kLeaseExpired, "lapsed"},
    {RunEndReason::kBroken, "broken"},
    {RunEndReason::kAlone, "alone"},
}};

// A run that a worker says it has.
struct ReportedRun {
  jobs::TaskId task;
  int run = 0;
  std::string checkpoint;  // the newest; empty: none
  int percent = 0;         // of its work; 100 for a lasting task at work
  // A rough figure of the last half second: a serving task's tail latency in
  // ms, any other's processor use in thousandths of a core; -1 unknown.
  std::int64_t load = -1;
};

struct ReportedEnd {
  std::int64_t sequence = 0;  // rises from 1 in each life of a worker
  jobs::TaskId task;
  int run = 0;
  RunEndReason reason = RunEndReason::kFailed;
  std::string checkpoint;
};

// A worker's account of itself.
struct WorkerReport {
  jobs::WorkerLife life;      // that answered
  std::int64_t clock_ms = 0;  // the worker's own clock
  std::vector<ReportedRun> running;
  std::vector<ReportedEnd> ended;
};

// How an order to a worker was answered.
enum class CommandOutcome {
  kDone,
  kNotSent,       // no byte left; it was not and will not be carried out
  kUnknown,       // no answer: it may have been, or may yet be, carried out
  kFenced,        // a higher epoch has been seen there
  kSuperseded,    // this run, or a later one, has ended there
  kLeaseExpired,  // its lease was over when it came
  kNoCapacity,
  kNoTicket,          // the advice does not cover it
  kBusy,              // the worker is unhealthy; nothing was done
  kOtherIncarnation,  // another life answers at this address
};

inline constexpr base::EnumNames<CommandOutcome, 10> kCommandOutcomeNames{{
    {CommandOutcome::kDone, "done"},
    {CommandOutcome::kNotSent, "not_sent"},
    {CommandOutcome::kUnknown, "unknown"},
    {CommandOutcome::kFenced, "fenced"},
    {CommandOutcome::kSuperseded, "old"},
    {CommandOutcome::kLeaseExpired, "late"},
    {CommandOutcome::kNoCapacity, "no_room"},
    {CommandOutcome::kNoTicket, "no_ticket"},
    {CommandOutcome::kBusy, "busy"},
    {CommandOutcome::kOtherIncarnation, "other_life"},
}};

// Which workers may run a step, each with the ticket that proves it.
struct Advice {
  std::map<jobs::WorkerLife, std::string> tickets;
  base::Micros valid_for{};  // from when it was asked
};

// A wave: these boxes get their upkeep, at most so many at a time.
struct Wave {
  int number = 0;
  std::vector<std::string> boxes;
  base::Micros duration{};
  int max_concurrent = 1;
};

enum class WaveState { kRunning, kCompleted };

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_FACTS_H_
