// Where jobs went that were not completed in time, and how the pools stood,
// from the daemons' own log lines of a run.

#ifndef BENCH_JOB_LOSSES_H_
#define BENCH_JOB_LOSSES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "base/enum_names.h"

namespace quartzhoist::bench {

// How a job ended, against its objective.
enum class Fate {
  kInTime,
  kLate,
  kTooLate,  // of no use any more: over three times its objective
  kFailed,
  kCancelled,
};

inline constexpr base::EnumNames<Fate, 5> kFateNames{{
    {Fate::kInTime, "in time"},
    {Fate::kLate, "late"},
    {Fate::kTooLate, "too late"},
    {Fate::kFailed, "failed"},
    {Fate::kCancelled, "cancelled"},
}};

// The largest part of a job's objective, by the first cause that holds.
enum class Delay {
  kOwnerBefore,  // another owner placed it: its story is not told
  kFirstPlace,   // no task of it had a place for long
  kLaterPlace,   // a task waited for a place after others had one
  kLostRuns,     // runs ended without ending their task
  kLongRun,      // a run took long
  kMany,         // none of these alone
};

inline constexpr base::EnumNames<Delay, 6> kDelayNames{{
    {Delay::kOwnerBefore, "owner before"},
    {Delay::kFirstPlace, "first place"},
    {Delay::kLaterPlace, "later place"},
    {Delay::kLostRuns, "lost runs"},
    {Delay::kLongRun, "long run"},
    {Delay::kMany, "many"},
}};

struct QueueLosses {
  std::map<Fate, int> jobs;
  std::map<Delay, int> late;  // kLate and kTooLate
  std::map<Delay, int> too_late;
};

// A pool in one second: the sum over its shards.
struct PoolSecond {
  int boxes = 0;
  int idle = 0;
  int leaving = 0;  // move, are to move, or are in their upkeep
  double busy_cores = 0.0;
  double waiting_cores = 0.0;
  std::int64_t oldest_ms = 0;  // the longest wait of a task
};

class JobLosses {
 public:
  // A log line, whatever stands before its first brace. Lines of other events,
  // and what is no JSON, are passed over.
  void Read(std::string_view line);

  const std::map<std::string, QueueLosses>& queues() const {
    return this->by_queue;
  }
  // By pool, then by second since the first line.
  const std::map<std::string, std::map<std::int64_t, PoolSecond>>& pools()
      const {
    return this->by_pool;
  }

  std::string ToText() const;
  // Boxes' cores, busy cores and waiting cores of each pool over time.
  std::string ToSvg() const;

 private:
  void ReadJob(const nlohmann::json& event);
  void ReadPool(const nlohmann::json& event);

  std::map<std::string, QueueLosses> by_queue;
  std::map<std::string, std::map<std::int64_t, PoolSecond>> by_pool;
  std::set<std::string> seen;  // jobs: a later owner may tell of one again
  std::int64_t first_second = -1;
};

}  // namespace quartzhoist::bench

#endif  // BENCH_JOB_LOSSES_H_
