#include "scheduler/run_times.h"

namespace quartzhoist::scheduler {

namespace {

// The weight of one more run: about the last ten count.
constexpr double kWeight = 0.1;

}  // namespace

void RunTimes::Learn(const std::string& kind, base::Micros took) {
  const double seconds = base::Seconds(took);
  const auto [entry, is_new] = this->mean_seconds.emplace(kind, seconds);
  if (!is_new)
    entry->second += kWeight * (seconds - entry->second);
}

base::Micros RunTimes::Expect(const std::string& kind,
                              base::Micros guess) const {
  const auto found = this->mean_seconds.find(kind);
  if (found == this->mean_seconds.end())
    return guess;
  return base::Micros(static_cast<std::int64_t>(found->second * 1e6));
}

}  // namespace quartzhoist::scheduler
