#include "http/connection_table.h"

#include <algorithm>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace quartzhoist::http {
namespace {

using base::Micros;
using Handle = ConnectionTable::Handle;

constexpr ConnectionLimits kLimits{.connections = 3,
                                   .held_bytes = 100,
                                   .transfer_time = Micros(10),
                                   .idle_time = Micros(20)};

Handle AddIn(ConnectionTable& table, Phase phase, std::size_t held, int now) {
  const Handle added = table.Add(-1, Micros(now));
  table.SetPhase(added, phase, Micros(now));
  table.SetHeld(added, held);
  return added;
}

BOOST_AUTO_TEST_CASE(OldestConnectionMakesRoomForOneTooMany) {
  ConnectionTable table(kLimits);
  const Handle first = AddIn(table, Phase::kReceiving, 0, 1);
  AddIn(table, Phase::kIdle, 0, 2);
  AddIn(table, Phase::kSending, 0, 3);
  BOOST_TEST(!table.OverConnections());
  AddIn(table, Phase::kIdle, 0, 4);
  BOOST_REQUIRE(table.OverConnections());
  BOOST_TEST((*table.OverConnections() == first));
  table.Remove(first);
  BOOST_TEST(!table.OverConnections());
}

BOOST_AUTO_TEST_CASE(BeginOfAPhaseMakesAConnectionTheYoungest) {
  ConnectionTable table(kLimits);
  const Handle first = AddIn(table, Phase::kIdle, 0, 1);
  const Handle second = AddIn(table, Phase::kIdle, 0, 2);
  AddIn(table, Phase::kIdle, 0, 3);
  AddIn(table, Phase::kIdle, 0, 4);
  table.SetPhase(first, Phase::kReceiving, Micros(5));
  BOOST_TEST((*table.OverConnections() == second));
}

BOOST_AUTO_TEST_CASE(OldestTransferMakesRoomForBytes) {
  ConnectionTable table(kLimits);
  AddIn(table, Phase::kIdle, 0, 1);
  const Handle second = AddIn(table, Phase::kReceiving, 60, 2);
  const Handle third = AddIn(table, Phase::kSending, 40, 3);
  BOOST_TEST(!table.OverBytes());
  table.SetHeld(third, 41);
  BOOST_TEST((*table.OverBytes() == second));
  table.Remove(second);
  BOOST_TEST(table.held() == 41U);
}

// Guards against an answer that is never sent since it is larger than all that
// connections may hold.
BOOST_AUTO_TEST_CASE(OneTransferAloneMayHoldMoreThanTheLimit) {
  ConnectionTable table(kLimits);
  AddIn(table, Phase::kIdle, 0, 1);
  AddIn(table, Phase::kSending, 500, 2);
  BOOST_TEST(!table.OverBytes());
}

BOOST_AUTO_TEST_CASE(RequestsOfHandlersAreNeverClosedAndTakeTheRoom) {
  ConnectionTable table(kLimits);
  for (int i = 0; i < 5; ++i)
    AddIn(table, Phase::kServing, 18, i);
  BOOST_TEST(!table.OverConnections());
  BOOST_TEST(!table.Expired(Micros(1000)));
  BOOST_TEST(table.HasRoomFor(10));
  BOOST_TEST(!table.HasRoomFor(11));
  table.AddDetached(10);
  BOOST_TEST(table.held() == 100U);
  BOOST_TEST(!table.HasRoomFor(1));
  table.RemoveDetached(10);
  BOOST_TEST(table.HasRoomFor(10));
}

BOOST_AUTO_TEST_CASE(TransfersAndIdleConnectionsExpire) {
  ConnectionTable table(kLimits);
  const Handle idle = AddIn(table, Phase::kIdle, 0, 0);
  const Handle receiving = AddIn(table, Phase::kReceiving, 5, 1);
  BOOST_TEST(!table.Expired(Micros(11)));
  BOOST_TEST((*table.Expired(Micros(12)) == receiving));
  // Bytes do not prolong it.
  table.SetHeld(receiving, 6);
  BOOST_TEST((*table.Expired(Micros(12)) == receiving));
  table.Remove(receiving);
  BOOST_TEST(!table.Expired(Micros(20)));
  BOOST_TEST((*table.Expired(Micros(21)) == idle));
}

// After any sequence of changes, closing the connections that the table names
// restores the limits, except for requests in service and one transfer alone.
BOOST_AUTO_TEST_CASE(LimitsHoldAfterAnySequence) {
  BOOST_TEST(rc::check([] {
    ConnectionTable table(kLimits);
    std::vector<Handle> open;
    int now = 0;
    const auto close = [&](Handle entry) {
      std::erase(open, entry);
      table.Remove(entry);
    };
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      ++now;
      const bool opens = open.empty() || *rc::gen::inRange(0, 3) == 0;
      if (opens)
        open.push_back(table.Add(-1, Micros(now)));
      const Handle any = open[*rc::gen::inRange<std::size_t>(0, open.size())];
      table.SetPhase(any, static_cast<Phase>(*rc::gen::inRange(0, 4)),
                     Micros(now));
      table.SetHeld(any, *rc::gen::inRange<std::size_t>(0, 80));
      while (const auto entry = table.OverConnections())
        close(*entry);
      while (const auto entry = table.OverBytes())
        close(*entry);
      std::size_t served = 0;
      std::size_t served_bytes = 0;
      std::size_t transfers = 0;
      std::size_t held = 0;
      for (const Handle entry : open) {
        held += entry->held;
        if (entry->phase == Phase::kServing) {
          ++served;
          served_bytes += entry->held;
        } else if (entry->phase != Phase::kIdle) {
          ++transfers;
        }
      }
      RC_ASSERT(table.size() == open.size());
      RC_ASSERT(table.held() == held);
      RC_ASSERT(open.size() <= std::max(kLimits.connections, served));
      RC_ASSERT(held <= kLimits.held_bytes || transfers <= 1);
    }
  }));
}

}  // namespace
}  // namespace quartzhoist::http
