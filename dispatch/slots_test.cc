// When a target's slot may be used again: after a cancelled try, and after
// refusals.

#include <algorithm>
#include <memory>

#include <boost/test/unit_test.hpp>

#include "dispatch/dispatcher.h"
#include "dispatch/test_routes.h"

namespace quartzhoist::dispatch {
namespace {

using base::Micros;
using std::chrono::milliseconds;
using std::chrono::seconds;

int SendsAmong(const Actions& actions) {
  return static_cast<int>(
      std::count_if(actions.begin(), actions.end(), [](const Action& action) {
        return std::holds_alternative<SendTry>(action);
      }));
}

// The target has not read yet that its caller is gone, and would refuse.
BOOST_AUTO_TEST_CASE(TheSlotOfACancelledTryIsFreeALittleLater) {
  Dispatcher dispatcher(1);
  Actions actions;
  Micros now = seconds(1);
  dispatcher.Install(MakeRoutes(1, 1), now, actions);
  const auto arrive = [&] {
    return dispatcher.Arrive({.service = "fast", .deadline = now + seconds(9)},
                             now, actions);
  };
  const RequestId first = arrive();
  arrive();
  BOOST_TEST(SendsAmong(actions) == 1);
  dispatcher.Cancel(first, now, actions);
  BOOST_TEST(SendsAmong(actions) == 1);
  now += milliseconds(50);
  dispatcher.Tick(now, actions);
  BOOST_TEST(SendsAmong(actions) == 1);
  now += milliseconds(150);
  dispatcher.Tick(now, actions);
  BOOST_TEST(SendsAmong(actions) == 2);
}

// A box that leaves is drained only once cancelled work has ended there too.
BOOST_AUTO_TEST_CASE(ADrainWaitsForCancelledTries) {
  auto routes = MakeRoutes(1, 1);
  Dispatcher dispatcher(1);
  Actions actions;
  Micros now = seconds(1);
  dispatcher.Install(std::make_shared<Routes>(*routes), now, actions);
  const RequestId request = dispatcher.Arrive(
      {.service = "fast", .deadline = now + seconds(9)}, now, actions);
  routes->targets[0].leaving = true;
  dispatcher.Install(std::make_shared<Routes>(*routes), now, actions);
  dispatcher.Cancel(request, now, actions);
  const auto drained = [&] {
    return std::any_of(actions.begin(), actions.end(),
                       [](const Action& action) {
                         return std::holds_alternative<ReportDrained>(action);
                       });
  };
  BOOST_TEST(!drained());
  now += milliseconds(200);
  dispatcher.Tick(now, actions);
  BOOST_TEST(drained());
}

// A full target is asked again after 20 ms, then only after 40.
BOOST_AUTO_TEST_CASE(RefusalsInARowAreWaitedOutLonger) {
  Dispatcher dispatcher(1);
  Actions actions;
  Micros now = seconds(1);
  dispatcher.Install(MakeRoutes(1, 1), now, actions);
  const RequestId request = dispatcher.Arrive(
      {.service = "fast", .deadline = now + seconds(9), .repeatable = true},
      now, actions);
  const auto sends_after = [&](Micros span) {
    now += span;
    dispatcher.Tick(now, actions);
    return SendsAmong(actions);
  };
  const auto refuse = [&] {
    dispatcher.Settle({.request = request, .outcome = TryOutcome::kRefused},
                      now, actions);
  };
  refuse();
  BOOST_TEST(sends_after(milliseconds(10)) == 1);
  BOOST_TEST(sends_after(milliseconds(15)) == 2);
  refuse();
  BOOST_TEST(sends_after(milliseconds(25)) == 2);
  BOOST_TEST(sends_after(milliseconds(20)) == 3);
}

}  // namespace
}  // namespace quartzhoist::dispatch
