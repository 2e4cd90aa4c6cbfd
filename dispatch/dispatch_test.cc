// The dispatcher under generated events: arrivals, answers of every kind,
// cancellations, tables that change, members that come and go.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "dispatch/dispatcher.h"
#include "dispatch/test_routes.h"

namespace quartzhoist::dispatch {
namespace {

using base::Micros;
using base::Verdict;
using std::chrono::milliseconds;
using std::chrono::seconds;

// What the world outside the dispatcher knows of one request.
struct Known {
  bool repeatable = false;
  bool ended = false;
  bool may_have_run = false;
  bool in_flight = false;
  std::string target;
  int tries = 0;
};

// Drives a dispatcher and holds every action against the promises.
class World {
 public:
  explicit World(int target_count)
      : dispatcher(1), routes(MakeRoutes(target_count)) {
    this->now = seconds(1);
    this->Install();
  }

  void Install() {
    this->dispatcher.Install(std::make_shared<Routes>(*this->routes), this->now,
                             this->actions);
    this->CheckActions();
  }

  void Arrive(bool urgent, bool repeatable, Micros time_left) {
    const RequestId id =
        this->dispatcher.Arrive({.service = urgent ? "fast" : "slow",
                                 .deadline = this->now + time_left,
                                 .repeatable = repeatable},
                                this->now, this->actions);
    RC_ASSERT(!this->known.contains(id));
    this->known[id].repeatable = repeatable;
    this->CheckActions();
  }

  void Settle(TryOutcome outcome) {
    const RequestId id = this->PickInFlight();
    if (id == 0)
      return;
    Known& request = this->known[id];
    request.in_flight = false;
    --this->in_flight[request.target];
    if (outcome == TryOutcome::kLost || outcome == TryOutcome::kFailedAnswer)
      request.may_have_run = true;
    this->last_outcome = outcome;
    this->dispatcher.Settle({.request = id, .outcome = outcome}, this->now,
                            this->actions);
    this->CheckActions();
  }

  // An answer that comes when nobody waits for it any more.
  void SettleLate() {
    for (const auto& [id, request] : this->known) {
      if (!request.ended)
        continue;
      this->dispatcher.Settle({.request = id, .outcome = TryOutcome::kAnswered},
                              this->now, this->actions);
      RC_ASSERT(this->actions.empty());
      return;
    }
  }

  void Cancel() {
    const RequestId id = this->PickOpen();
    if (id == 0)
      return;
    Known& request = this->known[id];
    if (request.in_flight)
      --this->in_flight[request.target];
    request.in_flight = false;
    request.ended = true;
    this->dispatcher.Cancel(id, this->now, this->actions);
    this->CheckActions();
  }

  void Pass(Micros span) {
    this->now += span;
    this->dispatcher.Tick(this->now, this->actions);
    this->CheckActions();
  }

  void Drain(std::size_t index) {
    Target& target = this->routes->targets[index];
    target.leaving = !target.leaving;
    ++target.epoch;
    this->Install();
  }

  // Everything that is open ends once the world answers.
  void Finish() {
    for (int i = 0; i < 10'000 && this->OpenCount() > 0; ++i) {
      if (this->PickInFlight() != 0)
        this->Settle(TryOutcome::kAnswered);
      else
        this->Pass(milliseconds(100));
    }
    RC_ASSERT(this->OpenCount() == 0);
    RC_ASSERT(this->dispatcher.open_requests() == 0);
  }

 private:
  void CheckActions() {
    for (const Action& action : this->actions)
      std::visit([this](const auto& typed) { this->Check(typed); }, action);
    this->actions.clear();
    for (const Target& target : this->routes->targets)
      RC_ASSERT(this->in_flight[target.name] <= target.share);
  }

  void Check(const SendTry& send) {
    Known& request = this->known[send.request];
    const std::string name = this->dispatcher.TargetAt(send.target).name;
    RC_ASSERT(!request.ended && !request.in_flight);
    // What may have run is sent again only if it may be repeated.
    RC_ASSERT(request.repeatable || !request.may_have_run);
    RC_ASSERT(++request.tries <= 3);
    RC_ASSERT(send.timeout > Micros{});
    const auto target =
        std::find_if(this->routes->targets.begin(), this->routes->targets.end(),
                     [&](const Target& entry) { return entry.name == name; });
    RC_ASSERT(target != this->routes->targets.end());
    RC_ASSERT(!target->leaving);
    request.in_flight = true;
    request.target = name;
    ++this->in_flight[name];
  }

  void Check(const PassAnswer& pass) {
    Known& request = this->known[pass.request];
    RC_ASSERT(!request.ended && !request.in_flight && request.tries > 0);
    RC_ASSERT(this->last_outcome == TryOutcome::kAnswered ||
              this->last_outcome == TryOutcome::kFailedAnswer);
    request.ended = true;
  }

