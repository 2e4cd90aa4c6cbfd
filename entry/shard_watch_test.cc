// Tests of how the daemons of a large fleet watch the owners of its shards.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "entry/ownerships.h"
#include "entry/shard_watch.h"
#include "entry/tables.h"
#include "testing/store_bench.h"

namespace quartzhoist::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::StoreBench;

constexpr double kWeakCores = 0.12;
constexpr double kStrongCores = 1.0;

std::string DaemonId(int number) {
  return "entry-" + std::to_string(number);
}

// --- Which shards a daemon watches ---

BOOST_AUTO_TEST_CASE(WatchedShardsDoNotGrowWithShards) {
  for (const int shards : {8, 16, 64}) {
    BOOST_TEST(ShardWatch("a", kWeakCores, shards, 1).home().size() == 1U);
    BOOST_TEST(ShardWatch("a", kStrongCores, shards, 1).home().size() == 3U);
  }
}

// Each shard needs a strong daemon that takes it over, at the size of the fleet
// and at twice that size.
BOOST_AUTO_TEST_CASE(EachShardIsWatchedByStrongAndWeakDaemons) {
  for (const int scale : {1, 2}) {
    const int shards = 32 * scale;
    std::vector<int> strong(static_cast<std::size_t>(shards));
    std::vector<int> weak(static_cast<std::size_t>(shards));
    for (int i = 0; i < 585 * scale; ++i) {
      const bool is_strong = i < 60 * scale;
      const ShardWatch watch(DaemonId(i), is_strong ? kStrongCores : kWeakCores,
                             shards, 1);
      for (const int shard : watch.home())
        ++(is_strong ? strong : weak)[static_cast<std::size_t>(shard)];
    }
    BOOST_TEST(*std::min_element(strong.begin(), strong.end()) >= 1);
    BOOST_TEST(*std::min_element(weak.begin(), weak.end()) >= 2);
  }
}

// Two further shards, whatever the number of shards: the readers of a shard's
// row do not grow with the fleet.
BOOST_AUTO_TEST_CASE(HolderWatchesTwoMoreShards) {
  for (const int shards : {8, 16, 64}) {
    ShardWatch watch("a", kWeakCores, shards, 1);
    const std::vector<int> before = watch.home();
    watch.SetHeldShards(1);
    BOOST_TEST(watch.home().size() == 3U);
    BOOST_TEST(watch.IsHome(before.front()));
    watch.SetHeldShards(0);
    BOOST_TEST(watch.home() == before, boost::test_tools::per_element());
  }
}

// A fleet with fewer daemons than shards.
BOOST_AUTO_TEST_CASE(HolderOfSeveralShardsWatchesAll) {
  constexpr int kShards = 8;
  ShardWatch watch("a", kWeakCores, kShards, 1);
  watch.SetHeldShards(2);
  BOOST_TEST(watch.home().size() == static_cast<std::size_t>(kShards));
}

// Three daemons for two shards, two of which hold one each: a daemon's single
// home shard would leave a fifth of the shards unwatched.
BOOST_AUTO_TEST_CASE(FewShardsAreUnwatchedWithFewDaemonsPerShard) {
  for (const int scale : {1, 2}) {
    const int shards = 32 * scale;
    std::vector<int> watchers(static_cast<std::size_t>(shards));
    for (int i = 0; i < 48 * scale; ++i) {
      ShardWatch watch(DaemonId(i), kWeakCores, shards, 1);
      watch.SetHeldShards(i < shards ? 1 : 0);
      for (const int shard : watch.home())
        ++watchers[static_cast<std::size_t>(shard)];
    }
    const auto unwatched = std::count(watchers.begin(), watchers.end(), 0);
    BOOST_TEST(unwatched <= 2 * scale);
  }
}

