// Tests of the size of an owner row, which is rewritten with each renewal.

#include <algorithm>
#include <cstddef>
#include <string>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "base/clock.h"
#include "entry/renewal_schedule.h"
#include "entry/tables.h"
#include "platform/base64.h"

namespace quartzhoist::entry {
namespace {

// Row of a shard of ten pools, as it grows in production.
OwnerRecord LargeRecord() {
  OwnerRecord record{.holder = "entry-box-of-zone-4-585",
                     .incarnation = "4f1c22d09a7be613",
                     .epoch = 1'000'000,
                     .beat = 100'000'000,
                     .cores = 0.25,
                     .successor = "entry-box-of-zone-4-584",
                     .load = {.box_kinds = {"a", "b", "c", "a,b"}},
                     .renewed_store_ms = 1'790'000'000'000};
  for (int i = 0; i < 10; ++i) {
    const std::string pool = "pool-" + std::to_string(i);
    record.load.load_percent_by_pool[pool] = 10'000;
    record.load.free_cores_by_pool[pool] = 10'000;
  }
  return record;
}

// Guards against an overload whose reports take more than a daemon may use for
// control. Names are of any length and may need escapes; a row that is read
// must be the one that was written.
RC_BOOST_PROP(OwnerRowStaysWithinItsBytesPerSecond, ()) {
  constexpr std::size_t kMaxRowBytes = 1536;
  constexpr double kMaxBytesPerSecond = 7000.0;
  OwnerRecord record = LargeRecord();
  const int count = *rc::gen::inRange(0, 300);
  const auto name_length = *rc::gen::inRange(1, 60);
  const char filler = *rc::gen::element('a', '"', '\\');
  int longest_ms = 0;
  for (int i = 0; i < count; ++i) {
    std::string name(static_cast<std::size_t>(name_length), filler);
    name += std::to_string(i);
    const int wait_ms = *rc::gen::inRange(250, 3'600'000);
    longest_ms = std::max(longest_ms, wait_ms);
    record.load.waits[name] = {.within_rate_ms = wait_ms,
                               .over_rate_ms = wait_ms};
    record.load.over_rate.push_back(name);
  }
  const std::string row = EncodeOwner(record);
  RC_ASSERT(row.size() <= kMaxRowBytes);
  const double rows_per_second = 1.0 / base::Seconds(kRenewalPeriod);
  RC_ASSERT(rows_per_second *
                static_cast<double>(platform::Base64Length(row.size())) <
            kMaxBytesPerSecond);

  const auto decoded = DecodeOwner(row);
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(decoded->load.waits.empty() == (count == 0));
  RC_ASSERT(decoded->load.over_rate.empty() == (count == 0));
  int read_ms = 0;
  for (const auto& [queue, wait] : decoded->load.waits) {
    RC_ASSERT(wait == record.load.waits.at(queue));
    read_ms = std::max(read_ms, wait.over_rate_ms);
  }
  RC_ASSERT(read_ms == longest_ms);
}

// Guards against a reader that takes the longer rows of earlier versions for
// malformed ones.
BOOST_AUTO_TEST_CASE(OwnerRowOfAnEarlierVersionIsRead) {
  std::string waits;
  for (int i = 0; i < 64; ++i)
    waits += (i == 0 ? "" : ",") + std::string("\"name-of-twenty-chars-") +
             std::to_string(i) + "\":[1000,2000]";
  std::string over_rate;
  for (int i = 0; i < 32; ++i)
    over_rate += (i == 0 ? "" : ",") + std::string("\"name-of-twenty-chars-") +
                 std::to_string(i) + "\"";
  const auto decoded = DecodeOwner(
      R"({"holder":"x","incarnation":"y","epoch":7,"beat":1,"waits":{)" +
      waits + R"(},"over_rate":[)" + over_rate + "]}");
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->load.waits.size() == 64U);
  BOOST_TEST(decoded->load.over_rate.size() == 32U);
}

}  // namespace
}  // namespace quartzhoist::entry