  void Check(const Refuse& refuse) {
    Known& request = this->known[refuse.request];
    RC_ASSERT(!request.ended && !request.in_flight);
    // "Not run" is said of nothing that may have run, and the other way round.
    RC_ASSERT((refuse.verdict == Verdict::kNotRun) == !request.may_have_run);
    RC_ASSERT(refuse.retry_after > Micros{});
    request.ended = true;
  }

  void Check(const ReportDrained& report) {
    const Target& target = this->dispatcher.TargetAt(report.target);
    RC_ASSERT(target.leaving);
    RC_ASSERT(this->in_flight[target.name] == 0);
  }

  void Check(const ReportHealth&) {}

  RequestId Pick(bool in_flight_only) {
    std::vector<RequestId> ids;
    for (const auto& [id, request] : this->known) {
      if (!request.ended && (request.in_flight || !in_flight_only))
        ids.push_back(id);
    }
    if (ids.empty())
      return 0;
    return ids[static_cast<std::size_t>(this->picks++) % ids.size()];
  }
  RequestId PickInFlight() { return this->Pick(true); }
  RequestId PickOpen() { return this->Pick(false); }

  std::size_t OpenCount() {
    return static_cast<std::size_t>(
        std::count_if(this->known.begin(), this->known.end(),
                      [](const auto& entry) { return !entry.second.ended; }));
  }

