// A daemon process under the clients that a test sends against it, and what
// must hold of it: it lives, its memory and descriptors stay bounded, and
// ordinary requests are answered.

#ifndef TESTING_CROWD_FIXTURE_H_
#define TESTING_CROWD_FIXTURE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "http/client.h"
#include "testing/client_crowd.h"
#include "testing/cluster_fixture.h"
#include "testing/process_usage.h"

namespace quartzhoist::testing {

inline constexpr const char* kDaemon = "entry-1";

// Half of the memory of an entry box, 260 MB.
inline constexpr std::int64_t kMaxMemory = 130'000'000;
// An entry box allows 4,100, of which 200 are kept for files.
inline constexpr int kMaxDescriptors = 3900;

// A body of legal size for each would take 300 MB. By hand, QUARTZHOIST_CROWD
// sets a larger number, with all of a box's memory as the bound.
inline constexpr int kManyClients = 300;
inline constexpr std::int64_t kMachineMemory = 260'000'000;

inline std::optional<int> CrowdByHand() {
  const char* text = std::getenv("QUARTZHOIST_CROWD");
  return text ? std::optional(std::stoi(text)) : std::nullopt;
}

inline constexpr std::size_t kLegalBody = (1 << 20) - 64;

// More than a server with these limits takes.
inline constexpr const char* kFewConnections = "max_connections = 64\n";
inline constexpr int kMoreThanAllConnections = 100;

inline constexpr base::Micros kObservationInterval =
    std::chrono::milliseconds(50);

// How long a crowd that neither sends nor is closed is waited for.
inline constexpr double kMaxAttackSeconds = 60;

inline std::string HeadOf(std::string_view framing) {
  return fmt::format(
      "POST /q/{} HTTP/1.1\r\nHost: jobs.example\r\n"
      "Content-Type: application/json\r\nDeadline-Ms: 3000\r\n{}\r\n\r\n",
      JobId(7000), framing);
}

inline std::string AnnouncedBody(std::size_t announced, std::size_t sent) {
  return HeadOf(fmt::format("Content-Length: {}", announced)) +
         std::string(sent, 'x');
}

// A body in chunks, without the chunk that ends it.
inline std::string UnendedChunks(std::size_t chunk, std::size_t size) {
  const std::string piece =
      fmt::format("{:x}\r\n{}\r\n", chunk, std::string(chunk, 'x'));
  std::string message = HeadOf("Transfer-Encoding: chunked");
  message.reserve(message.size() + size / chunk * piece.size());
  for (std::size_t sent = 0; sent + chunk <= size; sent += chunk)
    message += piece;
  return message;
}

// A daemon under its default limits, but for those given.
struct CrowdFixture : ClusterFixture {
  explicit CrowdFixture(const std::string& limits = "") : ClusterFixture(0, 2) {
    this->cluster.SetLimits(limits);
    this->cluster.StartDaemon(kDaemon);
    this->WaitForOwner();
    this->WaitUntilReady(kDaemon);
  }

  JobCluster::Daemon& Target() { return this->cluster.daemons().at(kDaemon); }

  void Observe() {
    const base::Micros now = base::MonotonicNow();
    if (now - this->observed < kObservationInterval)
      return;
    this->observed = now;
    const JobCluster::Daemon& daemon = this->Target();
    const pid_t process = daemon.process->pid();
    this->most_unread = std::max(
        this->most_unread,
        UnreadBytes(process,
                    {daemon.callers, daemon.readiness, daemon.metrics}));
    this->most_descriptors =
        std::max(this->most_descriptors, OpenDescriptors(process));
  }

  // Turns the loop until the crowd has sent what it can.
  void WaitUntilSettled(const ClientCrowd& crowd) {
    this->cluster.WaitUntil(kMaxAttackSeconds, [&, this] {
      this->Observe();
      return crowd.settled();
    });
  }

  // The status of the answer on a connection of its own; 0: there was none.
  int StatusOf(const std::string& address,
               const std::string& method,
               const std::string& path,
               const std::string& body = "") {
    http::Client client(this->cluster.on_loop());
    std::optional<int> status;
    client.Send({.method = method,
                 .url = "http://" + address + path,
                 .headers = {{.name = "Host", .value = "jobs.example"},
                             {.name = "Deadline-Ms", .value = "3000"}},
                 .body = body,
                 .timeout = std::chrono::seconds(5)},
                [&](const http::ClientResult& result) {
                  status = result.response.status;
                });
    this->cluster.WaitUntil(kTimeoutSeconds,
                            [&] { return status.has_value(); });
    return status.value_or(0);
  }

  // A caller repeats what got no answer.
  void ExpectAnswer(const std::string& address, const std::string& path) {
    BOOST_TEST(this->cluster.WaitUntil(kTimeoutSeconds, [&, this] {
      this->Observe();
      return this->StatusOf(address, "GET", path) != 0;
    }));
  }

  // A job that is handed in now is accepted.
  void ExpectJobIsAccepted() {
    constexpr const char* kJob =
        R"({"spec":"work","steps":[{"count":1,"cpu":500,"memMb":100,)"
        R"("estimateMs":100}]})";
    const std::string path = "/q/" + JobId(++this->last_job);
    BOOST_TEST(this->cluster.WaitUntil(kTimeoutSeconds, [&, this] {
      return this->StatusOf(this->Target().callers, "POST", path, kJob) == 200;
    }));
  }

  void ExpectBounds() {
    JobCluster::Daemon& daemon = this->Target();
    BOOST_TEST(daemon.process->running());
    const std::int64_t memory = PeakMemory(daemon.process->pid());
    BOOST_TEST_MESSAGE(fmt::format(
        "peak {} MB, unread {} MB, descriptors {}", memory / 1'000'000,
        this->most_unread / 1'000'000, this->most_descriptors));
    const std::int64_t bound = CrowdByHand() ? kMachineMemory : kMaxMemory;
    BOOST_TEST(memory + this->most_unread < bound);
    BOOST_TEST(this->most_descriptors < kMaxDescriptors);
  }

  // Checks service and bounds while a crowd that sends this stays, and after
  // it.
  void ExpectServiceUnder(CrowdPlan plan) {
    {
      const ClientCrowd crowd(std::move(plan));
      this->WaitUntilSettled(crowd);
      const JobCluster::Daemon& daemon = this->Target();
      this->ExpectAnswer(daemon.callers, "/q/" + JobId(1));
      this->ExpectAnswer(daemon.readiness, "/ready");
      this->ExpectAnswer(daemon.metrics, "/metrics");
      BOOST_TEST_MESSAGE(fmt::format("closed {}", crowd.closed()));
    }
    this->ExpectJobIsAccepted();
    this->ExpectBounds();
  }

  void ExpectServiceUnderBodies(const std::string& message) {
    this->ExpectServiceUnder(
        {.address = this->Target().callers,
         .connections = CrowdByHand().value_or(kManyClients),
         .message = message});
  }

  void ExpectServiceWhereAllConnectionsSend(const std::string& message) {
    const JobCluster::Daemon& daemon = this->Target();
    for (const std::string& address :
         {daemon.callers, daemon.readiness, daemon.metrics})
      this->ExpectServiceUnder({.address = address,
                                .connections = kMoreThanAllConnections,
                                .message = message});
  }

  base::Micros observed{};
  std::int64_t most_unread = 0;
  int most_descriptors = 0;
  int last_job = 0;
};

}  // namespace quartzhoist::testing

#endif  // TESTING_CROWD_FIXTURE_H_
