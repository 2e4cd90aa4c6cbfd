// Tests of shard ownership: takeovers, and the validity of the holder's lease.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
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

// A daemon that records the callbacks of its ownerships.
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
  // A holder that renews nothing.
  bench.standin.Put(
      OwnerRow({}),
      EncodeOwner(
          {.holder = "dead", .incarnation = "1", .epoch = 7, .beat = 3}));
  TestDaemon a(bench.loop, bench.store, "a");
  bench.Until([&] { return a.ownership.holds(); });
  BOOST_TEST(a.epoch == 8U);
}

// Guards against tasks of a lost worker that wait for a lease which ended long
// ago: a restarted daemon dated the last renewal by its first reading.
BOOST_AUTO_TEST_CASE(RenewalIsNotDatedByTheReadingOfItsRow) {
  StoreBench bench;
  const base::Micros start = base::MonotonicNow();
  OwnerRecord record{
      .holder = "dead", .incarnation = "1", .epoch = 7, .beat = 3};
  // The stand-in shows this process's clock.
  record.renewed_store_ms = base::Millis(start) - 5000;
  bench.standin.Put(OwnerRow({}), EncodeOwner(record));
  TestDaemon a(bench.loop, bench.store, "a");
  bench.Until([&] { return a.ownership.holds(); });
  // The store's clock is known to within a second, and clocks drift.
  const base::Micros renewed = start - std::chrono::seconds(5);
  BOOST_CHECK(a.previous_owner_renewal >= renewed);
  BOOST_CHECK(a.previous_owner_renewal <=
              renewed + std::chrono::milliseconds(1500));
}

// Guards against the same wait after an outage of the store: the renewal that
// was written when it ended told the time of its last attempt.
BOOST_AUTO_TEST_CASE(RenewalThroughAnOutageTellsItsFirstAttempt) {
  StoreBench bench;
  TestDaemon a(bench.loop, bench.store, "a");
  bench.Until([&] { return a.renewals >= 2; });
  const auto stored = [&] {
    return DecodeOwner(bench.standin.Value(OwnerRow({})))
        .value_or(OwnerRecord{});
  };
  const std::uint64_t beat = stored().beat;
  bench.standin.SetMood(StoreStandin::Mood::kCuts);
  BOOST_TEST(!bench.Within(std::chrono::seconds(2),
                           [&] { return stored().beat > beat; }));
  // The stand-in shows this process's clock.
  const std::int64_t outage_end = base::Millis(base::MonotonicNow());
  bench.standin.SetMood(StoreStandin::Mood::kWell);
  bench.Until([&] { return stored().beat > beat; });
  BOOST_TEST(stored().renewed_store_ms > 0);
  BOOST_TEST(stored().renewed_store_ms < outage_end);
}

// Guards against a third owner that waits too short for the first one's leases:
// the second one's row told the time of a takeover attempt that failed long
// before the first one's last renewal.
BOOST_AUTO_TEST_CASE(TakeoverIsNotDatedByAnAttemptBeforeTheLastRenewal) {
  StoreBench bench;
  OwnerRecord record{.holder = "lives",
                     .incarnation = "1",
                     .epoch = 7,
                     .beat = 3,
                     .cores = 0.25};
  const auto renew = [&] {
    ++record.beat;
    // The stand-in shows this process's clock.
    record.renewed_store_ms = base::Millis(base::MonotonicNow());
    bench.standin.Put(OwnerRow({}), EncodeOwner(record));
  };
  renew();
  auto a = std::make_unique<TestDaemon>(bench.loop, bench.store, "a");
  bench.Until([&] { return a->ownership.epoch() == 7U; });
  // The holder is silent until the first takeover attempt, which is not
  // answered, and then renews for three seconds.
  const int written = bench.standin.writes();
  bench.standin.SetNextWrites({StoreStandin::Mood::kSilent});
  bench.Until([&] { return bench.standin.writes() > written; });
  for (int i = 0; i < 6; ++i) {
    renew();
    BOOST_TEST(!bench.Within(std::chrono::milliseconds(500),
                             [&] { return a->ownership.holds(); }));
  }
  const std::int64_t last_renewal_ms = record.renewed_store_ms;
  bench.Until([&] { return a->ownership.holds(); });
  const OwnerRecord taken =
      DecodeOwner(bench.standin.Value(OwnerRow({}))).value_or(OwnerRecord{});
  BOOST_TEST(taken.epoch == 8U);
  BOOST_TEST(taken.beat == 0U);
  BOOST_TEST(taken.renewed_store_ms >= last_renewal_ms);
  // The second owner is lost before it renews.
  a.reset();
  TestDaemon b(bench.loop, bench.store, "b");
  bench.Until([&] { return b.ownership.holds(); });
  BOOST_TEST(b.epoch == 9U);
  BOOST_TEST(base::Millis(b.previous_owner_renewal) >= last_renewal_ms);
}

