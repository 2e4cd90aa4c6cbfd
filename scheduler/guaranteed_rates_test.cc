// Tests which jobs are within an organisation's guaranteed rate.

#include <boost/test/unit_test.hpp>

#include "scheduler/guaranteed_rates.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

int CountWithinRate(GuaranteedRates& rates,
                    const char* organisation,
                    int jobs,
                    base::Micros now) {
  int within_rate = 0;
  for (int i = 0; i < jobs; ++i)
    within_rate += rates.Consume(organisation, now);
  return within_rate;
}

BOOST_AUTO_TEST_CASE(JobsWithinTheRateAndABurstAreGuaranteed) {
  GuaranteedRates rates(2);
  rates.SetOrganisations({{.name = "bees", .keys = {}, .jobs_per_second = 20}});
  // Each of the two shards grants 10 of the 20 jobs per second.
  BOOST_TEST(CountWithinRate(rates, "bees", 100, seconds(1)) == 20);
  BOOST_TEST(
      CountWithinRate(rates, "bees", 100, seconds(1) + milliseconds(500)) == 5);
  BOOST_TEST(CountWithinRate(rates, "bees", 100, seconds(60)) == 20);
}

BOOST_AUTO_TEST_CASE(OrganisationWithoutARateIsNotLimited) {
  GuaranteedRates rates(1);
  rates.SetOrganisations({{.name = "free"}});
  BOOST_TEST(CountWithinRate(rates, "free", 50, seconds(1)) == 50);
  BOOST_TEST(CountWithinRate(rates, "", 50, seconds(1)) == 50);
}

}  // namespace
}  // namespace quartzhoist::scheduler
