// Tests of the decision whether a job is rejected for its expected wait, and of
// the choice of a shard by such waits.

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "entry/admission.h"
#include "entry/call_limit.h"
#include "entry/ownerships.h"
#include "testing/store_bench.h"

namespace quartzhoist::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

AdmissionRequest RequestOf(const std::string& organisation = "") {
  return {.objective = seconds(1),
          .chain = milliseconds(400),
          .queue = "q",
          .organisation = organisation};
}

ShardLoad LoadWithWait(int within_rate_ms, int over_rate_ms) {
  return {.waits = {{"q",
                     {.within_rate_ms = within_rate_ms,
                      .over_rate_ms = over_rate_ms}}},
          .over_rate = {"hot"}};
}

// Guards against rejections of jobs that would be useful, and against times to
// return at that are out of bounds.
RC_BOOST_PROP(OnlyJobsThatWouldBeUselessAreRejected, ()) {
  Admission admission(*rc::gen::arbitrary<std::uint64_t>());
  AdmissionRequest request = RequestOf();
  request.objective = milliseconds(*rc::gen::inRange(0, 4'000));
  request.chain = milliseconds(*rc::gen::inRange(0, 4'000));
  request.priority = *rc::gen::inRange(0, 5);
  const int wait_ms = *rc::gen::inRange(0, 60'000);
  const auto rejection = admission.Decide(request, LoadWithWait(wait_ms, 0));
  const base::Micros excess =
      milliseconds(wait_ms) + request.chain - 3 * request.objective;
  RC_ASSERT(rejection.has_value() ==
            (request.objective.count() > 0 && excess.count() > 0));
  if (!rejection)
    return;
  const seconds least =
      std::chrono::ceil<seconds>(excess) + seconds(request.priority);
  RC_ASSERT(rejection->retry_after >= std::min(least, seconds(30)));
  RC_ASSERT(rejection->retry_after <= seconds(30));
  RC_ASSERT(rejection->retry_after <= least + excess / 2 + seconds(1));
}

// Guards against rejections by figures that are missing or outdated, of jobs
// without an objective, and of jobs that wait by their nature.
BOOST_AUTO_TEST_CASE(NobodyIsRejectedWithoutACurrentFigureOrAnObjective) {
  Admission admission(1);
  ShardLoad load = LoadWithWait(9'000, 9'000);
  BOOST_TEST(admission.Decide(RequestOf(), load).has_value());
  AdmissionRequest lasting = RequestOf();
  lasting.is_long_running = true;
  BOOST_TEST(!admission.Decide(lasting, load).has_value());
  AdmissionRequest other_queue = RequestOf();
  other_queue.queue = "other";
  BOOST_TEST(!admission.Decide(other_queue, load).has_value());
  load.is_stalled = true;
  BOOST_TEST(!admission.Decide(RequestOf(), load).has_value());
  BOOST_TEST(!admission.Decide(RequestOf(), {}).has_value());

  jobs::JobSpec job;
  job.steps.resize(2);
  job.steps[0].estimate_ms = 100;
  job.steps[1].estimate_ms = 300;
  job.steps[1].depends_on = {0};
  jobs::Queue queue;
  queue.extension = 1.5;
  queue.target_latency = milliseconds(600);
  jobs::Config config;
  config.queues = {queue, queue};
  const auto made = MakeAdmissionRequest(config, queue, job, "");
  BOOST_TEST(made.objective.count() == 1'200'000);
  BOOST_TEST(made.chain.count() == 400'000);
  BOOST_TEST(!made.is_long_running);
  job.repeat_count = 2;
  BOOST_TEST(MakeAdmissionRequest(config, queue, job, "").is_long_running);
  BOOST_TEST(IsAdmissionInForce(config));
  config.queues[1].target_latency = {};
  BOOST_TEST(!IsAdmissionInForce(config));
}

// Guards against a hot organisation whose jobs displace those of others.
BOOST_AUTO_TEST_CASE(HotOrganisationIsRejectedBeforeOthers) {
  Admission admission(1);
  const ShardLoad busy = LoadWithWait(400, 5'000);
  const auto hot = admission.Decide(RequestOf("hot"), busy);
  BOOST_REQUIRE(hot.has_value());
  BOOST_TEST(hot->status == 429);
  BOOST_TEST(hot->reason == "over the organisation's rate");
  BOOST_TEST(!admission.Decide(RequestOf("other"), busy).has_value());
  const auto other =
      admission.Decide(RequestOf("other"), LoadWithWait(5'000, 9'000));
  BOOST_REQUIRE(other.has_value());
  BOOST_TEST(other->status == 503);
  BOOST_TEST(other->reason == "cannot be done in time");
}

// Guards against callers that are rejected together and return together, the
// urgent ones among the others.
BOOST_AUTO_TEST_CASE(RejectedCallersReturnSpreadAndUrgentOnesFirst) {
  Admission admission(1);
  const ShardLoad load = LoadWithWait(14'600, 0);  // 12 s too long
  std::set<seconds> urgent;
  std::set<seconds> other;
  AdmissionRequest request = RequestOf();
  for (int i = 0; i < 200; ++i) {
    request.priority = 0;
    urgent.insert(admission.Decide(request, load)->retry_after);
    request.priority = 7;
    other.insert(admission.Decide(request, load)->retry_after);
  }
  BOOST_CHECK(*urgent.begin() >= seconds(12) &&
              *urgent.rbegin() <= seconds(18));
  BOOST_TEST(urgent.size() >= 5U);
  BOOST_CHECK(*other.begin() > *urgent.rbegin());
}

// Guards against rejections while another shard has free capacity.
BOOST_AUTO_TEST_CASE(JobsGoToAShardWhereTheyAreInTime) {
  jobs::Queue queue;
  queue.name = "q";
  queue.service = "a";
  queue.target_latency = seconds(1);
  jobs::Config config;
  config.queues = {queue, queue};
  jobs::JobSpec job;
  job.steps.resize(1);
  ShardSelector selector(1);
  const auto shards_used = [&](int first_ms, int second_ms,
                               const std::string& organisation) {
    std::vector<ShardLoad> loads = {LoadWithWait(first_ms, 2 * first_ms),
                                    LoadWithWait(second_ms, 2 * second_ms)};
    // By load alone the first shard would be chosen.
    loads[0].load_percent_by_pool["a"] = 100;
    loads[1].load_percent_by_pool["a"] = 300;
    std::set<int> used;
    for (int i = 0; i < 20; ++i)
      used.insert(
          selector.Select(config, queue, job, {0, 1}, loads, organisation));
    return used;
  };
  BOOST_TEST((shards_used(2'000, 900, "") == std::set<int>{1}));
  BOOST_TEST((shards_used(2'000, 900, "hot") == std::set<int>{1}));
  BOOST_TEST((shards_used(4'000, 2'000, "") == std::set<int>{1}));
  BOOST_TEST((shards_used(900, 800, "") == std::set<int>{0}));
  BOOST_TEST((shards_used(8'000, 9'000, "") == std::set<int>{0}));
  config.queues.pop_back();
  BOOST_TEST((shards_used(2'000, 900, "") == std::set<int>{0}));
}

// Guards against reads that grow with the load.
BOOST_AUTO_TEST_CASE(CallsAreLimitedInAnySecond) {
  CallLimit limit(100);
  int taken = 0;
  for (int ms = 0; ms < 3'000; ms += 2)
    taken += limit.Take(milliseconds(ms));
  BOOST_TEST(taken == 300);
  BOOST_TEST(!CallLimit(0).Take(seconds(1)));
}

// Guards against a job called rejected whose row appears after the read.
BOOST_AUTO_TEST_CASE(UnknownOutcomesAreRememberedForTenSeconds) {
  UnknownOutcomes outcomes;
  outcomes.Add("a", seconds(100));
  outcomes.Add("b", seconds(109));
  BOOST_TEST(outcomes.MayContain("a", seconds(109)));
  BOOST_TEST(outcomes.MayContain("b", seconds(119)));
  BOOST_TEST(!outcomes.MayContain("c", seconds(119)));
  BOOST_TEST(!outcomes.MayContain("b", seconds(140)));
  for (int i = 0; i < 6'000; ++i)
    outcomes.Add(std::to_string(i), seconds(140));
  BOOST_TEST(outcomes.MayContain("5999", seconds(140)));
}

// Guards against rejections in the first second of a new owner, by the figures
// of the one before, and by figures of an owner that cannot reach the store.
BOOST_AUTO_TEST_CASE(WaitsAreUnknownAfterATakeoverAndAnOutage) {
  testing::StoreBench bench;
  const Ownerships::Events events{
      .on_gained = [](int, std::uint64_t, base::Micros) {},
      .on_lost = [](int) {},
      .on_renewed = [](int, base::Micros) {},
      .load = [](int) { return ShardLoad(); },
      .on_store_answered = [] {}};
  Ownerships first(bench.loop, bench.store, "a", 1.0, 1, 1, events);
  const auto knows_waits = [](Ownerships& daemon) {
    return daemon.At(0).has_current_waits(base::MonotonicNow());
  };
  const auto expect_unknown_for_a_second = [&](Ownerships& daemon) {
    BOOST_TEST(!knows_waits(daemon));
    const base::Micros begun = base::MonotonicNow();
    BOOST_TEST(bench.Within(seconds(10), [&] { return knows_waits(daemon); }));
    BOOST_CHECK(base::MonotonicNow() - begun >= milliseconds(900));
  };
  BOOST_TEST(!knows_waits(first));
  bench.Until([&] { return first.At(0).holds(); });
  expect_unknown_for_a_second(first);
  Ownerships second(bench.loop, bench.store, "b", 1.0, 1, 2, events);
  bench.Until([&] { return second.At(0).holder() == "a"; });
  expect_unknown_for_a_second(second);
  first.Release();
  bench.Until([&] { return second.At(0).holds(); });
  expect_unknown_for_a_second(second);
  bench.standin.SetMood(testing::StoreStandin::Mood::kBusy);
  BOOST_TEST(bench.Within(seconds(10), [&] { return !knows_waits(second); }));
}

// --- Four pools that peak in turn ---

struct Shares {
  double on_time = 0.0;  // of the jobs that callers have
  double useful = 0.0;
};

// Each pool serves 50 jobs a second in the order of their acceptance. At its
// peak of 4.5 s it is asked for 100 a second, else for 1. The waits are
// reported every 0.45 s. A caller that is rejected returns when it is told to.
// Simplified: boxes do not move, and runs take no longer than estimated.
Shares PlayPeaks(bool with_admission) {
  constexpr int kPools = 4;
  constexpr milliseconds kTick{10};
  constexpr milliseconds kPeak{4'500};
  const base::Micros end = 6 * kPools * kPeak;
  struct Pool {
    std::deque<base::Micros> accepted;
    std::deque<base::Micros> returns;  // of rejected callers
    double due_jobs = 0.0;
    double served = 0.0;
    ShardLoad load;
  };
  std::array<Pool, kPools> pools;
  Admission admission(7);
  const AdmissionRequest request = RequestOf();
  Shares shares;
  int jobs = 0;
  for (base::Micros now{}; now < end + seconds(60); now += kTick) {
    for (int number = 0; number < kPools; ++number) {
      Pool& pool = pools[static_cast<std::size_t>(number)];
      const bool is_peak = now / kPeak % kPools == number;
      if (now < end)
        pool.due_jobs += (is_peak ? 100.0 : 1.0) * base::Seconds(kTick);
      if (now % milliseconds(450) == base::Micros::zero())
        pool.load =
            LoadWithWait(static_cast<int>(pool.accepted.size()) * 1000 / 50, 0);
      std::vector<base::Micros> callers;
      for (; pool.due_jobs >= 1.0; pool.due_jobs -= 1.0, ++jobs)
        callers.push_back(now);
      std::erase_if(pool.returns, [&](base::Micros at) {
        if (at <= now)
          callers.push_back(now);
        return at <= now;
      });
      for (const base::Micros caller : callers) {
        const auto rejection = with_admission
                                   ? admission.Decide(request, pool.load)
                                   : std::nullopt;
        if (rejection)
          pool.returns.push_back(now + rejection->retry_after);
        else
          pool.accepted.push_back(caller);
      }
      pool.served = std::min(1.0, pool.served + 50 * base::Seconds(kTick));
      for (; pool.served >= 1.0 && !pool.accepted.empty(); pool.served -= 1.0) {
        const base::Micros took = now - pool.accepted.front() + request.chain;
        shares.on_time += took <= request.objective;
        shares.useful += took <= 3 * request.objective;
        pool.accepted.pop_front();
      }
    }
  }
  return {.on_time = shares.on_time / jobs, .useful = shares.useful / jobs};
}

// Guards against admission that rejects so late, or tells callers to return so
// early, that work is still done for nobody.
BOOST_AUTO_TEST_CASE(AdmissionRaisesTheShareOfUsefulJobsWhenPoolsPeakInTurn) {
  const Shares without = PlayPeaks(false);
  const Shares with = PlayPeaks(true);
  BOOST_TEST_MESSAGE("on time " << without.on_time << " without, "
                                << with.on_time << " with; useful "
                                << without.useful << " without, " << with.useful
                                << " with admission");
  BOOST_TEST(with.useful > without.useful + 0.1);
  BOOST_TEST(with.on_time >= without.on_time);
}

}  // namespace
}  // namespace quartzhoist::entry
