#include "scheduler/run_times.h"

namespace quartzhoist::scheduler {

namespace {

// Weight of a new sample in the exponential moving average, which then covers
// about the last ten runs.
constexpr double kSmoothingFactor = 0.1;

}  // namespace

void RunTimes::AddSample(const std::string& key, base::Micros duration) {
  const double seconds = base::Seconds(duration);
  const auto [entry, is_new] = this->mean_seconds.emplace(key, seconds);
  if (!is_new)
    entry->second += kSmoothingFactor * (seconds - entry->second);
}

base::Micros RunTimes::Estimate(const std::string& key,
                                base::Micros fallback) const {
  const auto found = this->mean_seconds.find(key);
  if (found == this->mean_seconds.end())
    return fallback;
  return base::Micros(static_cast<std::int64_t>(found->second * 1e6));
}

}  // namespace quartzhoist::scheduler
