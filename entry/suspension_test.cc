// Tests of a suspended machine, whose steady clock stops while time passes.

#include <chrono>
#include <cstdint>
#include <string>

#include <boost/test/unit_test.hpp>

#include "base/clock.h"
#include "entry/ownerships.h"
#include "platform/workers.h"
#include "testing/raw_server.h"
#include "testing/store_bench.h"

namespace quartzhoist::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

base::Micros suspended{};

base::Micros ClockWithSuspensions() {
  return base::BootTimeNow() + suspended;
}

// Adds the suspended time to the monotonic clock while this object exists. The
// loop's timers do not count it.
struct SuspendableClock {
  SuspendableClock() {
    suspended = {};
    base::ReadClockFrom(&ClockWithSuspensions);
  }
  ~SuspendableClock() { base::ReadClockFrom(&base::BootTimeNow); }
};

constexpr seconds kSuspensions[] = {seconds(3), seconds(10), seconds(60)};

BOOST_AUTO_TEST_CASE(ClockCountsTheTimeOfASuspension) {
  const base::Micros before = base::BootTimeNow();
  const base::Micros now = base::MonotonicNow();
  BOOST_CHECK(before <= now);
  BOOST_CHECK(now <= base::BootTimeNow());
}

// The machine is suspended after a command was decided and before it is sent:
// on a new connection, on a kept one, and after another command.
BOOST_AUTO_TEST_CASE(CommandDecidedBeforeASuspensionIsNotSent) {
  const SuspendableClock clock;
  base::Loop loop;
  // The answer to a start, and to the look before the first one.
  testing::RawServer server(loop, [](int) {
    return testing::RawServer::Answer{
        .bytes =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            "Content-Length: 40\r\n\r\n"
            R"({"clockMs":1,"running":[],"finished":[]})"};
  });
  http::Client client(loop);
  base::Micros valid_until{};
  platform::Workers workers(client,
                            [&] { return base::MonotonicNow() < valid_until; });
  const platform::Addressee to{
      .worker = {.id = "w"},
      .address = "127.0.0.1:" + std::to_string(server.port()),
      .epoch = 1};
  const auto send = [&](base::Micros suspension_before_sending) {
    valid_until = base::MonotonicNow() + milliseconds(1150);
    std::optional<scheduler::CommandOutcome> outcome;
    workers.Start(
        to,
        {.worker = {.id = "w"},
         .task = {.job = "job"},
         .run = 1,
         .text = "text"},
        1000, [&](const platform::StartResult& got) { outcome = got.outcome; });
    suspended += suspension_before_sending;
    while (!outcome)
      loop.RunOnce();
    return *outcome;
  };
  for (const seconds suspension : kSuspensions)
    BOOST_CHECK(send(suspension) == scheduler::CommandOutcome::kNotSent);
  BOOST_TEST(server.requests() == 0);
  BOOST_CHECK(send({}) == scheduler::CommandOutcome::kDone);
  for (const seconds suspension : kSuspensions)
    BOOST_CHECK(send(suspension) == scheduler::CommandOutcome::kNotSent);
  BOOST_TEST(server.requests() == 2);
}

// After a suspension the ownership must not count as valid, even before any
// timer has fired, until it has been renewed in the store.
BOOST_AUTO_TEST_CASE(SuspendedOwnershipIsInvalidUntilRenewed) {
  const SuspendableClock clock;
  testing::StoreBench bench;
  int losses = 0;
  Ownerships ownerships(bench.loop, bench.store, "a", 0.25, 1, 7,
                        {.on_gained = [](int, std::uint64_t, base::Micros) {},
                         .on_lost = [&](int) { ++losses; },
                         .on_renewed = [](int, base::Micros) {},
                         .load = [](int) { return ShardLoad(); },
                         .on_store_answered = [] {}});
  const auto is_valid = [&] {
    return ownerships.At(0).holds() &&
           base::MonotonicNow() < ownerships.At(0).valid_until();
  };
  BOOST_REQUIRE(bench.Within(seconds(10), is_valid));
  for (const seconds suspension : kSuspensions) {
    suspended += suspension;
    BOOST_TEST(!is_valid());
    BOOST_TEST(bench.Within(seconds(10), is_valid));
  }
}

}  // namespace
}  // namespace quartzhoist::entry
