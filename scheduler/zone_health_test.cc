// Zones that do not answer: when they are recognised, and a replay of the load
// that a lost zone turns into late tasks.

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/zone_health.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Only;
using Bench = testing::SchedulerBench;

constexpr base::Micros kNow = seconds(100);

// Workers of one zone. Each was called at kNow - 800 ms.
class Zone {
 public:
  Zone& Answering(int count, base::Micros ago) {
    for (int i = 0; i < count; ++i)
      RecordContact(this->Add(), kNow - ago);
    return *this;
  }
  Zone& Silent(int count, base::Micros called_ago = milliseconds(800)) {
    for (int i = 0; i < count; ++i)
      RecordFailedCall(this->Add(), kNow - called_ago);
    return *this;
  }
  bool IsRecognised() const {
    ZoneHealth health;
    health.Update(this->workers, kNow);
    Worker idle;
    idle.info.zone = "lost";
    return health.IsDoubtful(idle);
  }

  std::map<jobs::WorkerIncarnation, Worker> workers;

 private:
  Worker& Add() {
    const std::string id = std::to_string(this->workers.size());
    Worker& worker = this->workers[{.id = id}];
    worker.info = Bench::Worker(id);
    worker.info.zone = "lost";
    return worker;
  }
};

BOOST_AUTO_TEST_CASE(ZoneWhoseWorkersStopAnsweringIsRecognised) {
  // Busy workers answered just before the loss.
  BOOST_TEST(Zone().Answering(30, milliseconds(900)).Silent(3).IsRecognised());
  BOOST_TEST(!Zone().Answering(30, milliseconds(900)).Silent(2).IsRecognised());
}

// Some answers are lost, or some workers crash, while others answer.
BOOST_AUTO_TEST_CASE(ZoneThatAnswersInPartIsNotLost) {
  BOOST_TEST(!Zone().Answering(3, milliseconds(100)).Silent(3).IsRecognised());
  BOOST_TEST(Zone().Answering(2, milliseconds(100)).Silent(3).IsRecognised());
}

// Workers that crashed long ago do not add to a new failure.
BOOST_AUTO_TEST_CASE(OldFailuresAreNoEvidence) {
  BOOST_TEST(!Zone().Silent(9, seconds(20)).Silent(2).IsRecognised());
}

BOOST_AUTO_TEST_CASE(WorkersThatAnswerAreUsedAgain) {
  Zone zone;
  zone.Silent(4);
  ZoneHealth health;
  health.Update(zone.workers, kNow);
  Worker& first = zone.workers.begin()->second;
  BOOST_TEST(health.IsDoubtful(first));
  RecordContact(first, kNow + seconds(5));
  health.Update(zone.workers, kNow + seconds(5));
  BOOST_TEST(!health.IsDoubtful(first));
  Worker idle;
  idle.info.zone = "lost";
  BOOST_TEST(health.IsDoubtful(idle));
  // As many answer as are silent: the zone is back.
  RecordContact(std::next(zone.workers.begin())->second, kNow + seconds(5));
  health.Update(zone.workers, kNow + seconds(5));
  BOOST_TEST(!health.IsDoubtful(idle));
}

// A shard in two zones, one of which has stopped answering when a pool's turn
// begins. Jobs of one task arrive at a growing rate; tasks end after a pass.
class LostZoneReplay {
 public:
  explicit LostZoneReplay(int workers_per_zone) {
    for (int i = 0; i < workers_per_zone; ++i) {
      for (const char* zone : {"healthy", "lost"}) {
        WorkerInfo info = Bench::Worker(std::to_string(i) + zone);
        info.zone = zone;
        this->bench.scheduler.UpdateWorker(info, this->bench.now);
        this->bench.Report(info.incarnation.id, {});
      }
    }
  }

  // `growth` is the number of jobs that each pass has more than the one before.
  // Returns the number of starts that went to workers of the lost zone.
  int Play(int passes, int growth) {
    for (int pass = 0; pass < passes; ++pass) {
      for (int i = 0; i < growth * pass; ++i)
        this->bench.AddJob("job-" + std::to_string(pass) + "-" +
                           std::to_string(i));
      std::vector<Action> actions = this->bench.RunPass();
      this->bench.Save(Only<SaveProgress>(actions));
      for (Action& more : this->bench.scheduler.TakeActions())
        actions.push_back(std::move(more));
      this->FailDueCalls();
      this->EndRuns();
      this->Send(actions);
    }
    return this->lost_starts;
  }

 private:
  static bool IsLost(const jobs::WorkerIncarnation& worker) {
    return worker.id.ends_with("lost");
  }

  void Send(const std::vector<Action>& actions) {
    const base::Micros timeout = this->bench.now + milliseconds(800);
    for (const StartRun& start : Only<StartRun>(actions)) {
      if (IsLost(start.worker)) {
        ++this->lost_starts;
        this->unanswered_starts.emplace(timeout, start);
        continue;
      }
      this->bench.scheduler.StartAnswered(start, CommandOutcome::kDone,
                                          this->bench.now,
                                          this->bench.now.count() / 1000);
      this->running[start.worker.id].push_back(start);
    }
    for (const PollWorker& poll : Only<PollWorker>(actions)) {
      if (!IsLost(poll.worker))
        continue;
      this->bench.scheduler.PollSent(poll, this->bench.now);
      this->unanswered_polls.emplace(timeout, poll);
    }
  }

  void FailDueCalls() {
    const base::Micros now = this->bench.now;
    while (!this->unanswered_starts.empty() &&
           this->unanswered_starts.begin()->first <= now) {
      this->bench.scheduler.StartAnswered(
          this->unanswered_starts.begin()->second, CommandOutcome::kNotSent,
          now);
      this->unanswered_starts.erase(this->unanswered_starts.begin());
    }
    while (!this->unanswered_polls.empty() &&
           this->unanswered_polls.begin()->first <= now) {
      this->bench.scheduler.PollFailed(
          this->unanswered_polls.begin()->second.worker,
          CommandOutcome::kUnknown, now);
      this->unanswered_polls.erase(this->unanswered_polls.begin());
    }
  }

  void EndRuns() {
    for (auto& [worker, runs] : this->running) {
      if (runs.empty())
        continue;
      WorkerReport report;
      for (const StartRun& run : runs)
        report.ended.push_back({.sequence = ++this->last_end[worker],
                                .task = run.task,
                                .run = run.run,
                                .reason = RunEndReason::kSucceeded,
                                .checkpoint = ""});
      runs.clear();
      this->bench.Report(worker, report, this->bench.now + seconds(4));
    }
  }

  Bench bench{1};
  std::map<std::string, std::vector<StartRun>> running;
  std::map<std::string, std::int64_t> last_end;
  std::multimap<base::Micros, StartRun> unanswered_starts;
  std::multimap<base::Micros, PollWorker> unanswered_polls;
  int lost_starts = 0;
};

// Each idle worker of a lost zone looked healthy until a start had failed
// there: late tasks in proportion to the workers that a turn takes into use.
// Now they are those of the time until the first starts have failed.
BOOST_AUTO_TEST_CASE(LostZoneDelaysFewTasksAtAnySize) {
  constexpr int kPasses = 16;
  const int at_size = LostZoneReplay(20).Play(kPasses, 4);
  const int at_twice_the_size = LostZoneReplay(40).Play(kPasses, 8);
  BOOST_TEST(at_size > 0);
  BOOST_TEST(at_size <= 60);
  BOOST_TEST(at_twice_the_size <= 60);
}

}  // namespace
}  // namespace quartzhoist::scheduler
