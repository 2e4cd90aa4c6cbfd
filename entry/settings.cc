#include "entry/settings.h"

#include <array>
#include <set>
#include <string_view>

#include <fmt/format.h>

#include "base/ini_file.h"
#include "base/setting_values.h"

namespace quartzhoist::entry {

namespace {

using base::TakeAddress;
using base::TakeIdentifier;

// How one key is read; `take` throws a text that says what would fit.
struct Key {
  std::string_view section;
  std::string_view name;
  bool required;
  void (*take)(Settings& settings, const std::string& value);
};

base::Micros TakeMillis(const std::string& value) {
  return std::chrono::milliseconds(base::TakeWhole(value, 1, 600'000));
}

base::Micros TakeSpan(const std::string& value) {
  return base::TakeSeconds(value, 0.001, 3600.0);
}

constexpr std::array<Key, 16> kKeys{{
    {"daemon", "id", true,
     [](Settings& s, const std::string& v) { s.id = TakeIdentifier(v); }},
    {"daemon", "zone", true,
     [](Settings& s, const std::string& v) { s.zone = TakeIdentifier(v); }},
    {"daemon", "cores", false,
     [](Settings& s, const std::string& v) {
       s.cores = base::TakeNumber(v, 0.001, 1024.0);
     }},
    {"listen", "callers", true,
     [](Settings& s, const std::string& v) { s.callers = TakeAddress(v); }},
    {"listen", "readiness", true,
     [](Settings& s, const std::string& v) { s.readiness = TakeAddress(v); }},
    {"listen", "metrics", false,
     [](Settings& s, const std::string& v) { s.metrics = TakeAddress(v); }},
    {"store", "address", true,
     [](Settings& s, const std::string& v) { s.store = TakeAddress(v); }},
    {"boxes", "address", false,
     [](Settings& s, const std::string& v) { s.boxes = TakeAddress(v); }},
    {"advice", "address", false,
     [](Settings& s, const std::string& v) { s.advice = TakeAddress(v); }},
    {"limits", "longest_lease_ms", false,
     [](Settings& s, const std::string& v) {
       s.longest_lease = TakeMillis(v);
     }},
    {"limits", "stop_ms", false,
     [](Settings& s, const std::string& v) { s.stop_time = TakeMillis(v); }},
    {"limits", "gang_wait_ms", false,
     [](Settings& s, const std::string& v) { s.gang_wait = TakeMillis(v); }},
    {"limits", "move_seconds", false,
     [](Settings& s, const std::string& v) { s.move_time = TakeSpan(v); }},
    {"limits", "upkeep_seconds", false,
     [](Settings& s, const std::string& v) { s.upkeep_time = TakeSpan(v); }},
    {"limits", "grace_seconds", false,
     [](Settings& s, const std::string& v) { s.grace = TakeSpan(v); }},
    {"limits", "max_connections", false,
     [](Settings& s, const std::string& v) {
       s.max_connections = base::TakeWhole(v, 8, 65'536);
     }},
}};

std::string FullName(std::string_view section, std::string_view name) {
  return fmt::format("[{}] {}", section, name);
}

const Key& FindKey(const base::IniEntry& entry, const std::string& file) {
  for (const Key& key : kKeys) {
    if (key.section == entry.section && key.name == entry.key)
      return key;
  }
  throw base::TextError(file, entry.line, FullName(entry.section, entry.key),
                        "there is no such key");
}

}  // namespace

Settings ReadSettings(std::istream& in, const std::string& file) {
  Settings settings;
  std::set<const Key*> seen;
  for (const base::IniEntry& entry : base::ReadIni(in, file)) {
    const Key& key = FindKey(entry, file);
    const std::string name = FullName(entry.section, entry.key);
    if (!seen.insert(&key).second)
      throw base::TextError(file, entry.line, name, "the key stands twice");
    // What the platform does not know for an optional key, it leaves empty.
    if (entry.value.empty() && !key.required)
      continue;
    try {
      key.take(settings, entry.value);
    } catch (const std::string& problem) {
      throw base::TextError(file, entry.line, name, problem);
    }
  }
  for (const Key& key : kKeys) {
    if (key.required && !seen.contains(&key))
      throw base::TextError(file, 0, FullName(key.section, key.name),
                            "the key is missing");
  }
  return settings;
}

}  // namespace quartzhoist::entry
