// Numbered events on standard output, one JSON object a line:
//   {"time":"2026-12-02T10:00:00.123Z","level":"INFO","id":"QH0101",
//    "event":"daemon_started","box":"entry-1",...}
// docs/LOG-EVENTS.md lists every number; a test holds the two equal.

#ifndef BASE_EVENT_LOG_H_
#define BASE_EVENT_LOG_H_

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

#include <fmt/format.h>

#include "base/enum_names.h"

namespace quartzhoist::base {

enum class Level { kInfo, kWarning, kError };

inline constexpr EnumNames<Level, 3> kLevelNames{{
    {Level::kInfo, "INFO"},
    {Level::kWarning, "WARN"},
    {Level::kError, "ERROR"},
}};

enum class Event {
  kDaemonStarted,
  kDaemonStopping,
  kDaemonStopped,
  kSettingsRejected,
  kDaemonFailed,
  kRequestCut,
  kConnectionClosed,
  kPlatformLost,
  kCallRepeated,
  kPlatformAnswerBad,
  kStoreTraffic,
  kOwnershipGained,
  kOwnershipLost,
  kOwnershipReady,
  kJobAccepted,
  kJobRefused,
  kJobCancelled,
  kJobOver,
  kRunStarted,
  kRunUnsettled,
  kDecision,
  kWorkerLost,
  kTaskGivenUp,
  kWorkerRestarted,
  kEndSkipped,
  kWorkerCapacityChanged,
  kBoxAsked,
  kBoxMoved,
  kUpkeepBegun,
  kWaveReported,
  kRowMalformed,
  kConfigInstalled,
  kZonesEvacuated,
  kLinesLeftOut,
  kSettingsReloaded,
  kWriteRefused,
  kOrdersHeld,
  kOrdersResumed,
  kShardsKnown,
  kPoolState,
  kTaskWaits,
  kQuotaShared,
  kLongRunningWait,
  kLongRunningStalled,
  kJobFailed,
  kBoxesRested,
  kExpectedWait,
  kStoreReturned,
  kProgressRejected,
  kEarlierOwnerEnded,
  kAdviceCalls,
};

struct EventInfo {
  Event event;
  int number;
  Level level;
  std::string_view name;
};

inline constexpr std::array<EventInfo, 51> kEvents{{
    {Event::kDaemonStarted, 101, Level::kInfo, "daemon_started"},
    {Event::kDaemonStopping, 102, Level::kInfo, "daemon_stopping"},
    {Event::kDaemonStopped, 103, Level::kInfo, "daemon_stopped"},
    {Event::kSettingsRejected, 104, Level::kError, "settings_rejected"},
    {Event::kDaemonFailed, 105, Level::kError, "daemon_failed"},
    {Event::kRequestCut, 201, Level::kWarning, "request_cut"},
    {Event::kConnectionClosed, 202, Level::kWarning, "connection_closed"},
    {Event::kPlatformLost, 301, Level::kWarning, "platform_lost"},
    {Event::kCallRepeated, 302, Level::kWarning, "call_repeated"},
    {Event::kPlatformAnswerBad, 303, Level::kWarning, "platform_answer_bad"},
    {Event::kStoreTraffic, 305, Level::kInfo, "store_traffic"},
    {Event::kOwnershipGained, 801, Level::kInfo, "ownership_gained"},
    {Event::kOwnershipLost, 802, Level::kWarning, "ownership_lost"},
    {Event::kOwnershipReady, 803, Level::kInfo, "ownership_ready"},
    {Event::kOrdersHeld, 804, Level::kWarning, "orders_held"},
    {Event::kOrdersResumed, 805, Level::kInfo, "orders_resumed"},
    {Event::kShardsKnown, 806, Level::kInfo, "shards_known"},
    {Event::kEarlierOwnerEnded, 807, Level::kInfo, "earlier_owner_ended"},
    {Event::kJobAccepted, 811, Level::kInfo, "job_accepted"},
    {Event::kJobRefused, 812, Level::kInfo, "job_refused"},
    {Event::kJobCancelled, 813, Level::kInfo, "job_cancelled"},
    {Event::kJobOver, 814, Level::kInfo, "job_over"},
    {Event::kRunStarted, 821, Level::kInfo, "run_started"},
    {Event::kRunUnsettled, 822, Level::kWarning, "run_unsettled"},
    {Event::kDecision, 823, Level::kInfo, "decision"},
    {Event::kWorkerLost, 824, Level::kWarning, "worker_lost"},
    {Event::kTaskGivenUp, 825, Level::kWarning, "task_given_up"},
    {Event::kWorkerRestarted, 826, Level::kWarning, "worker_restarted"},
    {Event::kEndSkipped, 827, Level::kWarning, "end_skipped"},
    {Event::kWorkerCapacityChanged, 828, Level::kInfo,
     "worker_capacity_changed"},
    {Event::kBoxMoved, 831, Level::kInfo, "box_moved"},
    {Event::kUpkeepBegun, 832, Level::kInfo, "upkeep_begun"},
    {Event::kWaveReported, 833, Level::kInfo, "wave_reported"},
    {Event::kPoolState, 834, Level::kInfo, "pool_state"},
    {Event::kQuotaShared, 835, Level::kInfo, "quota_shared"},
    {Event::kBoxAsked, 836, Level::kInfo, "box_asked"},
    {Event::kLongRunningWait, 837, Level::kInfo, "long_running_wait"},
    {Event::kTaskWaits, 838, Level::kInfo, "task_waits"},
    {Event::kRowMalformed, 841, Level::kWarning, "row_malformed"},
    {Event::kConfigInstalled, 842, Level::kInfo, "config_installed"},
    {Event::kZonesEvacuated, 843, Level::kInfo, "zones_evacuated"},
    {Event::kExpectedWait, 844, Level::kInfo, "expected_wait"},
    {Event::kLongRunningStalled, 845, Level::kWarning, "long_running_stalled"},
    {Event::kJobFailed, 846, Level::kWarning, "job_failed"},
    {Event::kBoxesRested, 847, Level::kInfo, "boxes_rested"},
    {Event::kStoreReturned, 848, Level::kInfo, "store_returned"},
    {Event::kProgressRejected, 849, Level::kWarning, "progress_rejected"},
    {Event::kAdviceCalls, 852, Level::kInfo, "advice_calls"},
    {Event::kLinesLeftOut, 851, Level::kWarning, "lines_left_out"},
    {Event::kSettingsReloaded, 106, Level::kInfo, "settings_reloaded"},
    {Event::kWriteRefused, 304, Level::kError, "write_refused"},
}};

// One member of a line's object. Numbers and truth values stand as such.
struct Field {
  template <typename T>
  Field(std::string_view key_name, const T& content)
      : key(key_name),
        is_text(!std::is_arithmetic_v<T> || std::is_same_v<T, char>),
        value(fmt::format("{}", content)) {}

  std::string_view key;
  bool is_text;
  std::string value;
};

// The line as it is written, without its time and line feed.
std::string FormatEvent(Event event, std::initializer_list<Field> fields);

// Writes a line to standard output, or leaves it out: if this event has had its
// lines of the second, or if the reader is not keeping up. Never waits. A line
// `lines_left_out` follows in a later second.
void Log(Event event, std::initializer_list<Field> fields = {});

// Lines left out since the process started.
std::uint64_t LinesLeftOut();

}  // namespace quartzhoist::base

#endif  // BASE_EVENT_LOG_H_