BOOST_AUTO_TEST_CASE(VisitsReachAllOtherShards) {
  constexpr int kShards = 8;
  ShardWatch watch("a", kWeakCores, kShards, 1);
  std::set<int> seen(watch.home().begin(), watch.home().end());
  for (base::Micros now = seconds(1); now < seconds(40);
       now += milliseconds(450)) {
    watch.Advance(now, ShardWatch::Finding::kRenewed);
    if (watch.visited())
      seen.insert(*watch.visited());
  }
  BOOST_TEST(seen.size() == static_cast<std::size_t>(kShards));
}

// All other daemons are gone: the visits follow each other without a pause.
BOOST_AUTO_TEST_CASE(VisitThatFindsNoOwnerIsFollowedByTheNext) {
  ShardWatch watch("a", kWeakCores, 8, 1);
  const base::Micros now = seconds(1);
  watch.Advance(now, ShardWatch::Finding::kRenewed);
  const std::optional<int> first = watch.visited();
  BOOST_REQUIRE(first.has_value());
  watch.Advance(now + milliseconds(1900), ShardWatch::Finding::kUnsettled);
  BOOST_CHECK(watch.visited() == first);
  watch.Advance(now + milliseconds(2300), ShardWatch::Finding::kHeld);
  BOOST_REQUIRE(watch.visited().has_value());
  BOOST_CHECK(watch.visited() != first);
}

// --- Ownership in a fleet of many shards ---

struct TestDaemon {
  TestDaemon(StoreBench& bench, const std::string& id, double cores, int shards)
      : ownerships(bench.loop,
                   bench.store,
                   id,
                   cores,
                   shards,
                   std::hash<std::string>()(id),
                   {.on_gained = [](int, std::uint64_t, base::Micros) {},
                    .on_lost = [](int) {},
                    .on_renewed = [](int, base::Micros) {},
                    .load = [](int) { return ShardLoad(); },
                    .on_store_answered = [] {}}) {}

  Ownerships ownerships;
};

// Renews the rows of all shards but one as their owners would.
struct OtherOwners {
  OtherOwners(StoreBench& bench, int shards, int silent_shard = -1)
      : bench(bench),
        shards(shards),
        silent_shard(silent_shard),
        timer(bench.loop, [this] { this->Renew(); }) {
    for (int shard = 0; shard < shards; ++shard)
      this->Write(shard);
    this->timer.StartEvery(milliseconds(450));
  }

  void Renew() {
    ++this->renewals;
    for (int shard = 0; shard < this->shards; ++shard) {
      if (shard != this->silent_shard)
        this->Write(shard);
    }
  }

  void Write(int shard) {
    this->bench.standin.Put(
        OwnerRow({.number = shard, .count = this->shards}),
        EncodeOwner({.holder = "other",
                     .incarnation = "1",
                     .epoch = 3,
                     .beat = static_cast<std::uint64_t>(this->renewals),
                     .cores = kStrongCores}));
  }

  StoreBench& bench;
  int shards;
  int silent_shard;
  int renewals = 0;
  base::Timer timer;
};

int RowsReadDuringRenewals(int shards) {
  constexpr int kRenewals = 8;
  StoreBench bench;
  OtherOwners owners(bench, shards);
  TestDaemon daemon(bench, "a", kWeakCores, shards);
  bench.Until([&] { return owners.renewals >= kRenewals; });
  return bench.standin.rows_sent();
}

// Every daemon read each renewal of every owner: bytes in proportion to daemons
// times owners, 24 MB a second with 585 daemons and 32 owners.
BOOST_AUTO_TEST_CASE(RowsThatADaemonReadsDoNotGrowWithShards) {
  const int with_eight = RowsReadDuringRenewals(8);
  const int with_sixteen = RowsReadDuringRenewals(16);
  BOOST_TEST(with_eight > 0);
  BOOST_TEST(with_sixteen < 2 * with_eight);
  BOOST_TEST(with_sixteen < 2 * 8);
}

BOOST_AUTO_TEST_CASE(LoneDaemonOwnsAllShards) {
  constexpr int kShards = 8;
  StoreBench bench;
  TestDaemon daemon(bench, "a", kStrongCores, kShards);
  BOOST_TEST(bench.Within(seconds(30), [&] {
    return daemon.ownerships.held().size() == static_cast<std::size_t>(kShards);
  }));
}

