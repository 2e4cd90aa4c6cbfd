// What an organisation is due when there is not enough for all.

#include <boost/test/unit_test.hpp>

#include "scheduler/due_shares.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

int Due(DueShares& shares,
        const char* organisation,
        int jobs,
        base::Micros now) {
  int due = 0;
  for (int i = 0; i < jobs; ++i)
    due += shares.Take(organisation, now);
  return due;
}

BOOST_AUTO_TEST_CASE(FloodIsDueItsRateAndABurst) {
  DueShares shares(2);
  shares.SetOrganisations(
      {{.name = "bees", .keys = {}, .jobs_per_second = 20}});
  // Of 20 jobs a second one of two shards counts 10.
  BOOST_TEST(Due(shares, "bees", 100, seconds(1)) == 20);
  BOOST_TEST(Due(shares, "bees", 100, seconds(1) + milliseconds(500)) == 5);
  BOOST_TEST(Due(shares, "bees", 100, seconds(60)) == 20);
}

BOOST_AUTO_TEST_CASE(WhoHasNoRateIsDueAll) {
  DueShares shares(1);
  shares.SetOrganisations({{.name = "free"}});
  BOOST_TEST(Due(shares, "free", 50, seconds(1)) == 50);
  BOOST_TEST(Due(shares, "", 50, seconds(1)) == 50);
}

}  // namespace
}  // namespace quartzhoist::scheduler
