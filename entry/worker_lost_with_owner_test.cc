// Workers that are lost for good together with the daemon that owned their
// shard.

#include <chrono>
#include <csignal>
#include <string>

#include <boost/test/unit_test.hpp>

#include "testing/cluster_fixture.h"

namespace quartzhoist::testing {
namespace {

constexpr const char* kLongRunningJob =
    R"({"spec":"work","steps":[{"count":1,"cpu":500,"memMb":100,)"
    R"("estimateMs":100,"longRunning":true}]})";

struct LossFixture : ClusterFixture {
  explicit LossFixture(int daemons) : ClusterFixture(0) {
    this->cluster.SetEpochsChecked(std::chrono::seconds(10));
    for (int i = 0; i < daemons; ++i)
      this->cluster.StartDaemon("entry-" + std::to_string(i + 1));
    this->workers.SetRunTime(std::chrono::seconds(60));
    for (const auto& daemon : this->cluster.daemons())
      this->WaitUntilReady(daemon.first);
  }

  void StartLongRunningTask() {
    BOOST_REQUIRE(
        this->cluster.Call("entry-1", "POST", JobId(1), kLongRunningJob)
            .status == 200);
    this->WaitUntilTaskRuns();
    // The worker has answered polls under this owner.
    this->Wait(std::chrono::seconds(3));
  }

  void LoseOwnerAndWorker() {
    const std::string box = *this->workers.BoxesWith(JobId(1)).begin();
    this->OwnerProcess().Signal(SIGKILL);
    this->workers.Lose(box);
    this->lost_at = base::MonotonicNow();
    BOOST_REQUIRE(this->workers.RunningTasks(JobId(1)) == 0);
  }

  void WaitUntilTaskRuns() {
    BOOST_REQUIRE(this->cluster.WaitUntil(kTimeoutSeconds, [this] {
      return this->workers.RunningTasks(JobId(1)) == 1;
    }));
  }

  double SecondsSinceLoss() const {
    return base::Seconds(base::MonotonicNow() - this->lost_at);
  }

  WorkerStandins& workers = this->cluster.workers();
  base::Micros lost_at{};
};

// Guards against a long-running task that stands still for 11.6 s although its
// owner was started anew within a second: the next owner waited for the longest
// lease that an owner without the store grants, in place of the usual one.
BOOST_AUTO_TEST_CASE(TaskLostWithItsOwnerRunsAgainAfterOneLease) {
  LossFixture fixture(1);
  fixture.StartLongRunningTask();
  fixture.LoseOwnerAndWorker();
  fixture.Wait(std::chrono::milliseconds(500));
  fixture.cluster.StartDaemon("entry-1");
  fixture.WaitUntilTaskRuns();
  // A lease of 4 s, the restart, the clocks' drift and the placement.
  BOOST_TEST(fixture.SecondsSinceLoss() < 8.0);
  BOOST_TEST(JoinLines(fixture.workers.broken()) == "");
}

// Guards against a long-running task that stands still for 10.6 s, where
// another daemon has taken the shard by the time its owner is started again:
// the owner's new process knows that it is not the owner.
BOOST_AUTO_TEST_CASE(TaskLostWithItsOwnerRunsAgainOnceTheOwnersBoxAnswers) {
  LossFixture fixture(2);
  fixture.cluster.KeepMetricsAddresses();
  fixture.StartLongRunningTask();
  const std::string owner = fixture.cluster.Owner();
  fixture.LoseOwnerAndWorker();
  BOOST_REQUIRE(fixture.WaitForOwnerOtherThan(owner));
  fixture.cluster.StartDaemon(owner);
  fixture.WaitUntilTaskRuns();
  // LOST: a task that lasts has 6 s after its last run, and 3 s more.
  BOOST_TEST(fixture.SecondsSinceLoss() < 9.0);
  BOOST_TEST(JoinLines(fixture.workers.broken()) == "");
}

// Guards against a long-running task that stands still for 10.6 s, where
// another daemon takes the shard and cannot tell that its owner has ended.
BOOST_AUTO_TEST_CASE(TaskLostWithItsOwnerRunsAgainUnderAnotherDaemonInTime) {
  LossFixture fixture(2);
  fixture.StartLongRunningTask();
  fixture.LoseOwnerAndWorker();
  fixture.WaitUntilTaskRuns();
  // LOST: a task that lasts has 6 s after its last run, and 3 s more.
  BOOST_TEST(fixture.SecondsSinceLoss() < 9.0);
  BOOST_TEST(JoinLines(fixture.workers.broken()) == "");
}

}  // namespace
}  // namespace quartzhoist::testing
