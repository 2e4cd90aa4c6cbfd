#include "base/ini_file.h"

#include <cstring>

#include <fmt/format.h>
#include <ini.h>

namespace quartzhoist::base {

namespace {

std::string Describe(const std::string& file,
                     int line,
                     const std::string& key,
                     const std::string& problem) {
  std::string where = file;
  if (line > 0)
    where += fmt::format(":{}", line);
  if (!key.empty())
    where += fmt::format(": {}", key);
  return fmt::format("{}: {}", where, problem);
}

// The library's handler is not told the line, so the reader counts it: the
// handler runs right after the line was read.
struct Reading {
  std::istream& in;
  std::vector<IniEntry> entries;
  int line = 0;
  int too_long = 0;
};

char* ReadLine(char* buffer, int capacity, void* stream) {
  auto* reading = static_cast<Reading*>(stream);
  std::string text;
  if (!std::getline(reading->in, text))
    return nullptr;
  ++reading->line;
  if (text.size() + 2 > static_cast<std::size_t>(capacity)) {
    reading->too_long = reading->line;
    return nullptr;
  }
  std::memcpy(buffer, text.c_str(), text.size() + 1);
  return buffer;
}

int KeepEntry(void* user,
              const char* section,
              const char* key,
              const char* value) {
  auto* reading = static_cast<Reading*>(user);
  reading->entries.push_back(
      {.section = section, .key = key, .value = value, .line = reading->line});
  return 1;
}

}  // namespace

TextError::TextError(const std::string& file,
                     int line,
                     const std::string& key,
                     const std::string& problem)
    : std::runtime_error(Describe(file, line, key, problem)) {}

std::vector<IniEntry> ReadIni(std::istream& in, const std::string& file) {
  Reading reading{.in = in, .entries = {}};
  const int bad_line =
      ini_parse_stream(ReadLine, &reading, KeepEntry, &reading);
  if (reading.too_long > 0)
    throw TextError(file, reading.too_long, "", "the line is too long");
  if (bad_line > 0)
    throw TextError(file, bad_line, "", "neither [section] nor key = value");
  return std::move(reading.entries);
}

}  // namespace quartzhoist::base
