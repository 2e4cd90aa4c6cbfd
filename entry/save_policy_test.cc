// Simulates saves to a store with some parts unavailable: one shard at peak
// demand, and a store that answers in 8 ms.

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

// Saves of one owner to a store whose unavailable parts refuse every write.
struct SaveSimulation {
  static constexpr base::Micros kStoreLatency = milliseconds(8);
  static constexpr base::Micros kStepTime = milliseconds(10);
  static constexpr base::Micros kRetryDelay = milliseconds(200);
  static constexpr int kMaxSpanningCalls = 2;  // in flight at once

  struct Call {
    base::Micros answered_at{};
    base::Micros sent_at{};
    std::vector<scheduler::SaveProgress> batch;
  };

  static std::string PartOf(const std::string& job) {
    return ProgressRow(job).part;
  }

  void AddJob() {
    const std::string job = std::to_string(++this->jobs);
    this->saves.Add({.job = job, .text = "progress"});
    this->unsaved_jobs.emplace(job);
  }

  void CompleteCall(const Call& call) {
    std::set<std::string> parts;
    for (const scheduler::SaveProgress& save : call.batch)
      parts.insert(PartOf(save.job));
    const bool refused =
        std::any_of(parts.begin(), parts.end(), [this](const auto& part) {
          return this->unavailable_parts.contains(part);
        });
    this->saves.OnWriteFinished(call.batch);
    this->policy.OnWriteFinished(
        {.outcome = refused ? WriteOutcome::kNotDone : WriteOutcome::kDone},
        parts.size(), this->now - call.sent_at, this->now);
    for (const scheduler::SaveProgress& save : call.batch) {
      if (refused)
        this->retries.emplace_back(this->now + kRetryDelay, save);
      else
        this->unsaved_jobs.erase(save.job);
    }
  }

  void RunStep() {
    this->now += kStepTime;
    while (!this->calls.empty() &&
           this->calls.front().answered_at <= this->now) {
      const Call call = this->calls.front();
      this->calls.pop_front();
      this->CompleteCall(call);
    }
    while (!this->retries.empty() && this->retries.front().first <= this->now) {
      this->saves.Add(this->retries.front().second);
      this->retries.pop_front();
    }
    while (!this->saves.empty() && this->policy.may_write(this->now)) {
      const bool one_part = this->policy.single_part_only(this->now);
      if (!one_part && this->calls.size() >= kMaxSpanningCalls)
        return;
      std::vector<scheduler::SaveProgress> batch = this->saves.Take(one_part);
      if (batch.empty())
        return;
      ++this->call_count;
      this->calls.push_back({.answered_at = this->now + kStoreLatency,
                             .sent_at = this->now,
                             .batch = std::move(batch)});
    }
  }

  // Unsaved jobs whose part is available.
  std::ptrdiff_t CountDelayedJobs() const {
    return std::count_if(
        this->unsaved_jobs.begin(), this->unsaved_jobs.end(),
        [this](const std::string& job) {
          return !this->unavailable_parts.contains(PartOf(job));
        });
  }

  base::Micros now = seconds(50);
  SavePolicy policy{true};
  SaveQueue saves;
  std::set<std::string> unavailable_parts;
  std::set<std::string> unsaved_jobs;
  std::deque<Call> calls;
  std::deque<std::pair<base::Micros, scheduler::SaveProgress>> retries;
  int jobs = 0;
  int call_count = 0;
};

// Peak demand: 200 saves/s while a third of the parts is unavailable for 5 s.
// The ownership is confirmed throughout.
BOOST_AUTO_TEST_CASE(UnavailablePartsDoNotDelayOtherParts) {
  SaveSimulation replay;
  for (int job = 0; job < 3000; job += 3)
    replay.unavailable_parts.insert(
        SaveSimulation::PartOf(std::to_string(job % 61)));
  std::ptrdiff_t max_delayed = 0;
  for (int turn = 0; turn < 500; ++turn) {
    replay.policy.OnOwnershipConfirmed(replay.now);
    replay.AddJob();
    replay.AddJob();
    replay.RunStep();
    if (turn > 50)
      max_delayed = std::max(max_delayed, replay.CountDelayedJobs());
  }
  BOOST_TEST(!replay.unavailable_parts.empty());
  BOOST_TEST(max_delayed < 20);
  // The parts recover: all saves complete, and writes are batched again.
  replay.unavailable_parts.clear();
  for (int turn = 0; turn < 300; ++turn) {
    replay.policy.OnOwnershipConfirmed(replay.now);
    replay.RunStep();
  }
  BOOST_TEST(replay.unsaved_jobs.empty());
  BOOST_TEST(!replay.policy.single_part_only(replay.now));
}

// The part of the ownership row is unavailable, the parts of the jobs are not.
BOOST_AUTO_TEST_CASE(SavesContinueWhileOwnershipPartIsUnavailable) {
  SaveSimulation replay;
  replay.policy.OnOwnershipConfirmed(replay.now);
  for (int turn = 0; turn < 500; ++turn) {
    replay.AddJob();
    replay.RunStep();
  }
  BOOST_TEST(replay.CountDelayedJobs() < 20);
}

// Every part is unavailable: no call is sent after 1.2 s.
BOOST_AUTO_TEST_CASE(UnavailableStoreIsNotFlooded) {
  SaveSimulation replay;
  for (int job = 0; job < 3000; ++job)
    replay.unavailable_parts.insert(
        SaveSimulation::PartOf(std::to_string(job)));
  replay.policy.OnOwnershipConfirmed(replay.now);
  for (int turn = 0; turn < 150; ++turn) {
    replay.AddJob();
    replay.RunStep();
  }
  const int calls = replay.call_count;
  for (int turn = 0; turn < 350; ++turn) {
    replay.AddJob();
    replay.RunStep();
  }
  BOOST_TEST(replay.call_count == calls);
}

// Splitting a throttled write would send more calls to an overloaded store.
BOOST_AUTO_TEST_CASE(ThrottledWritesAreNotSplit) {
  SavePolicy policy(true);
  policy.OnWriteFinished({.outcome = WriteOutcome::kNotDone, .throttled = true},
                         9, milliseconds(5), seconds(9));
  BOOST_TEST(!policy.single_part_only(seconds(9)));
  policy.OnWriteFinished({.outcome = WriteOutcome::kNotDone}, 9,
                         milliseconds(5), seconds(9));
  BOOST_TEST(policy.single_part_only(seconds(9)));
}

}  // namespace
}  // namespace quartzhoist::entry
