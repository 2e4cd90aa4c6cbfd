#include "jobs/worker_incarnation.h"

#include <charconv>

#include <fmt/format.h>

namespace quartzhoist::jobs {

bool IsDifferentIncarnation(const WorkerIncarnation& before,
                            const WorkerIncarnation& seen) {
  const bool starts_differ = before.start_ms > 0 && seen.start_ms > 0 &&
                             before.start_ms != seen.start_ms;
  return before.id != seen.id || starts_differ;
}

std::string FormatWorkerIncarnation(const WorkerIncarnation& life) {
  return fmt::format("{}@{}", life.id, life.start_ms);
}

WorkerIncarnation ParseWorkerIncarnation(std::string_view text) {
  const std::size_t at = text.rfind('@');
  if (at == std::string_view::npos)
    return {.id = std::string(text)};
  WorkerIncarnation life{.id = std::string(text.substr(0, at))};
  const char* const end = text.data() + text.size();
  const auto [rest, error] =
      std::from_chars(text.data() + at + 1, end, life.start_ms);
  if (error != std::errc() || rest != end)
    return {.id = std::string(text)};
  return life;
}

}  // namespace quartzhoist::jobs
