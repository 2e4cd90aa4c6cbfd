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

// Guards against a long-running task that stands still for 11.6 s although its
// owner was started anew within a second: the next owner waited for the longest
// lease that an owner without the store grants, in place of the usual one.
BOOST_AUTO_TEST_CASE(TaskLostWithItsOwnerRunsAgainAfterOneLease) {
  ClusterFixture fixture(0);
  fixture.cluster.SetEpochsChecked(std::chrono::seconds(10));
  fixture.cluster.StartDaemon("entry-1");
  WorkerStandins& workers = fixture.cluster.workers();
  workers.SetRunTime(std::chrono::seconds(60));
  fixture.WaitUntilReady("entry-1");
  BOOST_REQUIRE(
      fixture.cluster.Call("entry-1", "POST", JobId(1), kLongRunningJob)
          .status == 200);
  BOOST_REQUIRE(fixture.cluster.WaitUntil(
      kTimeoutSeconds, [&] { return workers.RunningTasks(JobId(1)) == 1; }));
  // The worker has answered polls under this owner.
  fixture.Wait(std::chrono::seconds(3));
  const std::string box = *workers.BoxesWith(JobId(1)).begin();
  fixture.OwnerProcess().Signal(SIGKILL);
  workers.Lose(box);
  const base::Micros lost_at = base::MonotonicNow();
  BOOST_REQUIRE(workers.RunningTasks(JobId(1)) == 0);
  fixture.Wait(std::chrono::milliseconds(500));
  fixture.cluster.StartDaemon("entry-1");
  BOOST_REQUIRE(fixture.cluster.WaitUntil(
      kTimeoutSeconds, [&] { return workers.RunningTasks(JobId(1)) == 1; }));
  // A lease of 4 s, the restart, the clocks' drift and the placement.
  BOOST_TEST(base::Seconds(base::MonotonicNow() - lost_at) < 8.0);
  BOOST_TEST(JoinLines(workers.broken()) == "");
}

}  // namespace
}  // namespace quartzhoist::testing
