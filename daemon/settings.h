// The daemon's settings, from an INI file.

#ifndef DAEMON_SETTINGS_H_
#define DAEMON_SETTINGS_H_

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace quartzhoist::daemon {

struct Settings {
  // [daemon]
  std::string id;       // unique among the entry boxes
  std::string zone;     // the availability zone
  std::string cluster;  // daemons of other clusters are not listened to
  // [listen], each "ip:port"
  std::string callers;
  std::string operators;
  std::string peers;
  // [platform]
  std::string platform;
  // [peers]
  std::vector<std::string> seeds;
  // [limits]
  std::int64_t max_request_kb = 1024;
  std::int64_t max_answer_kb = 8192;
  std::int64_t max_connections = 4096;
  std::int64_t stop_seconds = 30;    // for what is in flight at a stop
  std::int64_t unready_seconds = 3;  // not ready, still listening, before that
};

// Throws base::TextError: unknown or doubled key, wrong type, out of range,
// missing.
Settings ReadSettings(std::istream& in, const std::string& file);

}  // namespace quartzhoist::daemon

#endif  // DAEMON_SETTINGS_H_
