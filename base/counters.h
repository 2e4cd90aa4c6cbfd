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
  kCancelled,
  kRetries,
  kTargetFailures,
  kTargetRefusals,
  kClaims,
  kClaimReplays,
  kControlBytesSent,
  kControlBytesReceived,
  kPeerMessagesBad,
  kPlatformReads,
  kPlatformWrites,
  kPlatformFailures,
  kPlatformConflicts,
  kPlatformRefusals,
  kSnapshotsInstalled,
  kEditsAccepted,
  kWaveSteps,
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
    {"answered", "Whole answers of targets passed on to callers"},
    {"refused_not_run", "Requests refused that did not run"},
    {"refused_may_have_run", "Requests refused that may have run"},
    {"cancelled", "Requests whose caller went away"},
    {"retries", "Second and later tries at a target"},
    {"target_failures", "Tries that failed at a target"},
    {"target_refusals", "Tries that a target refused as not run"},
    {"claims", "Claims written for requests unsafe to repeat"},
    {"claim_replays", "Repeats answered from a claim's stored outcome"},
    {"control_bytes_sent", "Bytes sent to peers and the platform"},
    {"control_bytes_received", "Bytes received from peers and the platform"},
    {"peer_messages_bad", "Peers' messages dropped as malformed or foreign"},
    {"platform_reads", "Reads of the platform's table"},
    {"platform_writes", "Writes to the platform's table"},
    {"platform_failures", "Calls to the platform that failed"},
    {"platform_conflicts", "Writes that lost on a row's version"},
    {"platform_refusals", "Writes that the platform refused for good"},
    {"snapshots_installed", "Snapshots installed"},
    {"edits_accepted", "Edits of the table accepted here"},
    {"wave_steps", "Steps of boxes written by this process"},
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
