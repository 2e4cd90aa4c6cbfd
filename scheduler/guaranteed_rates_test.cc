// Tests which jobs are within an organisation's guaranteed rate.

#include <string>
#include <vector>

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

// An organisation that keeps to its rate must not be taken for one that exceeds
// it just because its bucket is empty, and one that exceeded it must not stay
// on the list once its bucket has been refilled.
BOOST_AUTO_TEST_CASE(OnlyOrganisationsBeyondTheirRateAreOver) {
  GuaranteedRates rates(4);
  rates.SetOrganisations({{.name = "ants", .keys = {}, .jobs_per_second = 4},
                          {.name = "bees", .keys = {}, .jobs_per_second = 4},
                          {.name = "wasps", .keys = {}, .jobs_per_second = 4},
                          {.name = "free"}});
  CountWithinRate(rates, "ants", 2, seconds(1));
  CountWithinRate(rates, "bees", 3, seconds(1));
  CountWithinRate(rates, "wasps", 3, seconds(1) + milliseconds(1));
  CountWithinRate(rates, "free", 50, seconds(1));
  const std::vector<std::string> latest_first{"wasps", "bees"};
  BOOST_TEST(rates.OverRate(seconds(1) + milliseconds(2)) == latest_first,
             boost::test_tools::per_element());
  BOOST_TEST(rates.OverRate(seconds(3)).empty());
  // Within the rate again: the bucket is emptied, but not exceeded.
  CountWithinRate(rates, "bees", 2, seconds(10));
  BOOST_TEST(rates.OverRate(seconds(10)).empty());
}

}  // namespace
}  // namespace quartzhoist::scheduler
