// Events and reports that are passed to the scheduler.

#ifndef SCHEDULER_FACTS_H_
#define SCHEDULER_FACTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/enum_names.h"
#include "jobs/job.h"
#include "jobs/worker_incarnation.h"

namespace quartzhoist::scheduler {

// One incarnation of a worker process, as the worker registers itself.
struct WorkerInfo {
  jobs::WorkerIncarnation incarnation;
  std::string box;
  std::string service;
  std::string address;  // ip:port
  std::string zone;
  std::vector<std::string> labels;
  std::string rack;
  jobs::Resources capacity;
  bool draining = false;
  // The worker's own clock when it registered these values; 0 if unknown.
  std::int64_t announced_clock_ms = 0;
};

// Box as listed by the platform.
enum class BoxState { kUp, kMoving, kMaintenance, kDown };

struct BoxInfo {
  std::string name;
  std::string pool;
  BoxState state = BoxState::kUp;
  std::string zone;    // availability zone, or empty if unknown
  std::string worker;  // id of the worker on the box, or empty
  double cores = 0.0;  // CPU capacity
};

// Evidence that no run of a worker incarnation is active any more.
enum class LossReason {
  kLeaseExpired,      // it did not answer until its lease expired
  kOtherIncarnation,  // another incarnation answers at its address
  kRestarted,         // a later incarnation answered or registered
  kBoxReclaimed,      // its box was moved or entered maintenance
  kDeregistered,      // it announced its shutdown or removed its registration
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

// An active run in a worker's report.
struct ReportedRun {
  jobs::TaskId task;
  int run = 0;
  std::string checkpoint;  // the latest; empty if none
  int percent = 0;         // 100 for a long-running task in full service
  // Estimate over the last 500 ms: the tail latency in ms of a serving task, or
  // the CPU use in thousandths of a core of any other; -1 if unknown.
  std::int64_t load = -1;
};

struct ReportedEnd {
  std::int64_t sequence = 0;  // counts from 1 in each incarnation of a worker
  jobs::TaskId task;
  int run = 0;
  RunEndReason reason = RunEndReason::kFailed;
  std::string checkpoint;
};

// A worker's status report.
struct WorkerReport {
  jobs::WorkerIncarnation incarnation;  // the incarnation that answered
  std::int64_t clock_ms = 0;            // the worker's own clock
  std::vector<ReportedRun> running;     // all of them
  std::vector<ReportedEnd> ended;       // the first ones, by sequence number
  // Later ends may be left out, so that a run in neither list may have ended.
  bool may_omit_ends = false;
};

// Reports of workers about a job that has not been loaded.
struct UnknownJob {
  std::vector<std::pair<jobs::WorkerIncarnation, ReportedEnd>> ends;
  std::vector<std::pair<jobs::WorkerIncarnation, jobs::TaskId>> runs;
};

// Outcome of a command sent to a worker.
enum class CommandOutcome {
  kDone,
  kNotSent,       // no byte was sent; it will not be executed
  kObsolete,      // not sent: what it was decided on no longer holds
  kUnknown,       // no answer; it may have been or may still be executed
  kFenced,        // the worker has seen a higher epoch
  kSuperseded,    // this run or a later one has already ended there
  kLeaseExpired,  // its lease had expired when it arrived
  kNoCapacity,
  kNoTicket,          // not covered by the advice
  kBusy,              // the worker is unhealthy; not executed
  kOtherIncarnation,  // another incarnation answers at this address
};

inline constexpr base::EnumNames<CommandOutcome, 11> kCommandOutcomeNames{{
    {CommandOutcome::kDone, "done"},
    {CommandOutcome::kNotSent, "not_sent"},
    {CommandOutcome::kObsolete, "obsolete"},
    {CommandOutcome::kUnknown, "unknown"},
    {CommandOutcome::kFenced, "fenced"},
    {CommandOutcome::kSuperseded, "old"},
    {CommandOutcome::kLeaseExpired, "late"},
    {CommandOutcome::kNoCapacity, "no_room"},
    {CommandOutcome::kNoTicket, "no_ticket"},
    {CommandOutcome::kBusy, "busy"},
    {CommandOutcome::kOtherIncarnation, "other_life"},
}};

// Workers that are allowed to run a step, each with its authorising ticket.
struct Advice {
  std::map<jobs::WorkerIncarnation, std::string> tickets;
  base::Micros valid_for{};  // counted from the answer
};

enum class AdviceOutcome {
  kAnswered,
  kRejected,  // not handled: too many calls are waiting, or it was not reached
  kUnanswered,  // within the time limit
  kUnusable,    // answered with something else
};

struct AdviceResult {
  AdviceOutcome outcome = AdviceOutcome::kUnanswered;
  Advice advice;  // if answered
};

// Maintenance wave over a set of boxes with limited concurrency.
struct Wave {
  int number = 0;
  std::vector<std::string> boxes;
  base::Micros duration{};
  int max_concurrent = 1;
};

enum class WaveState { kRunning, kCompleted };

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_FACTS_H_