BOOST_AUTO_TEST_CASE(RenewalOfUnknownTimeIsDatedByTheReadingOfItsRow) {
  StoreBench bench;
  const base::Micros start = base::MonotonicNow();
  bench.standin.Put(
      OwnerRow({}),
      EncodeOwner(
          {.holder = "dead", .incarnation = "1", .epoch = 7, .beat = 3}));
  TestDaemon a(bench.loop, bench.store, "a");
  bench.Until([&] { return a.ownership.holds(); });
  BOOST_CHECK(a.previous_owner_renewal >= start);
}

// An unresponsive store must not be mistaken for a silent holder. Once, a
// takeover sent during such an outage was written when the outage ended, and
// the new owner waited 10.5 s for a worker that had died meanwhile.
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
  // Grants of the silent holder are waited out from when its row was seen, not
  // from the takeover.
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

// Each write is made but not answered; the next attempt conflicts with the row
// that it left.
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

// A write that was made before the loss of the ownership is received after it.
BOOST_AUTO_TEST_CASE(LateRowDoesNotRestoreALostEpoch) {
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

// Far above the two seconds after which a daemon with two shards is asked to
// hand one over.
constexpr base::Micros kTimeout = std::chrono::seconds(20);

BOOST_AUTO_TEST_CASE(EachShardGoesToADifferentDaemon) {
  StoreBench bench;
  constexpr int kShards = 4;
  TestDaemon a(bench.loop, bench.store, "a", 0.5, kShards);
  TestDaemon b(bench.loop, bench.store, "b", 0.5, kShards);
  TestDaemon c(bench.loop, bench.store, "c", 0.5, kShards);
  TestDaemon d(bench.loop, bench.store, "d", 0.5, kShards);
  const std::vector<const TestDaemon*> all = {&a, &b, &c, &d};
  // A daemon that acquired two shards hands one over to a daemon with none.
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

// --- Expiry of the lease ---

constexpr base::Micros kSilence = std::chrono::milliseconds(1300);

struct Renewal {
  std::uint64_t sequence = 0;
  base::Micros sent_at{};
  bool is_written = false;
  base::Micros written_at{};  // if it is written
};

// Renewals are answered, lost, refused, or written late. Other daemons measure
// the silence from the last change of the row.
RC_BOOST_PROP(HolderStopsBeforeAnotherMayTakeOver, ()) {
  OwnerLease lease;
  base::Micros now = std::chrono::seconds(10);
  base::Micros last_change = now;
  std::uint64_t sequence = 0;
  std::vector<Renewal> pending;
  const int steps = *rc::gen::inRange(1, 40);
  for (int i = 0; i < steps; ++i) {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
    lease.OnRenewalSent(1, sequence, now, kSilence);
    const int outcome = *rc::gen::inRange(0, 4);
    const base::Micros written_at =
        now + std::chrono::milliseconds(*rc::gen::inRange(1, 500));
    if (outcome == 0) {  // refused
      lease.OnRenewalNotWritten(1, sequence);
      continue;
    }
    const bool is_written = outcome != 1;
    pending.push_back({.sequence = sequence,
                       .sent_at = now,
                       .is_written = is_written,
                       .written_at = written_at});
    // Only the first written attempt of a renewal changes the row; later ones
    // conflict with it.
    if (!is_written)
      continue;
    const auto first = std::find_if(
        pending.begin(), pending.end(), [&](const Renewal& renewal) {
          return renewal.sequence == sequence && renewal.is_written;
        });
    last_change = std::max(last_change, first->written_at);
    if (outcome == 3)  // its answer is lost
      continue;
    now = std::max(now, written_at);
    lease.OnRenewalWritten(1, sequence);
    ++sequence;
    // Attempts not written by now never will be: their version condition fails.
    RC_ASSERT(lease.valid_until() < last_change + kSilence);
  }
}

BOOST_AUTO_TEST_CASE(HolderWithoutARenewalOrdersNothing) {
  OwnerLease lease;
  const base::Micros now = std::chrono::seconds(5);
  lease.OnRenewalSent(3, 0, now, kSilence);
  BOOST_TEST(lease.valid_until().count() == 0);
  // Another attempt of the same renewal does not extend the lease: the first
  // may be the one that was written.
  lease.OnRenewalSent(3, 0, now + std::chrono::seconds(1), kSilence);
  lease.OnRenewalWritten(3, 0);
  BOOST_CHECK(lease.valid_until() > now);
  BOOST_CHECK(lease.valid_until() < now + kSilence);
  // Nor does a renewal of another epoch.
  lease.OnRenewalWritten(4, 0);
  BOOST_CHECK(lease.valid_until() < now + kSilence);
}

}  // namespace
}  // namespace quartzhoist::entry
