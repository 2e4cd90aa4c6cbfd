#include "daemon/settings.h"

#include <array>
#include <string_view>

#include "base/setting_values.h"
#include "base/settings_reader.h"

namespace quartzhoist::daemon {

namespace {

using base::TakeAddress;
using base::TakeIdentifier;

using Key = base::SettingKey<Settings>;

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

}  // namespace

Settings ReadSettings(std::istream& in, const std::string& file) {
  return base::ReadSettings<Settings>(in, file, kKeys,
                                      base::EmptyValue::kIsRead);
}

}  // namespace quartzhoist::daemon
