#include "daemon/settings.h"

#include <array>
#include <set>
#include <string_view>

#include <fmt/format.h>

#include "base/ini_file.h"
#include "base/setting_values.h"

namespace quartzhoist::daemon {

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

std::vector<std::string> TakeAddresses(const std::string& value) {
  std::vector<std::string> addresses;
  std::string_view rest = value;
  while (!rest.empty()) {
    const std::size_t comma = rest.find(',');
    std::string_view one = rest.substr(0, comma);
    while (!one.empty() && one.front() == ' ')
      one.remove_prefix(1);
    while (!one.empty() && one.back() == ' ')
      one.remove_suffix(1);
    addresses.push_back(TakeAddress(std::string(one)));
    rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
  }
  return addresses;
}

template <std::int64_t Min, std::int64_t Max>
std::int64_t TakeWhole(const std::string& value) {
  return base::TakeWhole(value, Min, Max);
}

constexpr std::array<Key, 13> kKeys{{
    {"daemon", "id", true,
     [](Settings& s, const std::string& v) { s.id = TakeIdentifier(v); }},
    {"daemon", "zone", true,
     [](Settings& s, const std::string& v) { s.zone = TakeIdentifier(v); }},
    {"daemon", "cluster", true,
     [](Settings& s, const std::string& v) { s.cluster = TakeIdentifier(v); }},
    {"listen", "callers", true,
     [](Settings& s, const std::string& v) { s.callers = TakeAddress(v); }},
    {"listen", "operators", true,
     [](Settings& s, const std::string& v) { s.operators = TakeAddress(v); }},
    {"listen", "peers", true,
     [](Settings& s, const std::string& v) { s.peers = TakeAddress(v); }},
    {"platform", "address", true,
     [](Settings& s, const std::string& v) { s.platform = TakeAddress(v); }},
    {"peers", "seeds", false,
     [](Settings& s, const std::string& v) { s.seeds = TakeAddresses(v); }},
    {"limits", "max_request_kb", false,
     [](Settings& s, const std::string& v) {
       s.max_request_kb = TakeWhole<1, 65'536>(v);
     }},
    {"limits", "max_answer_kb", false,
     [](Settings& s, const std::string& v) {
       s.max_answer_kb = TakeWhole<1, 262'144>(v);
     }},
    {"limits", "max_connections", false,
     [](Settings& s, const std::string& v) {
       s.max_connections = TakeWhole<8, 65'536>(v);
     }},
    {"limits", "stop_seconds", false,
     [](Settings& s, const std::string& v) {
       s.stop_seconds = TakeWhole<1, 3600>(v);
     }},
    {"limits", "unready_seconds", false,
     [](Settings& s, const std::string& v) {
       s.unready_seconds = TakeWhole<0, 600>(v);
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

}  // namespace quartzhoist::daemon
