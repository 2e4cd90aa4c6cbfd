// The process's counters. Any thread adds; a dump reads them all.

#ifndef BASE_COUNTERS_H_
#define BASE_COUNTERS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace quartzhoist::base {

enum class Counter {
  kRequests,
  kAnswered,
  kRefusedNotRun,
  kRefusedMayHaveRun,
  kPlatformReads,
  kPlatformWrites,
  kPlatformFailures,
  kPlatformConflicts,
  kPlatformRefusals,
  kWorkersLost,
  kTasksGivenUp,
  kLongRunningStalled,
  kJobsFailed,
  kRejectedByWait,
  kRejectedOverRate,
  kStoreOutages,
  kStoreOutageMillis,
  kHeldAtStart,
  kBoxesRested,
  kCallsRepeated,
  kRequestsCut,
  kConnectionsClosed,
  kCount,
};

struct CounterInfo {
  std::string_view name;  // without the prefix quartzhoist_ and suffix _total
  std::string_view help;
};

inline constexpr std::size_t kCounterCount =
    static_cast<std::size_t>(Counter::kCount);

inline constexpr std::array<CounterInfo, kCounterCount> kCounters{{
    {"requests", "Requests taken from callers"},
    {"answered", "Jobs accepted"},
    {"refused_not_run", "Requests refused that did not run"},
    {"refused_may_have_run", "Requests refused that may have run"},
    {"platform_reads", "Reads of the platform's store"},
    {"platform_writes", "Writes to the platform's store"},
    {"platform_failures", "Calls to the platform that failed"},
    {"platform_conflicts", "Writes that lost on a row's version"},
    {"platform_refusals", "Writes that the platform refused for good"},
    {"workers_lost", "Workers whose runs ended with them"},
    {"tasks_given_up", "Tasks under which workers crashed too often"},
    {"long_running_stalled",
     "Stalls of long-running tasks, and each further 10 s of one"},
    {"jobs_failed", "Jobs that failed"},
    {"rejected_by_wait", "Jobs rejected since they could not be done in time"},
    {"rejected_over_rate",
     "Jobs over their organisation's rate rejected since they could not be "
     "done in time"},
    {"store_outages", "Outages of the store as seen by this daemon"},
    {"store_outage_ms", "Milliseconds of them"},
    {"held_at_start",
     "Requests held by a daemon that had just started until it could serve "
     "them"},
    {"boxes_rested", "Boxes moved to the spare pool"},
    {"calls_repeated",
     "Calls to the platform that the HTTP library sent more than once"},
    {"requests_cut",
     "Callers' requests that were read whole and that no handler answered"},
    {"connections_closed",
     "Connections that were closed for a limit amid a request or its answer, "
     "or while idle since there were too many"},
}};

class Counters {
 public:
  void Add(Counter counter, std::uint64_t amount = 1) {
    this->values[static_cast<std::size_t>(counter)].fetch_add(
        amount, std::memory_order_relaxed);
  }
  std::uint64_t Get(Counter counter) const {
    return this->values[static_cast<std::size_t>(counter)].load(
        std::memory_order_relaxed);
  }

 private:
  std::array<std::atomic<std::uint64_t>, kCounterCount> values{};
};

// The counters in the Prometheus text format.
std::string PrometheusText(const Counters& counters);

}  // namespace quartzhoist::base

#endif  // BASE_COUNTERS_H_
