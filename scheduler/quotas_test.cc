// Tests which runs an organisation's quota admits.

#include <boost/test/unit_test.hpp>

#include "scheduler/quotas.h"

namespace quartzhoist::scheduler {
namespace {

jobs::Organisation BeesWithQuota(const jobs::Resources& quota) {
  return {.name = "bees", .keys = {}, .jobs_per_second = 0, .quota = quota};
}

constexpr jobs::Resources kTask{.cpu_millis = 1000, .memory_mb = 100};

// Starts tasks until the quota refuses one. Returns how many started.
int Fill(Quotas& quotas, const jobs::Resources& task) {
  int started = 0;
  while (started < 1000 && quotas.Allows("bees", task)) {
    jobs::Resources& used = quotas.UsageOf("bees");
    used = used + task;
    ++started;
  }
  return started;
}

BOOST_AUTO_TEST_CASE(ShareOfTheQuotaIsTheLimit) {
  Quotas quotas;
  quotas.SetOrganisations({BeesWithQuota({.cpu_millis = 10'000})});
  BOOST_TEST(Fill(quotas, kTask) == 0);
  quotas.SetShare("bees", 500);
  BOOST_TEST(Fill(quotas, kTask) == 5);
  // A shard with more than half of the quota may exceed its share by one task.
  quotas.SetShare("bees", 750);
  BOOST_TEST(Fill(quotas, kTask) == 3);
  BOOST_TEST(quotas.Needs().at("bees").used == 800);
  // With the quota cut far below the current usage nothing may start.
  quotas.SetOrganisations({BeesWithQuota({.cpu_millis = 2'000})});
  BOOST_TEST(Fill(quotas, kTask) == 0);
  BOOST_TEST(quotas.Needs().at("bees").used == 4000);
}

BOOST_AUTO_TEST_CASE(EveryResourceIsLimitedOnlyByASetQuota) {
  Quotas quotas;
  quotas.SetOrganisations(
      {BeesWithQuota({.cpu_millis = 10'000, .memory_mb = 250}),
       {.name = "free"}});
  quotas.SetShare("bees", kWholeQuota);
  // Two tasks fit, and one more may exceed the quota.
  BOOST_TEST(Fill(quotas, kTask) == 3);
  BOOST_TEST(quotas.Allows("free", {.cpu_millis = 1'000'000}));
  BOOST_TEST(quotas.Allows("", {.cpu_millis = 1'000'000}));
  BOOST_TEST(quotas.Needs().size() == 1U);
}

BOOST_AUTO_TEST_CASE(TaskLargerThanTheQuotaRunsAlone) {
  Quotas quotas;
  quotas.SetOrganisations({BeesWithQuota({.cpu_millis = 500})});
  quotas.SetShare("bees", 500);
  BOOST_TEST(Fill(quotas, kTask) == 0);
  BOOST_TEST(quotas.Needs().at("bees").wanted >= kWholeQuota);
  quotas.SetShare("bees", kWholeQuota);
  BOOST_TEST(Fill(quotas, kTask) == 1);
}

BOOST_AUTO_TEST_CASE(RefusedAmountIsWantedUntilReset) {
  Quotas quotas;
  quotas.SetOrganisations({BeesWithQuota({.cpu_millis = 10'000})});
  quotas.SetShare("bees", 100);
  BOOST_TEST(quotas.Allows("bees", kTask));
  BOOST_TEST(!quotas.Allows("bees", {.cpu_millis = 3000}));
  BOOST_TEST(quotas.Needs().at("bees").wanted == 300);
  quotas.ResetRefused();
  BOOST_TEST(quotas.Needs().at("bees").wanted == 0);
}

}  // namespace
}  // namespace quartzhoist::scheduler
