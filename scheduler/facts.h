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
#include "jobs/worker_incarnation.h"

namespace quartzhoist::scheduler {

// One life of a worker's process, as it announces itself.
struct WorkerInfo {
  jobs::WorkerIncarnation life;
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
enum class BoxState { kUp, kMoving, kUpkeep, kDown };

struct BoxInfo {
  std::string name;
  std::string pool;
  BoxState state = BoxState::kUp;
  std::string worker;  // the id of the life on it, or empty
  double cores = 0.0;  // of its capacity
};

// By what it is known that nothing of a worker's life runs any more.
enum class LossSign {
  kSilence,    // it did not answer until its lease was over
  kOtherLife,  // another life answers at its address
  kRestarted,  // a later life of it answers or announces itself
  kBoxTaken,   // its box was moved or went into its upkeep
  kLeft,       // it had said that it leaves, or withdrawn its announcement
};

inline constexpr base::EnumNames<LossSign, 5> kLossSignNames{{
    {LossSign::kSilence, "silence"},
    {LossSign::kOtherLife, "other_life"},
    {LossSign::kRestarted, "restarted"},
    {LossSign::kBoxTaken, "box_taken"},
    {LossSign::kLeft, "left"},
}};

// Why a run ended.
enum class RunEnd { kDone, kFailed, kStopped, kLapsed, kBroken, kAlone };

inline constexpr base::EnumNames<RunEnd, 6> kRunEndNames{{
    {RunEnd::kDone, "done"},
    {RunEnd::kFailed, "failed"},
    {RunEnd::kStopped, "stopped"},
    {RunEnd::kLapsed, "lapsed"},
    {RunEnd::kBroken, "broken"},
    {RunEnd::kAlone, "alone"},
}};

// A run that a worker says it has.
struct ListedRun {
  jobs::TaskId task;
  int run = 0;
  std::string checkpoint;  // the newest; empty: none
  int percent = 0;         // of its work; 100 for a lasting task at work
  // A rough figure of the last half second: a serving task's tail latency in
  // ms, any other's processor use in thousandths of a core; -1 unknown.
  std::int64_t load = -1;
};

struct ListedEnd {
  std::int64_t number = 0;  // rises from 1 in each life of a worker
  jobs::TaskId task;
  int run = 0;
  RunEnd how = RunEnd::kFailed;
  std::string checkpoint;
};

// A worker's account of itself.
struct Listing {
  jobs::WorkerIncarnation life;  // that answered
  std::int64_t clock_ms = 0;     // the worker's own clock
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;
};

// How an order to a worker was answered.
enum class OrderOutcome {
  kDone,
  kNotSent,  // no byte left; it was not and will not be carried out
  kUnknown,  // no answer: it may have been, or may yet be, carried out
  kFenced,   // a higher epoch has been seen there
  kOld,      // this run, or a later one, has ended there
  kLate,     // its lease was over when it came
  kNoRoom,
  kNoTicket,   // the advice does not cover it
  kBusy,       // the worker is unhealthy; nothing was done
  kOtherLife,  // another life answers at this address
};

inline constexpr base::EnumNames<OrderOutcome, 10> kOrderOutcomeNames{{
    {OrderOutcome::kDone, "done"},
    {OrderOutcome::kNotSent, "not_sent"},
    {OrderOutcome::kUnknown, "unknown"},
    {OrderOutcome::kFenced, "fenced"},
    {OrderOutcome::kOld, "old"},
    {OrderOutcome::kLate, "late"},
    {OrderOutcome::kNoRoom, "no_room"},
    {OrderOutcome::kNoTicket, "no_ticket"},
    {OrderOutcome::kBusy, "busy"},
    {OrderOutcome::kOtherLife, "other_life"},
}};

// Which workers may run a step, each with the ticket that proves it.
struct Advice {
  std::map<jobs::WorkerIncarnation, std::string> tickets;
  base::Micros valid{};  // from when it was asked
};

// A wave: these boxes get their upkeep, at most so many at a time.
struct Wave {
  int number = 0;
  std::vector<std::string> boxes;
  base::Micros duration{};
  int most_at_once = 1;
};

enum class WaveState { kRunning, kCompleted };

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_FACTS_H_
