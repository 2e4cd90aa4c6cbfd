#include <map>
#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "membership/membership.h"

namespace quartzhoist::membership {
namespace {

using base::Micros;
using std::chrono::milliseconds;
using std::chrono::seconds;

Sign SignOf(const std::string& id, std::uint64_t incarnation) {
  return {.sender = {.id = id, .zone = "z", .incarnation = incarnation},
          .address = id,
          .revision = incarnation};
}

Membership Make() {
  return Membership({.id = "me", .zone = "z", .incarnation = 1}, {"seed"});
}

BOOST_AUTO_TEST_CASE(SilentMembersAreLostAndComeBack) {
  Membership members = Make();
  Micros now = seconds(100);
  BOOST_CHECK(members.Hear(SignOf("a", 1), now) == Change::kJoined);
  BOOST_TEST(members.LiveIn("z").size() == 2u);
  std::size_t lost = 0;
  for (int i = 0; i < 10; ++i) {
    now += Membership::kTickPeriod;
    lost += members.Tick(now).size();
  }
  BOOST_TEST(lost == 1u);
  BOOST_TEST(members.LiveIn("z").size() == 1u);
  BOOST_CHECK(members.Hear(SignOf("a", 1), now) == Change::kJoined);
}

BOOST_AUTO_TEST_CASE(OneThatWasFrozenHoldsNobodyDead) {
  Membership members = Make();
  Micros now = seconds(100);
  members.Tick(now);
  members.Hear(SignOf("a", 1), now);
  now += seconds(600);
  BOOST_TEST(members.Tick(now).empty());
  BOOST_TEST(members.last_pause().count() > 0);
  BOOST_TEST(members.LiveIn("z").size() == 2u);
}

BOOST_AUTO_TEST_CASE(PredecessorsMessagesChangeNothing) {
  Membership members = Make();
  const Micros now = seconds(100);
  Sign old = SignOf("a", 1);
  old.drained["box"] = 9;
  members.Hear(SignOf("a", 2), now);
  BOOST_CHECK(members.Hear(old, now) == Change::kNone);
  // The process that now runs has acknowledged no drain.
  BOOST_TEST(members.members().at("a").drained.empty());
  BOOST_TEST(members.members().at("a").revision == 2u);
}

BOOST_AUTO_TEST_CASE(StoppingMemberIsLostAtOnce) {
  Membership members = Make();
  const Micros now = seconds(100);
  members.Hear(SignOf("a", 1), now);
  Sign last = SignOf("a", 1);
  last.stopping = true;
  BOOST_CHECK(members.Hear(last, now) == Change::kLost);
}

BOOST_AUTO_TEST_CASE(SeedsAreToldUntilTheyAnswer) {
  Membership members = Make();
  Micros now = seconds(100);
  BOOST_TEST(members.DueHeartbeats(now) == std::vector<std::string>{"seed"});
  members.Hear(SignOf("seed", 1), now);
  now += seconds(30);
  const std::vector<std::string> due = members.DueHeartbeats(now);
  BOOST_TEST(due == std::vector<std::string>{"seed"});
  BOOST_TEST(members.DueHeartbeats(now).empty());
}

// Of members that hear each other exactly one answers for a key; of two
// halves that do not, at least one in each.
RC_BOOST_PROP(SomebodyAnswersForEveryKey, ()) {
  const int count = *rc::gen::inRange(1, 9);
  std::vector<std::string> ids;
  for (int i = 0; i < count; ++i)
    ids.push_back("m" + std::to_string(i));
  const std::string key = "pool/" + std::to_string(*rc::gen::inRange(0, 999));
  const int cut = *rc::gen::inRange(0, count + 1);
  const std::vector<std::string> left(ids.begin(), ids.begin() + cut);
  const std::vector<std::string> right(ids.begin() + cut, ids.end());
  const auto answering = [&key](const std::vector<std::string>& heard) {
    int answers = 0;
    for (const std::string& id : heard) {
      const Membership member({.id = id, .zone = "z"}, {});
      answers += member.Answers(key, heard);
    }
    return answers;
  };
  RC_ASSERT(answering(ids) == 1);
  RC_ASSERT(left.empty() || answering(left) == 1);
  RC_ASSERT(right.empty() || answering(right) == 1);
}

// Signs late, doubled and out of order: a member's incarnation never falls.
RC_BOOST_PROP(IncarnationsNeverFall, ()) {
  Membership members = Make();
  Micros now = seconds(100);
  std::map<std::string, std::uint64_t> highest;
  for (int i = 0; i < 50; ++i) {
    const std::string id = *rc::gen::element<std::string>("a", "b");
    const auto incarnation =
        static_cast<std::uint64_t>(*rc::gen::inRange(1, 6));
    members.Hear(SignOf(id, incarnation), now);
    highest[id] = std::max(highest[id], incarnation);
    RC_ASSERT(members.members().at(id).incarnation == highest[id]);
    now += milliseconds(*rc::gen::inRange(0, 2000));
    members.Tick(now);
  }
}

}  // namespace
}  // namespace quartzhoist::membership
