// Tests that successive owners of a shard learn of each other's box calls.

#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "entry/box_calls.h"
#include "entry/tables.h"
#include "testing/store_bench.h"

namespace quartzhoist::entry {
namespace {

using std::chrono::seconds;
using testing::StoreBench;
using testing::StoreStandin;

std::string BoxOf(const scheduler::BoxCall& call) {
  return std::visit([](const auto& one) { return one.box; }, call);
}

// An owner of the only shard. Keeps the boxes of the calls in each event.
struct Owner {
  Owner(StoreBench& store_bench, std::uint64_t epoch)
      : bench(store_bench),
        calls(store_bench.store,
              {},
              epoch,
              {.on_claimed =
                   [this](const std::vector<scheduler::BoxCall>& open_calls) {
                     for (const scheduler::BoxCall& call : open_calls)
                       this->inherited.push_back(BoxOf(call));
                   },
               .on_recorded =
                   [this](const scheduler::BoxCall& call) {
                     this->recorded.push_back(BoxOf(call));
                   },
               .on_rejected =
                   [this](const scheduler::BoxCall& call) {
                     this->rejected.push_back(BoxOf(call));
                   },
               .on_fenced = [this] { this->fenced = true; }}) {}

  // Calls Sync() until the condition holds; returns false after 5 s.
  bool SyncUntil(const std::function<bool()>& condition) {
    return this->bench.Within(seconds(5), [&] {
      this->calls.Sync(
          [this](const std::string&) { return this->calls_are_open; },
          base::MonotonicNow());
      return condition();
    });
  }
  bool ClaimsRow() {
    return this->SyncUntil([this] { return this->calls.claimed(); });
  }
  bool RecordsCalls(std::size_t count) {
    return this->SyncUntil(
        [this, count] { return this->recorded.size() == count; });
  }

  StoreBench& bench;
  BoxCalls calls;
  std::vector<std::string> inherited;
  std::vector<std::string> recorded;
  std::vector<std::string> rejected;
  bool fenced = false;
  bool calls_are_open = true;  // no call's outcome is known
};

const std::vector<std::string> kBothBoxes = {"a", "b"};

}  // namespace

// A suspended owner has two calls pending. The next owner must inherit both,
// and the first must not record, and therefore not make, another call.
BOOST_AUTO_TEST_CASE(PendingCallsAreInheritedByNextOwner) {
  StoreBench bench;
  Owner first(bench, 1);
  BOOST_REQUIRE(first.ClaimsRow());
  BOOST_TEST(first.inherited.empty());
  first.calls.Add(scheduler::MoveBox{
      .box = "a", .pool = "pool", .incarnation = {.id = "a-1"}});
  first.calls.Add(scheduler::MaintainBox{
      .box = "b", .wave = 7, .incarnation = {.id = "b-1"}});
  BOOST_REQUIRE(first.RecordsCalls(2));
  Owner next(bench, 2);
  BOOST_REQUIRE(next.ClaimsRow());
  BOOST_TEST(next.inherited == kBothBoxes);
  first.calls.Add(scheduler::MaintainBox{
      .box = "c", .wave = 7, .incarnation = {.id = "c-1"}});
  BOOST_TEST(first.SyncUntil([&] { return first.fenced; }));
  BOOST_TEST(first.recorded.size() == 2U);
  // The third owner inherits the calls that the second has not settled.
  Owner third(bench, 3);
  BOOST_REQUIRE(third.ClaimsRow());
  BOOST_TEST(third.inherited == kBothBoxes);
}

// A call whose outcome is known must be removed from the row.
BOOST_AUTO_TEST_CASE(SettledCallsAreNotInherited) {
  StoreBench bench;
  Owner first(bench, 1);
  BOOST_REQUIRE(first.ClaimsRow());
  first.calls.Add(
      scheduler::MoveBox{.box = "a", .pool = "pool", .incarnation = {}});
  BOOST_REQUIRE(first.RecordsCalls(1));
  first.calls_are_open = false;
  const platform::RowKey row = ShardRowKey(kBoxCallTable, kBoxCallKey, {});
  BOOST_TEST(first.SyncUntil([&] {
    const auto record = DecodeBoxCalls(bench.standin.Value(row));
    return record && record->calls.empty();
  }));
}

// Writes are refused or cut off, or their responses are lost. Each call must be
// released exactly once, after it is recorded.
BOOST_AUTO_TEST_CASE(CallIsReleasedOnceDespiteFailedWrites) {
  using Mood = StoreStandin::Mood;
  StoreBench bench;
  Owner owner(bench, 1);
  BOOST_REQUIRE(owner.ClaimsRow());
  bench.standin.SetNextWrites(
      {Mood::kLosesAnswers, Mood::kBusy, Mood::kCuts, Mood::kLosesAnswers});
  owner.calls.Add(
      scheduler::MoveBox{.box = "a", .pool = "pool", .incarnation = {}});
  owner.calls.Add(
      scheduler::MoveBox{.box = "b", .pool = "pool", .incarnation = {}});
  BOOST_TEST(owner.RecordsCalls(2));
  BOOST_TEST(owner.recorded == kBothBoxes);
  BOOST_TEST(!owner.fenced);
}

// Every write is carried out but no response arrives. The owner must detect its
// own write from the conflicting row.
BOOST_AUTO_TEST_CASE(WriteWithLostAnswerIsFoundInConflictingRow) {
  StoreBench bench;
  bench.standin.SetMood(StoreStandin::Mood::kLosesAnswers);
  Owner owner(bench, 1);
  BOOST_REQUIRE(owner.ClaimsRow());
  owner.calls.Add(
      scheduler::MoveBox{.box = "a", .pool = "pool", .incarnation = {}});
  BOOST_TEST(owner.RecordsCalls(1));
}

// A malformed row must be overwritten and claimed.
BOOST_AUTO_TEST_CASE(MalformedRowIsClaimed) {
  StoreBench bench;
  bench.standin.Put(ShardRowKey(kBoxCallTable, kBoxCallKey, {}),
                    "{\"epoch\":[]");
  Owner owner(bench, 4);
  BOOST_TEST(owner.ClaimsRow());
  BOOST_TEST(owner.inherited.empty());
}

}  // namespace quartzhoist::entry
