// Who owns: takeovers, and until when a holder may order.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "entry/owner_lease.h"
#include "entry/ownerships.h"
#include "entry/tables.h"
#include "testing/store_bench.h"

namespace quartzhoist::entry {
namespace {

using testing::StoreBench;
using testing::StoreStandin;

// A daemon, and what came to it of each shard.
struct TestDaemon {
  TestDaemon(base::Loop& loop,
             platform::Store& store,
             const std::string& id,
             double cores = 0.25,
             int shards = 1)
      : ownerships(
            loop,
            store,
            id,
            cores,
            shards,
            std::hash<std::string>()(id),
            {.on_gained =
                 [this](int, std::uint64_t gained, base::Micros before) {
                   this->epoch = gained;
                   this->previous_owner_renewal = before;
                 },
             .on_lost = [this](int) { ++this->losses; },
             .on_renewed = [this](int, base::Micros) { ++this->renewals; },
             .load = [](int) { return ShardLoad(); },
             .on_store_answered = [] {}}),
        ownership(this->ownerships.At(0)) {}

  std::uint64_t epoch = 0;
  base::Micros previous_owner_renewal{};
  int losses = 0;
  int renewals = 0;
  Ownerships ownerships;
  Ownership& ownership;
};

BOOST_AUTO_TEST_CASE(OneOfSeveralDaemonsOwnsAndRenews) {
  StoreBench bench;
  TestDaemon a(bench.loop, bench.store, "a");
  TestDaemon b(bench.loop, bench.store, "b");
  TestDaemon c(bench.loop, bench.store, "c");
  bench.Until([&] { return a.renewals + b.renewals + c.renewals >= 3; });
  BOOST_TEST(a.ownership.holds() + b.ownership.holds() + c.ownership.holds() ==
             1);
  BOOST_TEST(a.epoch + b.epoch + c.epoch == 1U);
}

BOOST_AUTO_TEST_CASE(ReleasedOwnershipPassesUnderAHigherEpoch) {
  StoreBench bench;
  TestDaemon a(bench.loop, bench.store, "a");
  bench.Until([&] { return a.ownership.holds(); });
  TestDaemon b(bench.loop, bench.store, "b");
  a.ownership.Release();
  bench.Until([&] { return b.ownership.holds(); });
  BOOST_TEST(b.epoch == 2U);
  BOOST_TEST(!a.ownership.holds());
}

BOOST_AUTO_TEST_CASE(SilentOwnerIsTakenOver) {
  StoreBench bench;
  // A holder that confirms nothing.
  bench.standin.Put(
      OwnerRow({}),
      EncodeOwner(
          {.holder = "dead", .incarnation = "1", .epoch = 7, .beat = 3}));
  TestDaemon a(bench.loop, bench.store, "a");
  bench.Until([&] { return a.ownership.holds(); });
  BOOST_TEST(a.epoch == 8U);
}

// The store falls silent for all: that says nothing of the holder. A takeover
// that was sent into the silence was made when it ended, and the next owner
// waited 10.5 s for a worker that had died meanwhile.
BOOST_AUTO_TEST_CASE(SilentStoreIsNoSilentOwner) {
  StoreBench bench;
  bench.standin.Put(OwnerRow({}), EncodeOwner({.holder = "lives",
                                               .incarnation = "1",
                                               .epoch = 7,
                                               .beat = 3,
                                               .cores = 0.25}));
  TestDaemon a(bench.loop, bench.store, "a");
  bench.Until([&] { return a.ownership.epoch() == 7U; });
  const base::Micros seen = base::MonotonicNow();
  const int written = bench.standin.writes();
  bench.standin.SetMood(StoreStandin::Mood::kSilent);
  BOOST_TEST(!bench.Within(std::chrono::milliseconds(2500),
                           [&] { return bench.standin.writes() > written; }));
  bench.standin.SetMood(StoreStandin::Mood::kWell);
  bench.Until([&] { return a.ownership.holds(); });
  BOOST_TEST(a.epoch == 8U);
  // What the silent holder granted is waited out from here, not from now.
  BOOST_CHECK(a.previous_owner_renewal > base::Micros::zero());
  BOOST_CHECK(a.previous_owner_renewal <= seen);
}

BOOST_AUTO_TEST_CASE(ReplacedOwnerLosesOwnership) {
  StoreBench bench;
  TestDaemon a(bench.loop, bench.store, "a");
  bench.Until([&] { return a.ownership.holds(); });
  bench.standin.Put(
      OwnerRow({}),
      EncodeOwner(
          {.holder = "other", .incarnation = "1", .epoch = 2, .beat = 0}));
  bench.Until([&] { return a.losses == 1; });
  BOOST_TEST(!a.ownership.holds());
}

BOOST_AUTO_TEST_CASE(RowConfirmsATakeoverWhoseAnswerIsLost) {
  StoreBench bench;
  TestDaemon a(bench.loop, bench.store, "a");
  bench.standin.SetMood(StoreStandin::Mood::kLosesAnswers);
  bench.Until([&] { return a.ownership.holds(); });
  BOOST_TEST(a.epoch == 1U);
}

BOOST_AUTO_TEST_CASE(StrongerBoxReplacesAWeakerOne) {
  StoreBench bench;
  TestDaemon weak(bench.loop, bench.store, "weak", 0.1);
  bench.Until([&] { return weak.ownership.holds(); });
  TestDaemon equal(bench.loop, bench.store, "equal", 0.12);
  TestDaemon strong(bench.loop, bench.store, "strong", 0.5);
  bench.Until([&] { return strong.ownership.holds(); });
  bench.Until([&] { return weak.losses == 1; });
  BOOST_TEST(strong.epoch == 2U);
  BOOST_TEST(equal.epoch == 0U);
}

// Each write is made and not answered; the next finds the row as it left it.
BOOST_AUTO_TEST_CASE(OwnerRenewsThoughEveryAnswerIsLost) {
  StoreBench bench;
  TestDaemon a(bench.loop, bench.store, "a");
  bench.Until([&] { return a.renewals >= 1; });
  bench.standin.SetMood(StoreStandin::Mood::kLosesAnswers);
  const int renewed = a.renewals;
  const int written = bench.standin.writes();
  bench.Until([&] {
    return a.renewals > renewed + 2 || bench.standin.writes() > written + 12;
  });
  BOOST_TEST(a.renewals > renewed + 2);
  BOOST_TEST(a.epoch == 1U);
}

// A write that was made before the loss shows up after it.
BOOST_AUTO_TEST_CASE(OldRowDoesNotBringALostEpochBack) {
  StoreBench bench;
  TestDaemon a(bench.loop, bench.store, "a");
  bench.Until([&] { return a.ownership.holds(); });
  const platform::RowKey row = OwnerRow({});
  a.ownership.OnFenced();
  bench.standin.Put(row, bench.standin.Value(row));
  bench.Until([&] { return a.ownership.holds(); });
  BOOST_TEST(a.epoch == 2U);
}

// --- Several shards ---

int HeldByAll(const std::vector<const TestDaemon*>& daemons) {
  int held = 0;
  for (const TestDaemon* daemon : daemons)
    held += static_cast<int>(daemon->ownerships.held().size());
  return held;
}

// Far above the two seconds after which one with two shards is asked for
// renewal.
constexpr base::Micros kTimeout = std::chrono::seconds(20);

BOOST_AUTO_TEST_CASE(EachShardGoesToADifferentDaemon) {
  StoreBench bench;
  constexpr int kShards = 4;
  TestDaemon a(bench.loop, bench.store, "a", 0.5, kShards);
  TestDaemon b(bench.loop, bench.store, "b", 0.5, kShards);
  TestDaemon c(bench.loop, bench.store, "c", 0.5, kShards);
  TestDaemon d(bench.loop, bench.store, "d", 0.5, kShards);
  const std::vector<const TestDaemon*> all = {&a, &b, &c, &d};
  // One that came to two makes way for one that has none.
  BOOST_REQUIRE(bench.Within(kTimeout, [&] {
    return std::all_of(all.begin(), all.end(), [](const TestDaemon* daemon) {
      return daemon->ownerships.held().size() == 1;
    });
  }));
  BOOST_TEST(HeldByAll(all) == kShards);
}

BOOST_AUTO_TEST_CASE(ShardsOfALostDaemonAreTakenOver) {
  StoreBench bench;
  constexpr int kShards = 2;
  TestDaemon a(bench.loop, bench.store, "a", 0.5, kShards);
  TestDaemon b(bench.loop, bench.store, "b", 0.5, kShards);
  BOOST_REQUIRE(bench.Within(kTimeout, [&] {
    return HeldByAll({&a, &b}) == kShards && a.ownerships.held().size() == 1;
  }));
  const int lost = a.ownerships.held().front();
  a.ownerships.Release();
  BOOST_REQUIRE(bench.Within(
      kTimeout, [&] { return b.ownerships.held().size() == kShards; }));
  BOOST_TEST(b.ownerships.At(lost).holds());
  BOOST_TEST(b.epoch >= 2U);
}

// --- When the holder must stop ---

constexpr base::Micros kSilence = std::chrono::milliseconds(1300);

struct Renewal {
  std::uint64_t beat = 0;
  base::Micros sent_at{};
  bool is_written = false;
  base::Micros written_at{};  // when the row holds it, if it is made
};

// A holder whose renewals are answered, lost, refused, or made late; the
// others count the silence from when the row last changed.
RC_BOOST_PROP(HolderStopsBeforeAnotherMayTakeOver, ()) {
  OwnerLease lease;
  base::Micros now = std::chrono::seconds(10);
  base::Micros last_change = now;
  std::uint64_t beat = 0;
  std::vector<Renewal> pending;
  const int steps = *rc::gen::inRange(1, 40);
  for (int i = 0; i < steps; ++i) {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
    lease.OnRenewalSent(1, beat, now, kSilence);
    const int fate = *rc::gen::inRange(0, 4);
    const base::Micros written_at =
        now + std::chrono::milliseconds(*rc::gen::inRange(1, 500));
    if (fate == 0) {  // refused
      lease.OnRenewalNotWritten(1, beat);
      continue;
    }
    const bool is_written = fate != 1;
    pending.push_back({.beat = beat,
                       .sent_at = now,
                       .is_written = is_written,
                       .written_at = written_at});
    // The row's first try of a beat that is made counts; later ones find it.
    if (!is_written)
      continue;
    const auto first = std::find_if(
        pending.begin(), pending.end(), [&](const Renewal& renewal) {
          return renewal.beat == beat && renewal.is_written;
        });
    last_change = std::max(last_change, first->written_at);
    if (fate == 3)  // its answer is lost
      continue;
    now = std::max(now, written_at);
    lease.OnRenewalWritten(1, beat);
    ++beat;
    // What has not been made by then never is: its condition fails.
    RC_ASSERT(lease.valid_until() < last_change + kSilence);
  }
}

BOOST_AUTO_TEST_CASE(HolderWithoutARenewalOrdersNothing) {
  OwnerLease lease;
  const base::Micros now = std::chrono::seconds(5);
  lease.OnRenewalSent(3, 0, now, kSilence);
  BOOST_TEST(lease.valid_until().count() == 0);
  // Another try of the same beat extends nothing: the first may be the one that
  // was made.
  lease.OnRenewalSent(3, 0, now + std::chrono::seconds(1), kSilence);
  lease.OnRenewalWritten(3, 0);
  BOOST_CHECK(lease.valid_until() > now);
  BOOST_CHECK(lease.valid_until() < now + kSilence);
  // Nor does a beat of another epoch.
  lease.OnRenewalWritten(4, 0);
  BOOST_CHECK(lease.valid_until() < now + kSilence);
}

}  // namespace
}  // namespace quartzhoist::entry
