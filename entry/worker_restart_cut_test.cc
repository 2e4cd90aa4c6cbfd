// Workers that start again under their id and address, and are cut off before
// anybody knows of it.

#include <chrono>
#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "testing/cluster_fixture.h"

namespace quartzhoist::testing {
namespace {

using std::chrono::seconds;

constexpr const char* kJob =
    R"({"spec":"work","steps":[{"count":1,"cpu":500,"memMb":100,)"
    R"("estimateMs":100}]})";

// Guards against a task that runs twice: its start was meant for a worker's
// former life and was carried out by the next one, whose lease then lasted
// longer than its owner waited once it was cut off.
BOOST_AUTO_TEST_CASE(TaskRunsOnceWhereARestartedWorkerIsCutOff) {
  ClusterFixture fixture(0, 2);
  fixture.cluster.SetEpochsChecked(seconds(10));
  fixture.cluster.StartDaemon("entry-1");
  WorkerStandins& workers = fixture.cluster.workers();
  workers.SetRunTime(seconds(9));
  fixture.WaitForOwner();
  fixture.WaitUntilReady("entry-1");
  // The workers have answered polls in their first lives.
  fixture.Wait(seconds(2));
  for (const std::string& box : workers.BoxesOf("press"))
    workers.RestartUnannounced(box);
  BOOST_REQUIRE(
      fixture.cluster.Call("entry-1", "POST", JobId(1), kJob).status == 200);
  const auto is_running = [&] { return workers.RunningTasks(JobId(1)) == 1; };
  // The next lives are not known yet, so that nothing may start there.
  if (!fixture.cluster.WaitUntil(1, is_running)) {
    for (const std::string& box : workers.BoxesOf("press"))
      workers.AnnounceAgain(box);
    BOOST_REQUIRE(fixture.cluster.WaitUntil(kTimeoutSeconds, is_running));
  }
  const std::string box = *workers.BoxesWith(JobId(1)).begin();
  workers.SetCut(box, true);
  for (const std::string& other : workers.BoxesOf("press")) {
    if (other != box)
      workers.AnnounceAgain(other);
  }
  fixture.Wait(seconds(9));
  workers.SetCut(box, false);
  workers.AnnounceAgain(box);
  BOOST_TEST(fixture.cluster.WaitUntil(kTimeoutSeconds, [&] {
    return fixture.cluster.StateOf(JobId(1)) == "completed";
  }));
  BOOST_TEST(JoinLines(workers.broken()) == "");
}

}  // namespace
}  // namespace quartzhoist::testing
