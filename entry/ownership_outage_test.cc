// Tests of takeovers after short outages of the store.

#include <chrono>
#include <functional>
#include <string>

#include <boost/test/unit_test.hpp>

#include "entry/ownerships.h"
#include "entry/tables.h"
#include "testing/store_bench.h"

namespace quartzhoist::entry {
namespace {

using std::chrono::milliseconds;
using testing::StoreBench;
using testing::StoreStandin;

// A daemon that watches a shard of another holder, whose renewals the test
// writes.
struct WatchedShard {
  WatchedShard() {
    this->Renew();
    this->bench.Until([this] { return this->ownership().epoch() == 7U; });
  }

  Ownership& ownership() { return this->watcher.At(0); }

  void Renew() {
    ++this->record.beat;
    this->bench.standin.Put(OwnerRow({}), EncodeOwner(this->record));
  }

  // No call is answered, and the holder can't renew.
  void RunOutage(base::Micros length) {
    this->bench.standin.SetMood(StoreStandin::Mood::kSilent);
    this->bench.Within(length, [] { return false; });
    this->bench.standin.SetMood(StoreStandin::Mood::kWell);
  }

  bool IsTakenOverWithin(base::Micros span) {
    return this->bench.Within(span,
                              [this] { return this->ownership().holds(); });
  }

  StoreBench bench;
  OwnerRecord record{.holder = "lives",
                     .incarnation = "1",
                     .epoch = 7,
                     .beat = 0,
                     .cores = 0.25};
  Ownerships watcher{bench.loop,
                     bench.store,
                     "watcher",
                     0.25,
                     1,
                     3,
                     {.on_gained = [](int, std::uint64_t, base::Micros) {},
                      .on_lost = [](int) {},
                      .on_renewed = [](int, base::Micros) {},
                      .load = [](int) { return ShardLoad(); },
                      .on_store_answered = [] {}}};
};

// Guards against a takeover from a working holder right after an outage in
// which it could not renew. Each takeover interrupts the shard's work, and
// right after an outage often goes to a weak box.
BOOST_AUTO_TEST_CASE(HolderRenewsAfterAShortOutageOfTheStore) {
  WatchedShard shard;
  shard.RunOutage(milliseconds(2100));
  BOOST_TEST(!shard.IsTakenOverWithin(milliseconds(400)));
  shard.Renew();
  BOOST_TEST(!shard.IsTakenOverWithin(milliseconds(800)));
}

// Guards against a holder that was lost in the outage and keeps its shard.
BOOST_AUTO_TEST_CASE(HolderLostInAShortOutageIsTakenOver) {
  WatchedShard shard;
  shard.RunOutage(milliseconds(2100));
  shard.bench.Until([&] { return shard.ownership().holds(); });
  BOOST_TEST(shard.ownership().epoch() == 8U);
}

}  // namespace
}  // namespace quartzhoist::entry
