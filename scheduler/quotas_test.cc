// Which runs an organisation's quota lets begin.

#include <boost/test/unit_test.hpp>

#include "scheduler/quotas.h"

namespace quartzhoist::scheduler {
namespace {

jobs::Organisation Bees(const jobs::Resources& quota) {
  return {.name = "bees", .keys = {}, .jobs_per_second = 0, .quota = quota};
}

constexpr jobs::Resources kTask{.cpu_millis = 1000, .memory_mb = 100};

// Begins tasks until none may; how many.
int Fill(Quotas& quotas, const jobs::Resources& task) {
  int begun = 0;
  while (begun < 1000 && quotas.Allows("bees", task)) {
    jobs::Resources& used = quotas.UseOf("bees");
    used = used + task;
    ++begun;
  }
  return begun;
}

BOOST_AUTO_TEST_CASE(ShareOfTheQuotaIsTheLimit) {
  Quotas quotas;
  quotas.SetOrganisations({Bees({.cpu_millis = 10'000})});
  BOOST_TEST(Fill(quotas, kTask) == 0);
  quotas.SetShare("bees", 500);
  BOOST_TEST(Fill(quotas, kTask) == 5);
  // With more than half, one task more than the share.
  quotas.SetShare("bees", 750);
  BOOST_TEST(Fill(quotas, kTask) == 3);
  BOOST_TEST(quotas.Needs().at("bees").used == 800);
  // A quota that is cut far below what runs lets nothing begin.
  quotas.SetOrganisations({Bees({.cpu_millis = 2'000})});
  BOOST_TEST(Fill(quotas, kTask) == 0);
  BOOST_TEST(quotas.Needs().at("bees").used == 4000);
}

BOOST_AUTO_TEST_CASE(EveryKindIsLimitedAndWhoHasNoQuotaIsNot) {
  Quotas quotas;
  quotas.SetOrganisations(
      {Bees({.cpu_millis = 10'000, .memory_mb = 250}), {.name = "free"}});
  quotas.SetShare("bees", kWholeQuota);
  // One beyond what fits.
  BOOST_TEST(Fill(quotas, kTask) == 3);
  BOOST_TEST(quotas.Allows("free", {.cpu_millis = 1'000'000}));
  BOOST_TEST(quotas.Allows("", {.cpu_millis = 1'000'000}));
  BOOST_TEST(quotas.Needs().size() == 1U);
}

BOOST_AUTO_TEST_CASE(TaskLargerThanTheQuotaRunsAlone) {
  Quotas quotas;
  quotas.SetOrganisations({Bees({.cpu_millis = 500})});
  quotas.SetShare("bees", 500);
  BOOST_TEST(Fill(quotas, kTask) == 0);
  BOOST_TEST(quotas.Needs().at("bees").wanted >= kWholeQuota);
  quotas.SetShare("bees", kWholeQuota);
  BOOST_TEST(Fill(quotas, kTask) == 1);
}

BOOST_AUTO_TEST_CASE(WhatIsRefusedIsWantedUntilTheNextTurn) {
  Quotas quotas;
  quotas.SetOrganisations({Bees({.cpu_millis = 10'000})});
  quotas.SetShare("bees", 100);
  BOOST_TEST(quotas.Allows("bees", kTask));
  BOOST_TEST(!quotas.Allows("bees", {.cpu_millis = 3000}));
  BOOST_TEST(quotas.Needs().at("bees").wanted == 300);
  quotas.BeginTurn();
  BOOST_TEST(quotas.Needs().at("bees").wanted == 0);
}

}  // namespace
}  // namespace quartzhoist::scheduler
