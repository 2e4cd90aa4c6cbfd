// Settings of a daemon that takes jobs, from an INI file.

#ifndef ENTRY_SETTINGS_H_
#define ENTRY_SETTINGS_H_

#include <istream>
#include <string>

#include "base/clock.h"
#include "platform/deployment.h"

namespace quartzhoist::entry {

struct Settings {
  // [daemon]
  std::string id;    // unique among the entry boxes
  std::string zone;  // the availability zone
  // The box's share of a processor: the strongest boxes schedule.
  double cores = 0.25;
  // [listen], each "ip:port"
  std::string callers_address;
  std::string readiness_address;
  std::string metrics_address;  // empty: not served
  // [store], [boxes]
  std::string store_address;
  std::string
      advice_address;  // [advice] address; empty: there is no such service
  std::string boxes_address;  // empty: boxes are neither moved nor maintained
  // What the store, the workers and the boxes can do: keys of [store], [boxes]
  // and [limits].
  platform::Deployment deployment;
  // [limits]; the defaults are the smaller of the two users' figures
  base::Micros max_lease = std::chrono::milliseconds(6000);
  base::Micros max_stop_time = std::chrono::milliseconds(900);
  base::Micros move_duration = std::chrono::milliseconds(1500);
  base::Micros upkeep_duration = std::chrono::milliseconds(2000);
  base::Micros stop_grace_period =
      std::chrono::milliseconds(6000);  // from a stop signal
  std::int64_t max_connections = 2000;
  // A fleet with more is scheduled by several daemons, each with a shard: one
  // owner of 540 workers takes up half a core, and of a day's work, weighted by
  // its value, 57% is in time; with four owners 87% (five days with trouble
  // each).
  std::size_t workers_per_owner = 200;
};

// Throws base::TextError: unknown or doubled key, wrong type, out of range,
// missing.
Settings ReadSettings(std::istream& in, const std::string& file);

// What the daemon takes the deployment for, a line each, for people.
std::string DescribeDeployment(const platform::Deployment& deployment);

}  // namespace quartzhoist::entry

#endif  // ENTRY_SETTINGS_H_
