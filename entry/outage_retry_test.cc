// `Retry-After` during an outage of the store.

#include <chrono>
#include <cstdint>
#include <random>
#include <set>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "entry/outage_retry.h"

namespace quartzhoist::entry {
namespace {

using std::chrono::milliseconds;

// Guards against callers that return at the same time, and against values that
// are no whole seconds from 1 to 30.
RC_BOOST_PROP(RetryAfterGrowsWithTheOutage, (std::uint32_t seed)) {
  std::mt19937_64 random(seed);
  const auto draws = [&random](base::Micros outage) {
    std::set<std::int64_t> seconds;
    for (int i = 0; i < 60; ++i)
      seconds.insert(OutageRetryAfter(outage, random).count());
    return seconds;
  };
  const std::set<std::int64_t> longest{1, 2, 3};
  RC_ASSERT(draws(base::Micros::zero()) == std::set<std::int64_t>{1});
  RC_ASSERT(*draws(milliseconds(900)).rbegin() <= 2);
  RC_ASSERT(draws(std::chrono::seconds(2)) == longest);
  RC_ASSERT(draws(std::chrono::hours(1)) == longest);
}

}  // namespace
}  // namespace quartzhoist::entry
