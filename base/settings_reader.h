// Fills settings from an INI file by a table of keys.

#ifndef BASE_SETTINGS_READER_H_
#define BASE_SETTINGS_READER_H_

#include <istream>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "base/ini_file.h"

namespace quartzhoist::base {

// Reads one key; `take` throws a text that says what would fit.
template <typename Settings>
struct SettingKey {
  std::string_view section;
  std::string_view name;
  bool required = false;
  void (*take)(Settings& settings, const std::string& value) = nullptr;

  std::string FullName() const {
    return fmt::format("[{}] {}", this->section, this->name);
  }
};

// Meaning of an optional key without a value.
enum class EmptyValue { kIsRead, kIsLeftOut };

// The key of the entry; throws TextError if there is none.
template <typename Settings>
const SettingKey<Settings>& FindKey(std::span<const SettingKey<Settings>> keys,
                                    const IniEntry& entry,
                                    const std::string& file) {
  for (const SettingKey<Settings>& key : keys) {
    if (key.section == entry.section && key.name == entry.key)
      return key;
  }
  throw TextError(file, entry.line,
                  fmt::format("[{}] {}", entry.section, entry.key),
                  "there is no such key");
}

// Throws TextError: unknown or doubled key, wrong type, out of range, missing.
template <typename Settings>
Settings ReadSettings(std::istream& in,
                      const std::string& file,
                      std::span<const SettingKey<Settings>> keys,
                      EmptyValue empty) {
  Settings settings;
  std::set<const SettingKey<Settings>*> seen;
  for (const IniEntry& entry : ReadIni(in, file)) {
    const SettingKey<Settings>& key = FindKey(keys, entry, file);
    if (!seen.insert(&key).second)
      throw TextError(file, entry.line, key.FullName(), "the key stands twice");
    const bool left_out =
        entry.value.empty() && !key.required && empty == EmptyValue::kIsLeftOut;
    if (left_out)
      continue;
    try {
      key.take(settings, entry.value);
    } catch (const std::string& problem) {
      throw TextError(file, entry.line, key.FullName(), problem);
    }
  }
  for (const SettingKey<Settings>& key : keys) {
    if (key.required && !seen.contains(&key))
      throw TextError(file, 0, key.FullName(), "the key is missing");
  }
  return settings;
}

}  // namespace quartzhoist::base

#endif  // BASE_SETTINGS_READER_H_