// No daemon has this shard among those that it watches all the time.
BOOST_AUTO_TEST_CASE(ShardThatNobodyWatchesIsTakenOverByAVisitor) {
  constexpr int kShards = 6;
  StoreBench bench;
  // The daemon's watch has the same seed, so it visits the same shard first.
  ShardWatch watch("a", kWeakCores, kShards, std::hash<std::string>()("a"));
  watch.Advance(seconds(1), ShardWatch::Finding::kRenewed);
  const int silent = *watch.visited();
  BOOST_TEST(!watch.IsHome(silent));
  OtherOwners owners(bench, kShards, silent);
  TestDaemon daemon(bench, "a", kWeakCores, kShards);
  BOOST_TEST(bench.Within(
      seconds(50), [&] { return daemon.ownerships.At(silent).holds(); }));
  BOOST_TEST(daemon.ownerships.held().size() == 1U);
}

BOOST_AUTO_TEST_CASE(LoadsAreReadWhenAJobNeedsThem) {
  constexpr int kShards = 8;
  StoreBench bench;
  ShardLoad load;
  load.load_percent_by_pool["pool"] = 70;
  const Shard shard{.number = 5, .count = kShards};
  bench.standin.Put(OwnerRow(shard), EncodeOwner({.holder = "other",
                                                  .incarnation = "1",
                                                  .epoch = 3,
                                                  .cores = kStrongCores,
                                                  .load = load}));
  TestDaemon daemon(bench, "a", kWeakCores, kShards);
  bool is_read = false;
  daemon.ownerships.RefreshLoads({shard.number}, [&] { is_read = true; });
  bench.Until([&] { return is_read; });
  const std::vector<ShardLoad> loads = daemon.ownerships.Loads();
  BOOST_TEST(loads[5].load_percent_by_pool.at("pool") == 70);
  // The next job within a moment needs no read.
  is_read = false;
  daemon.ownerships.RefreshLoads({shard.number}, [&] { is_read = true; });
  BOOST_TEST(is_read);
}

// A row tells by itself how long its owner has been silent when it was read.
BOOST_AUTO_TEST_CASE(ShardWithoutARecentRenewalIsStalled) {
  constexpr int kShards = 8;
  StoreBench bench;
  TestDaemon daemon(bench, "a", kWeakCores, kShards);
  bench.Until([&] { return bench.store.knows_clock(); });
  const std::int64_t now = bench.store.StoreMillis(base::MonotonicNow());
  const auto write = [&](int shard, std::int64_t age_ms) {
    bench.standin.Put(OwnerRow({.number = shard, .count = kShards}),
                      EncodeOwner({.holder = "other",
                                   .incarnation = "1",
                                   .epoch = 3,
                                   .cores = kStrongCores,
                                   .renewed_store_ms = now - age_ms}));
  };
  write(3, 1500);
  write(4, 400);
  bool is_read = false;
  daemon.ownerships.RefreshLoads({3, 4}, [&] { is_read = true; });
  bench.Until([&] { return is_read; });
  const std::vector<ShardLoad> loads = daemon.ownerships.Loads();
  BOOST_TEST(loads[3].is_stalled);
  BOOST_TEST(!loads[4].is_stalled);
}

// A job is assigned without its loads if the store does not answer.
BOOST_AUTO_TEST_CASE(SilentStoreDoesNotHoldUpTheChoiceOfAShard) {
  StoreBench bench;
  TestDaemon daemon(bench, "a", kWeakCores, 8);
  bench.standin.SetMood(testing::StoreStandin::Mood::kSilent);
  bool is_read = false;
  daemon.ownerships.RefreshLoads({1, 2}, [&] { is_read = true; });
  BOOST_TEST(bench.Within(milliseconds(1200), [&] { return is_read; }));
}

}  // namespace
}  // namespace quartzhoist::entry
