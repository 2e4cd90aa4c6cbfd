// How saves go to a store of which some parts are away, replayed: the height of
// demand of a shard, and a store that answers in 8 ms.

#include <algorithm>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "entry/save_policy.h"
#include "entry/save_queue.h"
#include "entry/tables.h"

namespace quartzhoist::entry {
namespace {

using platform::WriteOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

// One owner's saves against parts of which some refuse.
struct Replay {
  static constexpr base::Micros kAnswer = milliseconds(8);
  static constexpr base::Micros kTurn = milliseconds(10);
  static constexpr base::Micros kSaveAgain = milliseconds(200);
  static constexpr int kCallsAtOnce = 2;  // over several parts

  struct Call {
    base::Micros answered{};
    base::Micros sent{};
    std::vector<scheduler::SaveProgress> batch;
  };

  static std::string PartOf(const std::string& job) {
    return ProgressRow(job).part;
  }

  void HandIn() {
    const std::string job = std::to_string(++this->jobs);
    this->saves.Add({.job = job, .text = "progress"});
    this->waiting.emplace(job);
  }

  void Answer(const Call& call) {
    std::set<std::string> parts;
    for (const scheduler::SaveProgress& save : call.batch)
      parts.insert(PartOf(save.job));
    const bool refused = std::any_of(
        parts.begin(), parts.end(),
        [this](const auto& part) { return this->away.contains(part); });
    this->saves.Settled(call.batch);
    this->policy.Answered(
        {.outcome = refused ? WriteOutcome::kNotDone : WriteOutcome::kDone},
        parts.size(), this->now - call.sent, this->now);
    for (const scheduler::SaveProgress& save : call.batch) {
      if (refused)
        this->again.emplace_back(this->now + kSaveAgain, save);
      else
        this->waiting.erase(save.job);
    }
  }

  void Turn() {
    this->now += kTurn;
    while (!this->calls.empty() && this->calls.front().answered <= this->now) {
      const Call call = this->calls.front();
      this->calls.pop_front();
      this->Answer(call);
    }
    while (!this->again.empty() && this->again.front().first <= this->now) {
      this->saves.Add(this->again.front().second);
      this->again.pop_front();
    }
    while (!this->saves.empty() && this->policy.may_write(this->now)) {
      const bool one_part = this->policy.one_part(this->now);
      if (!one_part && this->calls.size() >= kCallsAtOnce)
        return;
      std::vector<scheduler::SaveProgress> batch = this->saves.Take(one_part);
      if (batch.empty())
        return;
      ++this->call_count;
      this->calls.push_back({.answered = this->now + kAnswer,
                             .sent = this->now,
                             .batch = std::move(batch)});
    }
  }

  // Jobs of parts that are there, not saved yet.
  std::ptrdiff_t HeldUp() const {
    return std::count_if(this->waiting.begin(), this->waiting.end(),
                         [this](const std::string& job) {
                           return !this->away.contains(PartOf(job));
                         });
  }

  base::Micros now = seconds(50);
  SavePolicy policy{true};
  SaveQueue saves;
  std::set<std::string> away;
  std::set<std::string> waiting;
  std::deque<Call> calls;
  std::deque<std::pair<base::Micros, scheduler::SaveProgress>> again;
  int jobs = 0;
  int call_count = 0;
};

// A height of demand: 200 saves a second while a third of the parts is away for
// 5 s. The ownership is confirmed throughout.
BOOST_AUTO_TEST_CASE(PartsThatAreAwayHoldUpNoOthers) {
  Replay replay;
  for (int job = 0; job < 3000; job += 3)
    replay.away.insert(Replay::PartOf(std::to_string(job % 61)));
  std::ptrdiff_t most_held_up = 0;
  for (int turn = 0; turn < 500; ++turn) {
    replay.policy.Confirmed(replay.now);
    replay.HandIn();
    replay.HandIn();
    replay.Turn();
    if (turn > 50)
      most_held_up = std::max(most_held_up, replay.HeldUp());
  }
  BOOST_TEST(!replay.away.empty());
  BOOST_TEST(most_held_up < 20);
  // Back again: few calls soon after.
  replay.away.clear();
  for (int turn = 0; turn < 300; ++turn) {
    replay.policy.Confirmed(replay.now);
    replay.Turn();
  }
  BOOST_TEST(replay.waiting.empty());
  BOOST_TEST(!replay.policy.one_part(replay.now));
}

// The part that holds the ownership is away, the jobs' are there.
BOOST_AUTO_TEST_CASE(SavesGoOnWhileOnlyTheOwnershipsPartIsAway) {
  Replay replay;
  replay.policy.Confirmed(replay.now);
  for (int turn = 0; turn < 500; ++turn) {
    replay.HandIn();
    replay.Turn();
  }
  BOOST_TEST(replay.HeldUp() < 20);
}

// All of it is away: after 1.2 s nothing is asked of it any more.
BOOST_AUTO_TEST_CASE(StoreThatIsAwayIsNotFlooded) {
  Replay replay;
  for (int job = 0; job < 3000; ++job)
    replay.away.insert(Replay::PartOf(std::to_string(job)));
  replay.policy.Confirmed(replay.now);
  for (int turn = 0; turn < 150; ++turn) {
    replay.HandIn();
    replay.Turn();
  }
  const int calls = replay.call_count;
  for (int turn = 0; turn < 350; ++turn) {
    replay.HandIn();
    replay.Turn();
  }
  BOOST_TEST(replay.call_count == calls);
}

// A store that is only asked too often is not asked more often for that.
BOOST_AUTO_TEST_CASE(ThrottledWritesAreNotSplit) {
  SavePolicy policy(true);
  policy.Answered({.outcome = WriteOutcome::kNotDone, .throttled = true}, 9,
                  milliseconds(5), seconds(9));
  BOOST_TEST(!policy.one_part(seconds(9)));
  policy.Answered({.outcome = WriteOutcome::kNotDone}, 9, milliseconds(5),
                  seconds(9));
  BOOST_TEST(policy.one_part(seconds(9)));
}

}  // namespace
}  // namespace quartzhoist::entry
