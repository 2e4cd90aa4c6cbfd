// Tests of the record of lease holders that a shard's owner writes.

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include <boost/test/unit_test.hpp>

#include "entry/manager.h"
#include "entry/tables.h"
#include "platform/records.h"
#include "testing/store_bench.h"

namespace quartzhoist::entry {
namespace {

using std::chrono::seconds;
using testing::StoreBench;

platform::RowKey LeaseRow() {
  return ShardRowKey(kLeaseTable, kLeaseKey, {});
}

LeaseRecord RecordOf(std::uint64_t epoch, const std::string& worker) {
  LeaseRecord record{.epoch = epoch, .workers = {}};
  LeaseHolder holder;
  holder.worker.incarnation = {.id = worker, .start_ms = 1};
  holder.worker.box = "box";
  holder.worker.service = "pool";
  holder.worker.address = "127.0.0.1:1";
  record.workers.push_back(holder);
  return record;
}

// Guards against a third owner that knows nothing of the second one's leases:
// the first one learned from a conflict that it was replaced, and recorded its
// final leases over the second one's record.
BOOST_AUTO_TEST_CASE(FinalLeasesDoNotReplaceTheRecordOfALaterOwner) {
  StoreBench bench;
  const auto stored = [&] {
    return DecodeLeases(bench.standin.Value(LeaseRow()))
        .value_or(LeaseRecord{});
  };
  bench.standin.Put(LeaseRow(), EncodeLeases(RecordOf(1, "w")));
  Settings settings;
  settings.id = "a";
  std::unique_ptr<ShardManager> manager;
  bool is_fenced = false;
  // As the daemon does once the ownership reports its loss.
  const auto on_fenced = [&] {
    is_fenced = true;
    manager->RecordFinalLeases();
  };
  manager = std::make_unique<ShardManager>(
      bench.loop, bench.store, bench.counters, settings, Shard{}, 2,
      base::MonotonicNow(),
      ShardManager::Authority{
          .commands_until = [] { return base::Micros::zero(); },
          .certain_until = [] { return base::Micros::zero(); },
          .on_fenced = on_fenced});
  manager->SetEvacuatedZones({});
  manager->SetConfig({});
  const auto until = [&](const std::function<bool()>& holds) {
    return bench.Within(seconds(5), [&] {
      manager->OwnershipConfirmed(base::MonotonicNow());
      return holds();
    });
  };
  BOOST_REQUIRE(until([&] { return stored().epoch == 2U; }));
  bench.Within(std::chrono::milliseconds(300), [] { return false; });
  bench.standin.Put(LeaseRow(), EncodeLeases(RecordOf(3, "next")));
  // A restart of the inherited worker changes the record.
  bench.standin.Put(
      {.table = std::string(platform::kWorkerTable), .part = "", .key = "w"},
      R"({"born":2,"service":"pool","address":"127.0.0.1:1","zone":"z",)"
      R"("state":"ready","machine":"box","labels":["a","r"],)"
      R"("capacity":{"cpu":1,"memMb":1,"gpu":0}})");
  BOOST_REQUIRE(until([&] { return is_fenced; }));
  bench.Within(seconds(1), [&] { return stored().epoch != 3U; });
  BOOST_TEST(stored().epoch == 3U);
  BOOST_TEST(stored().workers.size() == 1U);
}

// Guards against tasks of a lost worker that wait longer with each owner: each
// one added the slack of the store's clock to the end that it had read.
BOOST_AUTO_TEST_CASE(InheritedLeaseEndIsPassedOnAsItWasRecorded) {
  StoreBench bench;
  const auto stored = [&] {
    return DecodeLeases(bench.standin.Value(LeaseRow()))
        .value_or(LeaseRecord{});
  };
  LeaseRecord earlier = RecordOf(1, "w");
  // The stand-in shows this process's clock.
  const std::int64_t end_ms = base::Millis(base::MonotonicNow()) + 3000;
  earlier.workers.front().held = false;
  earlier.workers.front().expires_store_ms = end_ms;
  bench.standin.Put(LeaseRow(), EncodeLeases(earlier));
  Settings settings;
  settings.id = "a";
  ShardManager manager(
      bench.loop, bench.store, bench.counters, settings, Shard{}, 2,
      base::MonotonicNow(),
      ShardManager::Authority{
          .commands_until = [] { return base::Micros::zero(); },
          .certain_until = [] { return base::Micros::zero(); },
          .on_fenced = [] {}});
  manager.SetEvacuatedZones({});
  manager.SetConfig({});
  BOOST_REQUIRE(bench.Within(seconds(5), [&] {
    manager.OwnershipConfirmed(base::MonotonicNow());
    return stored().epoch == 2U;
  }));
  BOOST_REQUIRE(stored().workers.size() == 1U);
  BOOST_TEST(!stored().workers.front().held);
  BOOST_TEST(stored().workers.front().expires_store_ms == end_ms);
}

}  // namespace
}  // namespace quartzhoist::entry