  Dispatcher dispatcher;
  std::shared_ptr<Routes> routes;
  Actions actions;
  std::map<RequestId, Known> known;
  std::map<std::string, int> in_flight;
  TryOutcome last_outcome = TryOutcome::kAnswered;
  Micros now{};
  int picks = 0;
};

RC_BOOST_PROP(EveryRequestEndsOnceAndRightly, ()) {
  const int targets = *rc::gen::inRange(1, 5);
  World world(targets);
  const int steps = *rc::gen::inRange(1, 200);
  for (int i = 0; i < steps; ++i) {
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
      case 1:
      case 2:
        world.Arrive(*rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(),
                     milliseconds(*rc::gen::inRange(1, 3000)));
        break;
      case 3:
      case 4:
        world.Settle(*rc::gen::element(
            TryOutcome::kAnswered, TryOutcome::kFailedAnswer,
            TryOutcome::kRefused, TryOutcome::kNotSent, TryOutcome::kLost));
        break;
      case 5:
        world.Pass(milliseconds(*rc::gen::inRange(1, 500)));
        break;
      case 6:
        world.Cancel();
        world.SettleLate();
        break;
      default:
        world.Drain(static_cast<std::size_t>(*rc::gen::inRange(0, targets)));
    }
  }
  world.Finish();
}

// A pool whose targets run `ids` in order; counts starts by class.
struct Starts {
  int urgent = 0;
  int patient = 0;
};

Starts RunBacklog(int urgent, int patient, int starts) {
  auto routes = MakeRoutes(1, 1);
  for (table::ServiceRow& service : routes->services)
    service.queue = 1000;
  Dispatcher dispatcher(1);
  Actions actions;
  Micros now = seconds(1);
  dispatcher.Install(routes, now, actions);
  std::map<RequestId, bool> is_urgent;
  const auto arrive = [&](const char* service, bool is_fast) {
    is_urgent[dispatcher.Arrive(
        {.service = service, .deadline = now + seconds(1000)}, now, actions)] =
        is_fast;
  };
  for (int i = 0; i < patient; ++i)
    arrive("slow", false);
  for (int i = 0; i < urgent; ++i)
    arrive("fast", true);
  Starts count;
  for (int i = 0; i < starts; ++i) {
    const auto send =
        std::find_if(actions.begin(), actions.end(), [](const Action& action) {
          return std::holds_alternative<SendTry>(action);
        });
    if (send == actions.end())
      break;
    const RequestId id = std::get<SendTry>(*send).request;
    ++(is_urgent[id] ? count.urgent : count.patient);
    actions.clear();
    now += milliseconds(1);
    dispatcher.Settle({.request = id}, now, actions);
  }
  return count;
}

BOOST_AUTO_TEST_CASE(UrgentGoesFirstAndPatientKeepsItsShare) {
  const Starts starts = RunBacklog(500, 500, 201);
  BOOST_TEST(starts.urgent >= 175);
  BOOST_TEST(starts.patient >= 18);
}

BOOST_AUTO_TEST_CASE(WhatCannotMeetItsDeadlineIsRefusedAtOnce) {
  Dispatcher dispatcher(1);
  Actions actions;
  Micros now = seconds(1);
  dispatcher.Install(MakeRoutes(1, 1), now, actions);
  // One request teaches that the service takes 100 ms.
  const RequestId first = dispatcher.Arrive(
      {.service = "fast", .deadline = now + seconds(1)}, now, actions);
  now += milliseconds(100);
  actions.clear();
  dispatcher.Settle({.request = first}, now, actions);
  // Twelve more with 500 ms each: one runs, some wait, the rest cannot make it.
  actions.clear();
  int refused = 0;
  for (int i = 0; i < 12; ++i) {
    dispatcher.Arrive({.service = "fast", .deadline = now + milliseconds(500)},
                      now, actions);
    for (const Action& action : actions) {
      const auto* refusal = std::get_if<Refuse>(&action);
      if (!refusal)
        continue;
      ++refused;
      BOOST_CHECK(refusal->reason == Reason::kDeadline);
      BOOST_CHECK(refusal->verdict == Verdict::kNotRun);
      BOOST_CHECK(refusal->retry_after > Micros{});
    }
    actions.clear();
  }
  BOOST_TEST(refused >= 6);
  BOOST_TEST(refused <= 8);
}

BOOST_AUTO_TEST_CASE(OutageDoesNotMultiplyTheLoad) {
  Dispatcher dispatcher(1);
  Actions actions;
  Micros now = seconds(1);
  dispatcher.Install(MakeRoutes(4, 8), now, actions);
  constexpr int kRequests = 1000;
  int sent = 0;
  for (int i = 0; i < kRequests; ++i) {
    now += milliseconds(1);
    dispatcher.Arrive(
        {.service = "fast", .deadline = now + seconds(5), .repeatable = true},
        now, actions);
    // Everything fails at once, whatever is tried.
    for (std::size_t k = 0; k < actions.size(); ++k) {
      if (const auto* send = std::get_if<SendTry>(&actions[k])) {
        ++sent;
        dispatcher.Settle(
            {.request = send->request, .outcome = TryOutcome::kLost}, now,
            actions);
      }
    }
    actions.clear();
  }
  BOOST_TEST(sent <= kRequests * 115 / 100 + 20);
}

// A worker that fails everything at once is left alone; not more than half of
// a pool is.
RC_BOOST_PROP(FailingWorkersAreEjectedWithinBounds, ()) {
  constexpr int kTargets = 8;
  const int failing = *rc::gen::inRange(0, kTargets + 1);
  Dispatcher dispatcher(1);
  Actions actions;
  Micros now = seconds(1);
  dispatcher.Install(MakeRoutes(kTargets, 8), now, actions);
  int late_to_failing = 0;
  int late = 0;
  for (int i = 0; i < 600; ++i) {
    now += milliseconds(1);
    dispatcher.Tick(now, actions);
    dispatcher.Arrive({.service = "fast", .deadline = now + seconds(5)}, now,
                      actions);
    for (std::size_t k = 0; k < actions.size(); ++k) {
      const auto* send = std::get_if<SendTry>(&actions[k]);
      if (!send)
        continue;
      const int index =
          std::stoi(dispatcher.TargetAt(send->target).name.substr(1));
      const bool fails = index < failing;
      late += i >= 300;
      late_to_failing += i >= 300 && fails;
      dispatcher.Settle({.request = send->request,
                         .outcome = fails ? TryOutcome::kFailedAnswer
                                          : TryOutcome::kAnswered},
                        now, actions);
    }
    actions.clear();
    int ejected = 0;
    for (const TargetView& view : dispatcher.ViewTargets())
      ejected += view.health == HealthState::kEjected;
    RC_ASSERT(ejected <= kTargets / 2);
  }
  if (failing <= kTargets / 2)
    RC_ASSERT(late_to_failing * 20 <= late);
}

// The shares of all who see the same members add up to the target's slots.
RC_BOOST_PROP(SharesAddUpToTheSlots, ()) {
  const int members = *rc::gen::inRange(1, 20);
  const int slots = *rc::gen::inRange(1, 30);
  Sharers sharers{.zone = "z"};
  for (int i = 0; i < members; ++i)
    sharers.zone_members.push_back("m" + std::to_string(i));
  int total = 0;
  for (const std::string& member : sharers.zone_members) {
    sharers.self = member;
    total += ShareOfSlots("target", slots, sharers);
  }
  RC_ASSERT(total == slots);
}

BOOST_AUTO_TEST_CASE(OtherZonesAreUsedOnlyWhenTheOwnHasNone) {
  auto routes = MakeRoutes(2);
  routes->targets[1].local = false;
  Dispatcher dispatcher(1);
  Actions actions;
  Micros now = seconds(1);
  dispatcher.Install(routes, now, actions);
  const auto target_of_next = [&]() -> std::string {
    actions.clear();
    const RequestId id = dispatcher.Arrive(
        {.service = "fast", .deadline = now + seconds(1)}, now, actions);
    std::string name;
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<SendTry>(&action))
        name = dispatcher.TargetAt(send->target).name;
    }
    dispatcher.Cancel(id, now, actions);
    now += seconds(1);  // its slot is free again
    return name;
  };
  for (int i = 0; i < 10; ++i)
    BOOST_TEST(target_of_next() == "t0");
  routes->targets[0].leaving = true;
  dispatcher.Install(std::make_shared<Routes>(*routes), now, actions);
  BOOST_TEST(target_of_next() == "t1");
}

}  // namespace
}  // namespace quartzhoist::dispatch
