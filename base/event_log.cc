#include "base/event_log.h"

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <mutex>

#include <fmt/chrono.h>

#include "base/clock.h"
#include "base/line_writer.h"

namespace quartzhoist::base {

namespace {

// Longer values are cut, so that a line stays within kLongestLine.
constexpr std::size_t kLongestValue = 600;

std::size_t IndexOf(Event event) {
  for (std::size_t i = 0; i < kEvents.size(); ++i) {
    if (kEvents[i].event == event)
      return i;
  }
  return 0;
}

void AppendEscaped(std::string& line, std::string_view text) {
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      line += '\\';
      line += c;
    } else if (byte < 0x20 || byte >= 0x7f) {
      // Bytes beyond ASCII may be no valid text: their numbers are shown.
      line += fmt::format("\\u{:04x}", byte);
    } else {
      line += c;
    }
  }
}

std::string Line(Event event, std::initializer_list<Field> fields) {
  const auto now = std::chrono::system_clock::now();
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
      now.time_since_epoch());
  return fmt::format("{{\"time\":\"{:%Y-%m-%dT%H:%M:%S}.{:03}Z\",{}\n",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                     millis.count() % 1000,
                     FormatEvent(event, fields).substr(1));
}

// State shared by both tasks.
struct Output {
  std::mutex lock;
  LineBudget<kEvents.size()> budget;
  std::atomic<std::uint64_t> left_out{0};
};

Output& TheOutput() {
  static Output output;
  return output;
}

}  // namespace

std::string FormatEvent(Event event, std::initializer_list<Field> fields) {
  const EventInfo& info = kEvents[IndexOf(event)];
  std::string line =
      fmt::format(R"({{"level":"{}","id":"QH{:04}","event":"{}")",
                  NameOf(kLevelNames, info.level), info.number, info.name);
  for (const Field& field : fields) {
    line += fmt::format(",\"{}\":", field.key);
    if (!field.is_text) {
      line += field.value;
      continue;
    }
    line += '"';
    AppendEscaped(line, std::string_view(field.value).substr(0, kLongestValue));
    line += '"';
  }
  return line + '}';
}

void Log(Event event, std::initializer_list<Field> fields) {
  Output& output = TheOutput();
  const std::lock_guard<std::mutex> guard(output.lock);
  const std::size_t kind = IndexOf(event);
  const Micros now = MonotonicNow();
  const std::uint64_t missed = output.budget.TakeLeftOut(kind, now);
  if (missed > 0) {
    WriteLine(STDOUT_FILENO,
              Line(Event::kLinesLeftOut,
                   {{"of", kEvents[kind].name}, {"count", missed}}));
  }
  const bool written = output.budget.Take(kind, now) &&
                       WriteLine(STDOUT_FILENO, Line(event, fields));
  if (!written)
    output.left_out.fetch_add(1, std::memory_order_relaxed);
}

std::uint64_t LinesLeftOut() {
  return TheOutput().left_out.load(std::memory_order_relaxed);
}

}  // namespace quartzhoist::base
