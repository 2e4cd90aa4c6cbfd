// Clients outside the limits, against a daemon process: it lives, its memory
// and descriptors stay bounded, and an ordinary request is answered beside the
// crowd and after it.

#include <csignal>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "entry/tables.h"
#include "testing/crowd_fixture.h"
#include "testing/raw_server.h"

namespace quartzhoist::testing {
namespace {

// Guards against a process that runs out of memory by bodies of legal size that
// are announced and stop short of their end.
BOOST_AUTO_TEST_CASE(AnnouncedBodiesThatStopShortStayBounded) {
  CrowdFixture().ExpectServiceUnderBodies(
      AnnouncedBody(kLegalBody, kLegalBody - 1));
}

// The same by bodies in large chunks.
BOOST_AUTO_TEST_CASE(ChunkedBodiesThatStopShortStayBounded) {
  CrowdFixture().ExpectServiceUnderBodies(UnendedChunks(65'536, kLegalBody));
}

// The same by bodies in very small chunks.
BOOST_AUTO_TEST_CASE(BodiesInTinyChunksThatStopShortStayBounded) {
  CrowdFixture().ExpectServiceUnderBodies(UnendedChunks(8, kLegalBody));
}

// Guards against bodies that are announced far over the limit and kept.
BOOST_AUTO_TEST_CASE(BodiesAnnouncedFarOverTheLimitStayBounded) {
  CrowdFixture().ExpectServiceUnderBodies(
      AnnouncedBody(900'000'000, 2'000'000));
}

// Guards against bodies that grow far over the limit and keep their memory.
BOOST_AUTO_TEST_CASE(ChunkedBodiesFarOverTheLimitStayBounded) {
  CrowdFixture().ExpectServiceUnderBodies(UnendedChunks(65'536, 3 << 20));
}

// Guards against clients that hold all connections, so that no other is
// answered: silent ones.
BOOST_AUTO_TEST_CASE(SilentConnectionsDoNotKeepOthersOut) {
  CrowdFixture(kFewConnections).ExpectServiceWhereAllConnectionsSend("");
}

// The same by heads without an end.
BOOST_AUTO_TEST_CASE(UnendedHeadsDoNotKeepOthersOut) {
  std::string head = HeadOf("X-Filler: yes");
  head.resize(head.size() - 4);
  CrowdFixture(kFewConnections).ExpectServiceWhereAllConnectionsSend(head);
}

// The same by bodies without an end.
BOOST_AUTO_TEST_CASE(UnendedBodiesDoNotKeepOthersOut) {
  CrowdFixture(kFewConnections)
      .ExpectServiceWhereAllConnectionsSend(AnnouncedBody(1000, 999));
}

// The same by clients that leave their answers unread.
BOOST_AUTO_TEST_CASE(UnreadAnswersDoNotKeepOthersOut) {
  constexpr int kRequests = 5000;
  std::string requests;
  for (int i = 0; i < kRequests; ++i)
    requests += "GET /metrics HTTP/1.1\r\nHost: jobs.example\r\n\r\n";
  CrowdFixture(kFewConnections).ExpectServiceWhereAllConnectionsSend(requests);
}

// The same by clients that come back as soon as they are closed.
BOOST_AUTO_TEST_CASE(ReturningClientsDoNotKeepOthersOut) {
  CrowdFixture fixture(kFewConnections);
  fixture.ExpectServiceUnder({.address = fixture.Target().callers,
                              .connections = kMoreThanAllConnections,
                              .message = AnnouncedBody(kLegalBody, 100'000),
                              .reconnects = true});
}

// Servers that begin an answer of 3 MB to each request and never end it; the
// kernel takes most of it.
class UnendedAnswers {
 public:
  UnendedAnswers(base::Loop& loop, int servers) {
    for (int i = 0; i < servers; ++i)
      this->servers.push_back(std::make_unique<RawServer>(
          loop, [](int) -> RawServer::Answer { return {.bytes = Bytes()}; }));
  }

  std::string AddressOf(std::size_t server) const {
    return fmt::format("127.0.0.1:{}", this->servers[server]->port());
  }
  int requests() const {
    int sum = 0;
    for (const auto& server : this->servers)
      sum += server->requests();
    return sum;
  }

 private:
  static std::string Bytes() {
    constexpr std::size_t kAnswer = 3'000'000;
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
                       2 * kAnswer) +
           std::string(kAnswer, 'x');
  }

  std::vector<std::unique_ptr<RawServer>> servers;
};

// Guards against limits that a settings file changes and that are not in force.
BOOST_AUTO_TEST_CASE(LimitsOfAChangedSettingsFileComeIntoForce) {
  constexpr int kClients = 20;
  constexpr int kLimit = 8;
  CrowdFixture fixture;
  const JobCluster::Daemon& daemon = fixture.Target();
  std::ofstream(daemon.settings, std::ios::app)
      << fmt::format("max_connections = {}\n", kLimit);
  daemon.process->Signal(SIGHUP);
  daemon.process->WaitForWord("settings_reloaded");
  const ClientCrowd crowd(
      {.address = daemon.callers, .connections = kClients, .message = ""});
  BOOST_TEST(fixture.cluster.WaitUntil(
      kTimeoutSeconds, [&] { return crowd.closed() >= kClients - kLimit; }));
  fixture.ExpectAnswer(daemon.callers, "/q/" + JobId(1));
}

// Servers of unended answers that announce themselves as workers of the pool.
struct UnendedWorkers : UnendedAnswers {
  static constexpr int kWorkers = 150;

  explicit UnendedWorkers(JobCluster& cluster)
      : UnendedAnswers(cluster.on_loop(), kWorkers) {
    for (std::size_t i = 0; i < kWorkers; ++i) {
      const std::string row = fmt::format(
          R"({{"service":"press","address":"{}","zone":"z","state":"ready",)"
          R"("machine":"other-{}","labels":["a"],)"
          R"("capacity":{{"cpu":4000,"memMb":4000,"gpu":0}}}})",
          this->AddressOf(i), i);
      cluster.store().Put(
          {.table = "servers", .part = "", .key = fmt::format("other-{}", i)},
          row);
    }
  }
};

// Callers that ask for a job whose row in the store is large.
CrowdPlan ReadersOfALargeRow(CrowdFixture& fixture) {
  constexpr int kCallers = 100;
  constexpr std::size_t kRow = 4'000'000;
  const std::string job = JobId(8000);
  fixture.cluster.store().Put(entry::ProgressRow(job), std::string(kRow, 'x'));
  return {.address = fixture.Target().callers,
          .connections = kCallers,
          .message = fmt::format(
              "GET /q/{} HTTP/1.1\r\nHost: jobs.example\r\n\r\n", job)};
}

// Guards against a process that runs out of memory by answers of workers that
// do not end.
BOOST_AUTO_TEST_CASE(AnswersOfWorkersThatStopShortStayBounded) {
  CrowdFixture fixture;
  const UnendedWorkers workers(fixture.cluster);
  BOOST_TEST(fixture.cluster.WaitUntil(kTimeoutSeconds, [&] {
    fixture.Observe();
    return workers.requests() >= 3 * UnendedWorkers::kWorkers;
  }));
  fixture.ExpectJobIsAccepted();
  fixture.ExpectBounds();
}

// The same by answers of the store.
BOOST_AUTO_TEST_CASE(LargeAnswersOfTheStoreStayBounded) {
  CrowdFixture fixture;
  fixture.ExpectServiceUnder(ReadersOfALargeRow(fixture));
}

// Guards against limits that hold one by one and not together.
BOOST_AUTO_TEST_CASE(UnendedBodiesAndAnswersTogetherStayBounded) {
  CrowdFixture fixture;
  const UnendedWorkers workers(fixture.cluster);
  const ClientCrowd readers(ReadersOfALargeRow(fixture));
  fixture.ExpectServiceUnderBodies(UnendedChunks(65'536, kLegalBody));
}

}  // namespace
}  // namespace quartzhoist::testing
