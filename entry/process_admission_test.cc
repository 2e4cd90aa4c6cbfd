// Overloads daemon processes: jobs that cannot be done in time are rejected,
// and a rejection holds until the job is submitted again.

#include <deque>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "testing/cluster_fixture.h"

namespace quartzhoist::testing {
namespace {

// Organisation "hot" may submit one job, and is over its rate for the rest of
// the test.
constexpr const char* kTwoQueues =
    R"({"version":2,"routes":[{"name":"q","host":"jobs.example",)"
    R"("pathPrefix":"/q/","service":"press","attempts":3,)"
    R"("extension":1.5,"targetLatencyMs":600},)"
    R"({"name":"r","host":"jobs.example","pathPrefix":"/r/",)"
    R"("service":"press","attempts":3,"targetLatencyMs":600}],)"
    R"("services":[{"name":"press"}],"tenants":[)"
    R"({"name":"bees","apiKeys":["bee-key"],"weight":900},)"
    R"({"name":"ants","apiKeys":["ant-key"],"weight":900},)"
    R"({"name":"hot","apiKeys":["hot-key"],"weight":0.001}]})";

// Useful for 4 s: three times the target latency plus 1.5 times the estimate.
constexpr const char* kSmallJob =
    R"({"spec":"work","steps":[{"count":1,"cpu":1000,"memMb":100,)"
    R"("estimateMs":500}]})";
// Each of the eight cores has 32 s of work for it.
constexpr const char* kLargeJob =
    R"({"spec":"work","steps":[{"count":40,"cpu":1000,"memMb":100,)"
    R"("estimateMs":8000}]})";

// A caller without a pause gets 300 to 1,000 jobs accepted until the wait is
// known, and more on a slow machine: the last of them then run for longer than
// a test waits.
constexpr auto kSubmissionInterval = std::chrono::milliseconds(100);

const std::vector<std::string> kDaemons = {"entry-1", "entry-2"};

struct OverloadFixture : ClusterFixture {
  OverloadFixture() : ClusterFixture(2, 2) {
    this->cluster.workers().SetRunTime(std::chrono::seconds(8));
    this->InstallKeyedConfig(kTwoQueues);
  }

  http::Response SubmitAs(const std::string& key,
                          const std::string& daemon,
                          const std::string& job,
                          const char* body = kSmallJob) {
    this->cluster.SetKey(key);
    return this->cluster.Call(daemon, "POST", job, body);
  }

  // The same while the store takes no writes: only the read before a rejection
  // can then find that the id is taken.
  http::Response SubmitWithoutWrites(const std::string& key,
                                     const std::string& daemon,
                                     const std::string& job) {
    StoreStandin& store = this->cluster.store();
    store.SetNextWrites(
        std::deque<StoreStandin::Mood>(500, StoreStandin::Mood::kBusy));
    http::Response response = this->SubmitAs(key, daemon, job);
    store.SetNextWrites({});
    return response;
  }

  // Submits jobs of new ids until one gets `status`; its id.
  std::string RejectedId(const std::string& key,
                         const std::string& daemon,
                         int status,
                         const std::string& reason) {
    http::Response response;
    std::string job;
    BOOST_REQUIRE(this->cluster.WaitUntil(kTimeoutSeconds, [&, this] {
      this->Wait(kSubmissionInterval);
      job = JobId(++this->last_id);
      response = this->SubmitAs(key, daemon, job);
      return response.status == status &&
             response.body == R"({"error":")" + reason + R"("})";
    }));
    const std::string* retry_after =
        http::FindHeader(response.headers, "Retry-After");
    BOOST_REQUIRE(retry_after);
    BOOST_TEST(std::stoi(*retry_after) > 1);
    BOOST_TEST(std::stoi(*retry_after) <= 30);
    return job;
  }

  int last_id = 100;
};

// Guards against a rejection that is not true, in the daemon that owns the
// shard and in the one that reads its row: a rejected job that runs, an
// accepted one that is said not to, and an id of another organisation that is
// called accepted.
BOOST_AUTO_TEST_CASE(RejectedJobRunsOnlyOnceItIsSubmittedAgain) {
  OverloadFixture fixture;
  const std::string own = JobId(1);
  const std::string large = JobId(2);
  BOOST_TEST(fixture.SubmitAs("ant-key", "entry-1", own).status == 200);
  for (int hot = 3; hot <= 4; ++hot)
    BOOST_TEST(fixture.SubmitAs("hot-key", "entry-1", JobId(hot)).status ==
               200);
  BOOST_REQUIRE(
      fixture.SubmitAs("bee-key", "entry-1", large, kLargeJob).status == 200);
  std::set<std::string> rejected;
  for (const std::string& daemon : kDaemons) {
    rejected.insert(
        fixture.RejectedId("ant-key", daemon, 503, "cannot be done in time"));
    rejected.insert(fixture.RejectedId("hot-key", daemon, 429,
                                       "over the organisation's rate"));
  }
  // A daemon that does not know the wait for a moment would write the job.
  for (const std::string& daemon : kDaemons) {
    BOOST_TEST(fixture.cluster.WaitUntil(kTimeoutSeconds, [&] {
      return fixture.SubmitWithoutWrites("ant-key", daemon, own).status == 200;
    }));
    http::Response taken;
    BOOST_TEST(fixture.cluster.WaitUntil(kTimeoutSeconds, [&] {
      taken = fixture.SubmitWithoutWrites("ant-key", daemon, large);
      return taken.status != 503;
    }));
    BOOST_TEST(taken.status == 409);
    BOOST_TEST(taken.body == R"({"error":"the id is taken"})");
  }
  for (const std::string& job : rejected) {
    fixture.cluster.SetKey("ant-key");
    BOOST_TEST(fixture.cluster.Call("entry-1", "GET", job).status == 410);
  }
  // Ends the overload.
  fixture.cluster.workers().SetRunTime(std::chrono::milliseconds(100));
  fixture.cluster.SetKey("bee-key");
  BOOST_TEST(fixture.cluster.Call("entry-1", "DELETE", large).status == 200);
  const std::string again = *rejected.begin();
  BOOST_TEST(!fixture.cluster.workers().HasStarted(again));
  BOOST_TEST(fixture.cluster.WaitUntil(kTimeoutSeconds, [&] {
    return fixture.SubmitAs("ant-key", "entry-2", again).status == 200;
  }));
  BOOST_TEST(fixture.cluster.WaitUntil(kTimeoutSeconds, [&] {
    return fixture.cluster.StateOf(again) == "completed" &&
           fixture.cluster.StateOf(own) == "completed";
  }));
  for (const std::string& job : rejected)
    BOOST_TEST(fixture.cluster.workers().HasStarted(job) == (job == again));
  BOOST_TEST(JoinLines(fixture.cluster.workers().broken()) == "");
}

}  // namespace
}  // namespace quartzhoist::testing
