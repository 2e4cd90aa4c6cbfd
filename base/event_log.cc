#include "base/event_log.h"

#include <chrono>
#include <cstdio>

#include <fmt/chrono.h>

namespace quartzhoist::base {

namespace {

const EventInfo& InfoOf(Event event) {
  for (const EventInfo& info : kEvents) {
    if (info.event == event)
      return info;
  }
  return kEvents.front();
}

std::string Quoted(const std::string& value) {
  if (value.find_first_of(" \"\n\r\t=") == std::string::npos && !value.empty())
    return value;
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\')
      quoted += '\\';
    const bool control = static_cast<unsigned char>(c) < ' ';
    quoted += control ? ' ' : c;
  }
  return quoted + '"';
}

}  // namespace

std::string FormatEvent(Event event, std::initializer_list<Field> fields) {
  const EventInfo& info = InfoOf(event);
  std::string line = fmt::format(
      "{} QH{:04} {}", NameOf(kLevelNames, info.level), info.number, info.name);
  for (const Field& field : fields)
    line += fmt::format(" {}={}", field.key, Quoted(field.value));
  return line;
}

void Log(Event event, std::initializer_list<Field> fields) {
  const auto now = std::chrono::system_clock::now();
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
      now.time_since_epoch());
  // One write a line, so that two threads' lines never mix.
  const std::string line =
      fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {}\n",
                  fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                  millis.count() % 1000, FormatEvent(event, fields));
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace quartzhoist::base
