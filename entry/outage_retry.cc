#include "entry/outage_retry.h"

#include <algorithm>

namespace quartzhoist::entry {

namespace {

constexpr std::chrono::seconds kShortestRetry(1);
// Outages end within seconds, and a daemon accepts jobs again within half a
// second of the end: a caller that stays away for longer loses time.
constexpr base::Micros kLongestSpread = std::chrono::seconds(2);

}  // namespace

// In whole seconds, one of the bound and a second more, rounded down, so that
// each whole second up to the bound is equally likely.
std::chrono::seconds OutageRetryAfter(base::Micros outage,
                                      std::mt19937_64& random) {
  const base::Micros bound =
      std::clamp(outage, base::Micros::zero(), kLongestSpread);
  std::uniform_int_distribution<base::Micros::rep> draw(
      0, (bound + std::chrono::seconds(1)).count() - 1);
  const base::Micros spread(draw(random));
  return kShortestRetry +
         std::chrono::duration_cast<std::chrono::seconds>(spread);
}

}  // namespace quartzhoist::entry
