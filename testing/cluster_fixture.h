// A cluster of daemon processes, jobs for it and checks of what became of them.

#ifndef TESTING_CLUSTER_FIXTURE_H_
#define TESTING_CLUSTER_FIXTURE_H_

#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>

#include "testing/job_cluster.h"

namespace quartzhoist::testing {

// Generous, because the tests measure no latency.
inline constexpr double kTimeoutSeconds = 40;
inline constexpr int kJobs = 12;
inline constexpr int kSteps = 2;
inline constexpr int kTasks = 3;
inline constexpr int kAllTasks = kJobs * kSteps * kTasks;

inline std::string JoinLines(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines)
    text += line + "\n";
  return text;
}

// Prints the daemons' logs at the end of a test that fails, before they go with
// the cluster's folder.
class LogsOfFailure {
 public:
  explicit LogsOfFailure(const JobCluster& cluster) : cluster(cluster) {}
  ~LogsOfFailure() {
    if (HasTestFailed())
      std::cerr << this->cluster.Logs();
  }
  LogsOfFailure(const LogsOfFailure&) = delete;
  LogsOfFailure& operator=(const LogsOfFailure&) = delete;

 private:
  static bool HasTestFailed() {
    const auto test = boost::unit_test::framework::current_test_case().p_id;
    return std::uncaught_exceptions() > 0 ||
           boost::unit_test::results_collector.results(test)
                   .p_assertions_failed.get() > 0;
  }

  const JobCluster& cluster;
};

struct ClusterFixture {
  explicit ClusterFixture(int daemons, int boxes = 4)
      : cluster(QUARTZHOIST_BINARY_DIR, boxes) {
    for (int i = 0; i < daemons; ++i)
      this->cluster.StartDaemon("entry-" + std::to_string(i + 1));
    if (daemons > 0)
      this->WaitForOwner();
  }

  void WaitForOwner() {
    BOOST_REQUIRE(this->cluster.WaitUntil(
        kTimeoutSeconds, [this] { return !this->cluster.Owner().empty(); }));
  }

  void WaitUntilReady(const std::string& daemon) {
    BOOST_REQUIRE(this->cluster.WaitUntil(
        kTimeoutSeconds, [&, this] { return this->cluster.IsReady(daemon); }));
  }

  // Puts a configuration in which queue "q" needs a key, and waits until all
  // daemons are ready to serve it: they read it at different times, and the
  // first owner may begin before the others know the number of shards.
  void InstallKeyedConfig(const std::string& config) {
    this->cluster.store().Put({.table = "op", .part = "", .key = "config"},
                              config);
    for (const auto& daemon : this->cluster.daemons()) {
      const std::string& id = daemon.first;
      this->WaitUntilReady(id);
      // A daemon that asks for a key has the configuration.
      BOOST_REQUIRE(this->cluster.WaitUntil(kTimeoutSeconds, [&, this] {
        return this->cluster.Call(id, "GET", JobId(99)).status == 401;
      }));
    }
  }

  void Wait(base::Micros span) {
    const base::Micros until = base::MonotonicNow() + span;
    this->cluster.WaitUntil(kTimeoutSeconds,
                            [until] { return base::MonotonicNow() > until; });
  }

  void SubmitAll() {
    for (int i = 0; i < kJobs; ++i) {
      int status = 0;
      BOOST_REQUIRE(cluster.WaitUntil(kTimeoutSeconds, [&, this] {
        status = this->cluster.Submit(JobId(i), kSteps, kTasks);
        return status == 200;
      }));
    }
  }

  bool AllCompleted(int jobs) {
    for (int i = 0; i < jobs; ++i) {
      if (this->cluster.StateOf(JobId(i)) != "completed")
        return false;
    }
    return true;
  }

  void ExpectAllCompletedOnce(int jobs = kJobs) {
    BOOST_TEST(cluster.WaitUntil(
        kTimeoutSeconds, [this, jobs] { return this->AllCompleted(jobs); }));
    BOOST_TEST(JoinLines(this->cluster.workers().broken()) == "");
  }

  Process& OwnerProcess() {
    return *this->cluster.daemons().at(this->cluster.Owner()).process;
  }

  bool WaitForOwnerOtherThan(const std::string& id) {
    return this->cluster.WaitUntil(kTimeoutSeconds, [&, this] {
      const std::string owner = this->cluster.Owner();
      return !owner.empty() && owner != id;
    });
  }

  JobCluster cluster;
  LogsOfFailure logs_of_failure{cluster};
};

// A configuration with one organisation, which has this access key.
inline std::string KeyedConfig(int version, const std::string& key) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"q","host":"jobs.example",)"
         R"("pathPrefix":"/q/","service":"press","attempts":3,)"
         R"("extension":1.5,"targetLatencyMs":600}],)"
         R"("services":[{"name":"press"},{"name":"rest","spare":true}],)"
         R"("tenants":[{"name":"bees","apiKeys":[")" +
         key + R"("],"weight":9,"maxCount":{"cpu":1000000}}]})";
}

}  // namespace quartzhoist::testing

#endif  // TESTING_CLUSTER_FIXTURE_H_
