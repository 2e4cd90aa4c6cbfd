// What owners that follow one another learn of each other's calls for boxes.

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

// An owner of the only shard, and what it was told.
struct Owner {
  Owner(StoreBench& on, std::uint64_t epoch)
      : bench(on),
        calls(on.store,
              {},
              epoch,
              {.on_claimed =
                   [this](const std::vector<scheduler::BoxCall>& found) {
                     for (const scheduler::BoxCall& call : found)
                       this->inherited.push_back(BoxOf(call));
                   },
               .on_recorded =
                   [this](const scheduler::BoxCall& call) {
                     this->recorded.push_back(BoxOf(call));
                   },
               .on_refused =
                   [this](const scheduler::BoxCall& call) {
                     this->refused.push_back(BoxOf(call));
                   },
               .on_fenced = [this] { this->fenced = true; }}) {}

  // Acts until this holds; false if it does not within some seconds.
  bool ActUntil(const std::function<bool()>& holds) {
    return this->bench.Within(seconds(5), [&] {
      this->calls.Act([this](const std::string&) { return this->is_open; },
                      base::MonotonicNow());
      return holds();
    });
  }
  bool Claims() {
    return this->ActUntil([this] { return this->calls.claimed(); });
  }
  bool Records(std::size_t count) {
    return this->ActUntil(
        [this, count] { return this->recorded.size() == count; });
  }

  StoreBench& bench;
  BoxCalls calls;
  std::vector<std::string> inherited;
  std::vector<std::string> recorded;
  std::vector<std::string> refused;
  bool fenced = false;
  bool is_open = true;  // no call's outcome is known
};

const std::vector<std::string> kBoth = {"a", "b"};

}  // namespace

// The first owner stands still with two calls under way: the next one knows
// both, and the first records, and so makes, no further one.
BOOST_AUTO_TEST_CASE(CallsUnderWayReachTheNextOwner) {
  StoreBench bench;
  Owner first(bench, 1);
  BOOST_REQUIRE(first.Claims());
  BOOST_TEST(first.inherited.empty());
  first.calls.Ask(scheduler::MoveBox{
      .box = "a", .pool = "pool", .incarnation = {.id = "a-1"}});
  first.calls.Ask(scheduler::MaintainBox{
      .box = "b", .wave = 7, .incarnation = {.id = "b-1"}});
  BOOST_REQUIRE(first.Records(2));
  Owner next(bench, 2);
  BOOST_REQUIRE(next.Claims());
  BOOST_TEST(next.inherited == kBoth);
  first.calls.Ask(scheduler::MaintainBox{
      .box = "c", .wave = 7, .incarnation = {.id = "c-1"}});
  BOOST_TEST(first.ActUntil([&] { return first.fenced; }));
  BOOST_TEST(first.recorded.size() == 2U);
  // The third knows what the second has not settled.
  Owner third(bench, 3);
  BOOST_REQUIRE(third.Claims());
  BOOST_TEST(third.inherited == kBoth);
}

// A call whose outcome is known leaves the row.
BOOST_AUTO_TEST_CASE(SettledCallsAreNotInherited) {
  StoreBench bench;
  Owner first(bench, 1);
  BOOST_REQUIRE(first.Claims());
  first.calls.Ask(
      scheduler::MoveBox{.box = "a", .pool = "pool", .incarnation = {}});
  BOOST_REQUIRE(first.Records(1));
  first.is_open = false;
  const platform::RowKey row = SmallRow(kBoxTable, kBoxKey, {});
  BOOST_TEST(first.ActUntil([&] {
    const auto record = DecodeBoxCalls(bench.standin.Value(row));
    return record && record->calls.empty();
  }));
}

// Answers of the store are lost and refused: each call is made once, after its
// record.
BOOST_AUTO_TEST_CASE(CallIsMadeOnceWhateverBecomesOfTheWrite) {
  using Mood = StoreStandin::Mood;
  StoreBench bench;
  Owner owner(bench, 1);
  BOOST_REQUIRE(owner.Claims());
  bench.standin.SetNextWrites(
      {Mood::kLosesAnswers, Mood::kBusy, Mood::kCuts, Mood::kLosesAnswers});
  owner.calls.Ask(
      scheduler::MoveBox{.box = "a", .pool = "pool", .incarnation = {}});
  owner.calls.Ask(
      scheduler::MoveBox{.box = "b", .pool = "pool", .incarnation = {}});
  BOOST_TEST(owner.Records(2));
  BOOST_TEST(owner.recorded == kBoth);
  BOOST_TEST(!owner.fenced);
}

// Every write is made and none is answered: the row tells what was made.
BOOST_AUTO_TEST_CASE(RowTellsWhatLostAnswersDoNot) {
  StoreBench bench;
  bench.standin.SetMood(StoreStandin::Mood::kLosesAnswers);
  Owner owner(bench, 1);
  BOOST_REQUIRE(owner.Claims());
  owner.calls.Ask(
      scheduler::MoveBox{.box = "a", .pool = "pool", .incarnation = {}});
  BOOST_TEST(owner.Records(1));
}

// A row that cannot be read is written anew, and claimed.
BOOST_AUTO_TEST_CASE(RowThatCannotBeReadIsClaimed) {
  StoreBench bench;
  bench.standin.Put(SmallRow(kBoxTable, kBoxKey, {}), "{\"epoch\":[]");
  Owner owner(bench, 4);
  BOOST_TEST(owner.Claims());
  BOOST_TEST(owner.inherited.empty());
}

}  // namespace quartzhoist::entry
