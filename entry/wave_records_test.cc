// Tests how the owners of shards record waves and learn of each other's
// progress.

#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "entry/tables.h"
#include "entry/wave_records.h"
#include "platform/records.h"
#include "testing/store_bench.h"

namespace quartzhoist::entry {
namespace {

using testing::StoreBench;

constexpr base::Micros kTimeout = std::chrono::seconds(20);
constexpr int kShards = 2;
constexpr int kWave = 4;

scheduler::Wave TenBoxes() {
  scheduler::Wave wave{.number = kWave, .boxes = {}, .max_concurrent = 4};
  for (int i = 0; i < 10; ++i)
    wave.boxes.push_back("box-" + std::to_string(i));
  return wave;
}

// The owner of a shard, and its current share of the wave.
struct Owner {
  Owner(StoreBench& bench, int number)
      : records(bench.store,
                {.number = number, .count = kShards},
                [this](const scheduler::Wave& share,
                       const std::vector<std::string>& begun) {
                  this->share = share;
                  this->previously_started = begun;
                }) {}

  void Begin(const std::vector<platform::Row>& kept) {
    this->records.Load(kept, base::MonotonicNow());
    this->records.AddWave(TenBoxes());
  }

  void Report(scheduler::WaveState state) {
    this->records.Report(
        {.wave = kWave, .state = state, .begun = this->share.boxes});
  }

  scheduler::Wave share;
  std::vector<std::string> previously_started;
  WaveRecords records;
};

// The owners of both shards, which have loaded an empty store.
struct TwoOwners : StoreBench {
  TwoOwners() {
    this->first.Begin({});
    this->second.Begin({});
  }

  void Act() {
    this->first.records.Poll(base::MonotonicNow());
    this->second.records.Poll(base::MonotonicNow());
  }

  Owner first{*this, 0};
  Owner second{*this, 1};
};

std::string Status(const StoreBench& bench) {
  return bench.standin.Value(
      {.table = std::string(platform::kStatusTable),
       .part = "",
       .key = std::string(platform::kWavePrefix) + std::to_string(kWave)});
}

bool Has(const std::string& text, const char* part) {
  return text.find(part) != std::string::npos;
}

// The published status becomes `completed` when both shards are done; the share
// of the first one to complete passes to the other.
BOOST_AUTO_TEST_CASE(WaveIsCompletedWhenAllShardsAre) {
  TwoOwners bench;
  BOOST_TEST(bench.first.share.max_concurrent +
                 bench.second.share.max_concurrent ==
             4);
  bench.first.Report(scheduler::WaveState::kRunning);
  bench.first.Report(scheduler::WaveState::kCompleted);
  BOOST_REQUIRE(bench.Within(kTimeout, [&] {
    bench.Act();
    return bench.second.share.max_concurrent == 4;
  }));
  BOOST_TEST(Has(Status(bench), "running"));
  bench.second.Report(scheduler::WaveState::kCompleted);
  BOOST_TEST(bench.Within(kTimeout, [&] {
    bench.Act();
    return Has(Status(bench), "completed");
  }));
}

// A later owner reads the boxes whose upkeep began under an earlier one, and
// the shards that have completed the wave.
BOOST_AUTO_TEST_CASE(LaterOwnerReadsStartedBoxesAndDoneShards) {
  TwoOwners bench;
  bench.first.Report(scheduler::WaveState::kCompleted);
  bench.second.Report(scheduler::WaveState::kRunning);
  const std::string table(kWaveTable);
  BOOST_REQUIRE(bench.Within(
      kTimeout, [&] { return bench.standin.Table(table).size() == 3U; }));
  Owner later(bench, 1);
  later.Begin(bench.standin.Table(table));
  BOOST_TEST(later.previously_started == bench.second.share.boxes,
             boost::test_tools::per_element());
  BOOST_TEST(later.share.max_concurrent == 4);
}

}  // namespace
}  // namespace quartzhoist::entry
