// Settings of the daemon, read from an INI file.

#ifndef ENTRY_SETTINGS_H_
#define ENTRY_SETTINGS_H_

#include <istream>
#include <string>

#include "base/clock.h"
#include "http/connection_table.h"
#include "platform/deployment.h"

namespace quartzhoist::entry {

struct Settings {
  // [daemon]
  std::string id;    // unique among the entry boxes
  std::string zone;  // availability zone
  // CPU share of the box; the daemons on the strongest boxes own the shards.
  double cores = 0.25;
  // [listen], each "ip:port"
  std::string callers_address;
  std::string readiness_address;
  std::string metrics_address;  // empty: metrics are not served
  // "address" of [store], [advice] and [boxes]
  std::string store_address;
  std::string advice_address;  // empty: there is no advice service
  std::string boxes_address;   // empty: boxes are neither moved nor maintained
  // Reads of the list of boxes a second that are answered, over all daemons.
  double box_reads_per_second = 16.0;
  // Capabilities of the store, the workers and the boxes: keys of [store],
  // [boxes] and [limits].
  platform::Deployment deployment;
  // [limits]; each default is the smaller of the two users' values.
  base::Micros max_lease = std::chrono::milliseconds(6000);
  base::Micros max_stop_time = std::chrono::milliseconds(900);
  base::Micros move_duration = std::chrono::milliseconds(1500);
  base::Micros worker_heartbeat = std::chrono::milliseconds(1500);
  base::Micros upkeep_duration = std::chrono::milliseconds(2000);
  // From the stop signal until the platform kills the process.
  base::Micros stop_grace_period = std::chrono::milliseconds(6000);
  // Limits of the callers' interface.
  std::size_t max_body = 1 << 20;  // bytes of a request's body
  http::ConnectionLimits caller_limits = {.connections = 2000};
  // The readiness and the metrics endpoint have these limits each, and the
  // callers' time limits.
  std::size_t max_monitoring_connections = 64;
  std::size_t max_monitoring_bytes = 8'000'000;
  long max_store_connections = 1024;
  // Bytes of answers that are being received, of the store and, as many again,
  // of workers, boxes and the advice service.
  std::size_t max_answers = 24'000'000;
  // A larger fleet is partitioned into shards with an owner each. With 540
  // workers, a single owner uses half a core and 57% of a day's work, weighted
  // by value, completes in time; with four owners 87% (five days with failures
  // each).
  std::size_t workers_per_owner = 200;
};

// Throws base::TextError if a key is unknown, duplicated or missing, or if its
// value is of the wrong type or out of range.
Settings ReadSettings(std::istream& in, const std::string& file);

// The deployment's capabilities as the daemon understands them, in
// human-readable lines.
std::string DescribeDeployment(const platform::Deployment& deployment);

}  // namespace quartzhoist::entry

#endif  // ENTRY_SETTINGS_H_
