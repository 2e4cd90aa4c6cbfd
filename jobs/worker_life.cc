#include "jobs/worker_life.h"

#include <charconv>

#include <fmt/format.h>

namespace quartzhoist::jobs {

bool IsOtherLife(const WorkerLife& before, const WorkerLife& seen) {
  const bool starts_differ =
      before.born_ms > 0 && seen.born_ms > 0 && before.born_ms != seen.born_ms;
  return before.id != seen.id || starts_differ;
}

std::string TextOf(const WorkerLife& life) {
  return fmt::format("{}@{}", life.id, life.born_ms);
}

WorkerLife ParseWorkerLife(std::string_view text) {
  const std::size_t at = text.rfind('@');
  if (at == std::string_view::npos)
    return {.id = std::string(text)};
  WorkerLife life{.id = std::string(text.substr(0, at))};
  const char* const end = text.data() + text.size();
  const auto [rest, error] =
      std::from_chars(text.data() + at + 1, end, life.born_ms);
  if (error != std::errc() || rest != end)
    return {.id = std::string(text)};
  return life;
}

}  // namespace quartzhoist::jobs
