#include "entry/settings.h"

#include <array>
#include <string_view>

#include <fmt/format.h>

#include "base/setting_values.h"
#include "base/settings_reader.h"

namespace quartzhoist::entry {

namespace {

using base::TakeAddress;
using base::TakeIdentifier;

using Key = base::SettingKey<Settings>;

base::Micros ParseMilliseconds(const std::string& value) {
  return std::chrono::milliseconds(base::TakeWhole(value, 1, 600'000));
}

base::Micros ParseDuration(const std::string& value) {
  return base::TakeSeconds(value, 0.001, 3600.0);
}

constexpr std::array<Key, 30> kKeys{{
    {"daemon", "id", true,
     [](Settings& s, const std::string& v) { s.id = TakeIdentifier(v); }},
    {"daemon", "zone", true,
     [](Settings& s, const std::string& v) { s.zone = TakeIdentifier(v); }},
    {"daemon", "cores", false,
     [](Settings& s, const std::string& v) {
       s.cores = base::TakeNumber(v, 0.001, 1024.0);
     }},
    {"listen", "callers", true,
     [](Settings& s, const std::string& v) {
       s.callers_address = TakeAddress(v);
     }},
    {"listen", "readiness", true,
     [](Settings& s, const std::string& v) {
       s.readiness_address = TakeAddress(v);
     }},
    {"listen", "metrics", false,
     [](Settings& s, const std::string& v) {
       s.metrics_address = TakeAddress(v);
     }},
    {"store", "address", true,
     [](Settings& s, const std::string& v) {
       s.store_address = TakeAddress(v);
     }},
    {"store", "writes_span_parts", false,
     [](Settings& s, const std::string& v) {
       s.deployment.writes_span_parts = base::TakeTruth(v);
     }},
    {"store", "row_bytes", false,
     [](Settings& s, const std::string& v) {
       s.deployment.row_bytes =
           static_cast<std::size_t>(base::TakeWhole(v, 1024, 1'000'000'000));
     }},
    {"boxes", "epochs_checked", false,
     [](Settings& s, const std::string& v) {
       s.deployment.epochs_checked = base::TakeTruth(v);
     }},
    {"limits", "config_in_force_ms", false,
     [](Settings& s, const std::string& v) {
       s.deployment.config_in_force = ParseMilliseconds(v);
     }},
    {"boxes", "address", false,
     [](Settings& s, const std::string& v) {
       s.boxes_address = TakeAddress(v);
     }},
    {"boxes", "reads_per_second", false,
     [](Settings& s, const std::string& v) {
       s.box_reads_per_second = base::TakeNumber(v, 0.01, 1'000'000.0);
     }},
    {"advice", "address", false,
     [](Settings& s, const std::string& v) {
       s.advice_address = TakeAddress(v);
     }},
    {"limits", "longest_lease_ms", false,
     [](Settings& s, const std::string& v) {
       s.max_lease = ParseMilliseconds(v);
     }},
    {"limits", "stop_ms", false,
     [](Settings& s, const std::string& v) {
       s.max_stop_time = ParseMilliseconds(v);
     }},
    {"limits", "worker_heartbeat_ms", false,
     [](Settings& s, const std::string& v) {
       s.worker_heartbeat = ParseMilliseconds(v);
     }},
    {"limits", "move_seconds", false,
     [](Settings& s, const std::string& v) {
       s.move_duration = ParseDuration(v);
     }},
    {"limits", "upkeep_seconds", false,
     [](Settings& s, const std::string& v) {
       s.upkeep_duration = ParseDuration(v);
     }},
    {"limits", "grace_seconds", false,
     [](Settings& s, const std::string& v) {
       s.stop_grace_period = ParseDuration(v);
     }},
    {"limits", "max_connections", false,
     [](Settings& s, const std::string& v) {
       s.caller_limits.connections =
           static_cast<std::size_t>(base::TakeWhole(v, 8, 65'536));
     }},
    // A body may take twice its size, and must fit in `request_bytes`.
    {"limits", "max_body_bytes", false,
     [](Settings& s, const std::string& v) {
       s.max_body =
           static_cast<std::size_t>(base::TakeWhole(v, 1024, 4'194'304));
     }},
    {"limits", "request_bytes", false,
     [](Settings& s, const std::string& v) {
       s.caller_limits.held_bytes = static_cast<std::size_t>(
           base::TakeWhole(v, 10'000'000, 10'000'000'000));
     }},
    {"limits", "answer_bytes", false,
     [](Settings& s, const std::string& v) {
       s.max_answers = static_cast<std::size_t>(
           base::TakeWhole(v, 20'000'000, 10'000'000'000));
     }},
    {"limits", "monitoring_connections", false,
     [](Settings& s, const std::string& v) {
       s.max_monitoring_connections =
           static_cast<std::size_t>(base::TakeWhole(v, 8, 65'536));
     }},
    {"limits", "monitoring_bytes", false,
     [](Settings& s, const std::string& v) {
       s.max_monitoring_bytes = static_cast<std::size_t>(
           base::TakeWhole(v, 1'000'000, 10'000'000'000));
     }},
    // The feeds of a daemon that owns all shards take some two hundred.
    {"limits", "store_connections", false,
     [](Settings& s, const std::string& v) {
       s.max_store_connections =
           static_cast<long>(base::TakeWhole(v, 256, 65'536));
     }},
    {"limits", "transfer_seconds", false,
     [](Settings& s, const std::string& v) {
       s.caller_limits.transfer_time = base::TakeSeconds(v, 0.5, 3600.0);
     }},
    {"limits", "idle_seconds", false,
     [](Settings& s, const std::string& v) {
       s.caller_limits.idle_time = base::TakeSeconds(v, 0.5, 3600.0);
     }},
    {"limits", "workers_an_owner", false,
     [](Settings& s, const std::string& v) {
       s.workers_per_owner =
           static_cast<std::size_t>(base::TakeWhole(v, 1, 1'000'000));
     }},
}};

}  // namespace

Settings ReadSettings(std::istream& in, const std::string& file) {
  // The platform leaves optional keys empty if it has no value for them.
  return base::ReadSettings<Settings>(in, file, kKeys,
                                      base::EmptyValue::kIsLeftOut);
}

std::string DescribeDeployment(const platform::Deployment& deployment) {
  return fmt::format(
      "writes may span partitions: {}\n"
      "maximum row size: {} bytes\n"
      "workers and boxes check epochs: {}\n"
      "configuration changes take effect within: {:.3f} s\n",
      deployment.writes_span_parts, deployment.row_bytes,
      deployment.epochs_checked, base::Seconds(deployment.config_in_force));
}

}  // namespace quartzhoist::entry
