// Responses to callers under store faults, stale configuration and wrong keys.

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "entry/caller_api.h"
#include "entry/tables.h"
#include "http/client.h"
#include "http/server.h"
#include "jobs/progress.h"
#include "platform/records.h"
#include "testing/store_bench.h"

namespace quartzhoist::entry {
namespace {

using testing::StoreBench;
using testing::StoreStandin;

struct CallerBench : StoreBench {
  CallerBench() {
    jobs::Config config;
    jobs::Queue queue;
    queue.name = "q";
    queue.host = "h.example";
    queue.path_prefix = "/p/";
    queue.service = "s";
    config.queues.push_back(queue);
    this->api.SetConfig(config);
    this->api.SetShards(1, [](const auto&, const auto&, const auto&,
                              const auto& chosen) { chosen(0); });
  }

  http::Response Call(const std::string& method,
                      const std::string& path,
                      const std::string& body = "",
                      const std::string& host = "h.example",
                      const std::string& deadline_ms = "2000") {
    std::optional<http::Response> response;
    http::ClientRequest request;
    request.method = method;
    request.url =
        "http://127.0.0.1:" + std::to_string(this->server.port()) + path;
    request.headers = {{.name = "Host", .value = host},
                       {.name = "Deadline-Ms", .value = deadline_ms}};
    if (!this->authorization.empty())
      request.headers.push_back(
          {.name = "Authorization", .value = this->authorization});
    request.body = body;
    request.timeout = std::chrono::seconds(20);
    this->client.Send(std::move(request), [&](const http::ClientResult& got) {
      response = got.response;
    });
    this->Until([&] { return response.has_value(); });
    return *response;
  }

  // No feed confirms the configuration in these tests.
  void WaitUntilConfigIsStale() {
    const base::Micros until =
        base::MonotonicNow() + platform::Deployment{}.config_in_force;
    this->Until([until] { return base::MonotonicNow() > until; });
  }

  std::string authorization;  // of the following calls; empty: none
  CallerApi api{this->loop, this->store, this->counters,
                [this](const platform::Row& row) {
                  this->api.SetConfig(platform::ParseConfig(row.value));
                }};
  http::Server server{this->loop,
                      {},
                      [this](const http::ExchangePtr& exchange) {
                        this->api.Handle(exchange);
                      }};
};

constexpr const char* kJobPath = "/p/5c0e7a21d94b36f8";
constexpr const char* kJobId = "5c0e7a21d94b36f8";
constexpr const char* kBody = R"({"spec":"t","steps":[{"count":2}]})";

BOOST_AUTO_TEST_CASE(JobSubmittedTwiceIsStoredOnce) {
  CallerBench bench;
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 200);
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 200);
  BOOST_TEST(bench.standin.Table(std::string(kJobTable)).size() == 1U);
  BOOST_TEST(bench.Call("GET", kJobPath).body.find("queued") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(JobIsAcceptedWhenTheAnswerToItsWriteIsLost) {
  CallerBench bench;
  bench.standin.SetMood(StoreStandin::Mood::kLosesAnswers);
  // The retry's condition fails on the row that the first attempt wrote.
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 200);
  BOOST_TEST(bench.standin.Table(std::string(kJobTable)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RefusalIsAtOnceAndTellsWhenToComeBack) {
  CallerBench bench;
  bench.standin.SetMood(StoreStandin::Mood::kBusy);
  const http::Response response = bench.Call("POST", kJobPath, kBody);
  BOOST_TEST(response.status == 503);
  BOOST_TEST(http::FindHeader(response.headers, "Retry-After"));
  BOOST_TEST(bench.standin.Table(std::string(kJobTable)).empty());
}

// Retries back off and end once the store seems unreachable; without a delay
// hundreds would fit into that time.
BOOST_AUTO_TEST_CASE(JobOfUnknownFateIsNeverCalledRefusedNorWrittenInALoop) {
  for (const auto mood :
       {StoreStandin::Mood::kSilent, StoreStandin::Mood::kCuts}) {
    CallerBench bench;
    bench.standin.SetMood(mood);
    const http::Response response =
        bench.Call("POST", kJobPath, kBody, "h.example", "1200");
    BOOST_TEST(response.status == 504);
    BOOST_TEST(bench.standin.writes() <= 8);
  }
}

// The first attempt may still be applied; a refusal of the later ones says
// nothing about it.
BOOST_AUTO_TEST_CASE(CancelOfUnknownFateIsNeverCalledRefused) {
  using Mood = StoreStandin::Mood;
  CallerBench bench;
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 200);
  // The HTTP library itself retries once when a kept connection ends without an
  // answer, so that one attempt takes two lost answers.
  bench.standin.SetNextWrites(
      {Mood::kLosesAnswers, Mood::kLosesAnswers, Mood::kBusy, Mood::kBusy});
  BOOST_TEST(bench.Call("DELETE", kJobPath).status == 504);
  BOOST_TEST(!bench.standin.Value(CancelRow(kJobId, {})).empty());
}

// Two daemons choose different shards for one job: the first choice stays, and
// a cancellation goes to that shard.
BOOST_AUTO_TEST_CASE(JobHandedInAgainStaysInItsShard) {
  CallerBench bench;
  int next = 1;
  bench.api.SetShards(
      2, [&next](const auto&, const auto&, const auto&, const auto& chosen) {
        chosen(std::exchange(next, 0));
      });
  const Shard first{.number = 1, .count = 2};
  const Shard other{.number = 0, .count = 2};
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 200);
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 200);
  BOOST_TEST(!bench.standin.Value(JobRow(kJobId, first)).empty());
  BOOST_TEST(bench.standin.Value(JobRow(kJobId, other)).empty());
  BOOST_TEST(bench.Call("DELETE", kJobPath).status == 200);
  BOOST_TEST(bench.standin.Value(CancelRow(kJobId, first)) == "1");
  BOOST_TEST(bench.standin.Value(CancelRow(kJobId, other)).empty());
}

// The connection of every write is cut: the caller is answered long before its
// deadline, and later requests are refused without another write.
BOOST_AUTO_TEST_CASE(LostStoreConnectionsFailRequestsBeforeTheirDeadline) {
  CallerBench bench;
  bench.standin.SetMood(StoreStandin::Mood::kCuts);
  BOOST_TEST(bench.Call("POST", kJobPath, kBody, "h.example", "30000").status ==
             504);
  const int written = bench.standin.writes();
  BOOST_TEST(written <= 6);
  BOOST_TEST(bench.Call("POST", "/p/0000000000000001", kBody).status == 503);
  BOOST_TEST(bench.Call("GET", kJobPath).status == 503);
  BOOST_TEST(bench.standin.writes() == written);
}

BOOST_AUTO_TEST_CASE(JobLargerThanARowIsRejectedWithoutAWrite) {
  CallerBench bench;
  const std::string step =
      R"({"count":1,"requirements":")" + std::string(200, 'x') + R"("})";
  std::string steps = step;
  for (int i = 0; i < 60; ++i)
    steps += "," + step;
  const std::string body = R"({"spec":"t","steps":[)" + steps + "]}";
  BOOST_TEST(bench.Call("POST", kJobPath, body).status == 413);
  BOOST_TEST(bench.standin.writes() == 0);
}

// A job whose write is in flight at shutdown may still be accepted.
BOOST_AUTO_TEST_CASE(JobInFlightAtShutdownIsNotReportedAsRefused) {
  CallerBench bench;
  bench.standin.SetMood(StoreStandin::Mood::kSilent);
  std::optional<int> status;
  bench.client.Send(
      {.method = "POST",
       .url =
           "http://127.0.0.1:" + std::to_string(bench.server.port()) + kJobPath,
       .headers = {{.name = "Host", .value = "h.example"}},
       .body = kBody},
      [&](const http::ClientResult& got) { status = got.response.status; });
  bench.Until([&] { return bench.server.open_exchanges() == 1; });
  bench.api.Shutdown();
  bench.Until([&] { return status.has_value(); });
  BOOST_TEST(*status == 504);
}

BOOST_AUTO_TEST_CASE(CancelIsStoredAndUnknownJobsAnswerGone) {
  CallerBench bench;
  BOOST_TEST(bench.Call("DELETE", kJobPath).status == 410);
  BOOST_TEST(bench.Call("GET", kJobPath).status == 410);
  bench.Call("POST", kJobPath, kBody);
  BOOST_TEST(bench.Call("DELETE", kJobPath).status == 200);
  BOOST_TEST(bench.standin.Value(CancelRow(kJobId, {})) == "1");
}

// A refusal for the missing number of shards named the configuration, which was
// there.
BOOST_AUTO_TEST_CASE(RefusalBeforeTheShardsAreKnownSaysSoAndWritesNothing) {
  CallerBench bench;
  bench.Call("POST", kJobPath, kBody);
  const int written = bench.standin.writes();
  bench.api.SetShards(0, nullptr);
  for (const char* method : {"POST", "GET", "DELETE"}) {
    const http::Response response = bench.Call(method, kJobPath, kBody);
    BOOST_TEST(response.status == 503);
    BOOST_TEST(http::FindHeader(response.headers, "Retry-After"));
    BOOST_TEST(response.body.find("number of shards") != std::string::npos,
               response.body);
  }
  BOOST_TEST(bench.standin.writes() == written);
}

BOOST_AUTO_TEST_CASE(StateThatCannotBeReadIsNotGuessed) {
  CallerBench bench;
  bench.Call("POST", kJobPath, kBody);
  bench.standin.Put(ProgressRow(kJobId), "nonsense");
  BOOST_TEST(bench.Call("GET", kJobPath).status == 503);
  bench.standin.SetMood(StoreStandin::Mood::kBusy);
  BOOST_TEST(bench.Call("GET", kJobPath).status == 503);
}

BOOST_AUTO_TEST_CASE(InvalidRequestsGetTheMatchingStatus) {
  CallerBench bench;
  BOOST_TEST(bench.Call("POST", kJobPath, "{").status == 400);
  BOOST_TEST(bench.Call("POST", "/p/short", kBody).status == 400);
  BOOST_TEST(bench.Call("POST", kJobPath, kBody, "other.example").status ==
             404);
  BOOST_TEST(bench.Call("POST", "/elsewhere", kBody).status == 404);
  BOOST_TEST(bench.Call("PATCH", kJobPath, kBody).status == 405);
  const std::string long_body(300'000, ' ');
  BOOST_TEST(bench.Call("POST", kJobPath, long_body).status == 413);
  BOOST_TEST(bench.standin.Table(std::string(kJobTable)).empty());
}

// A finished job no longer has its own row, only its progress row.
BOOST_AUTO_TEST_CASE(JobThatIsOverIsNotTakenAgain) {
  CallerBench bench;
  jobs::Progress progress;
  progress.state = jobs::JobState::kCompleted;
  bench.standin.Put(
      ProgressRow(kJobId),
      EncodeProgressRecord({.text = jobs::EncodeProgress(progress)}));
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 200);
  BOOST_TEST(bench.standin.Value(JobRow(kJobId, {})).empty());
  BOOST_TEST(bench.Call("GET", kJobPath).body == R"({"state":"completed"})");
}

const platform::RowKey kConfigRow{
    .table = std::string(platform::kOperatorTable),
    .part = "",
    .key = std::string(platform::kConfigKey)};

// The feed has stopped, so that a new queue is known only to the store.
BOOST_AUTO_TEST_CASE(UnknownQueueIsLookedForInTheStoreBeforeItIsRefused) {
  CallerBench bench;
  bench.standin.Put(
      kConfigRow,
      R"({"version":2,"routes":[{"name":"n","host":"new.example",)"
      R"("pathPrefix":"/n/","service":"s"}],"services":[{"name":"s"}]})");
  bench.WaitUntilConfigIsStale();
  constexpr const char* kNewJobPath = "/n/5c0e7a21d94b36f8";
  BOOST_TEST(bench.Call("POST", kNewJobPath, kBody, "new.example").status ==
             200);
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 404);
}

BOOST_AUTO_TEST_CASE(DroppedQueueIsNotServedByAnOldView) {
  CallerBench bench;
  bench.standin.Put(kConfigRow, R"({"version":2,"routes":[],"services":[]})");
  bench.WaitUntilConfigIsStale();
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 404);
}

// --- Access keys ---

constexpr const char* kKeyedConfig =
    R"({"version":2,"routes":[{"name":"q","host":"h.example",)"
    R"("pathPrefix":"/p/","service":"s"},{"name":"o","host":"h.example",)"
    R"("pathPrefix":"/open/","service":"s","authExempt":true}],)"
    R"("services":[{"name":"s"}],)"
    R"("tenants":[{"name":"bees","apiKeys":["key-of-bees","other"],)"
    R"("weight":9,"maxCount":{"cpu":16000}},{"name":"none","apiKeys":[]}]})";

BOOST_AUTO_TEST_CASE(CallersNeedAKnownKeyUnlessTheQueueIsOpen) {
  CallerBench bench;
  bench.api.SetConfig(platform::ParseConfig(kKeyedConfig));
  for (const char* key :
       {"", "Token", "Token ", "Token key-of-bee", "Token key-of-beess",
        "Bearer key-of-bees", "key-of-bees"}) {
    bench.authorization = key;
    for (const char* method : {"POST", "GET", "DELETE"})
      BOOST_TEST(bench.Call(method, kJobPath, kBody).status == 401, key);
  }
  BOOST_TEST(bench.standin.Table(std::string(kJobTable)).empty());
  const http::Response refused = bench.Call("GET", "/p/");
  BOOST_TEST(refused.status == 401);
  BOOST_TEST(http::FindHeader(refused.headers, "WWW-Authenticate"));
  bench.authorization = "";
  BOOST_TEST(bench.Call("POST", "/open/5c0e7a21d94b36f9", kBody).status == 200);
  bench.authorization = "Token key-of-bees";
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 200);
  BOOST_TEST(bench.Call("GET", kJobPath).status == 200);
  const auto kept = DecodeAccepted(bench.standin.Value(JobRow(kJobId, {})));
  BOOST_REQUIRE(kept);
  BOOST_TEST(kept->organisation == "bees");
}

// The feed has stopped after one key was added and another removed.
BOOST_AUTO_TEST_CASE(UnknownKeyIsLookedForInTheStoreBeforeItIsRefused) {
  CallerBench bench;
  bench.api.SetConfig(platform::ParseConfig(kKeyedConfig));
  bench.standin.Put(kConfigRow,
                    R"({"version":3,"routes":[{"name":"q","host":"h.example",)"
                    R"("pathPrefix":"/p/","service":"s"}],"services":[],)"
                    R"("tenants":[{"name":"bees","apiKeys":["new"]}]})");
  bench.WaitUntilConfigIsStale();
  bench.authorization = "Token new";
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 200);
  bench.authorization = "Token key-of-bees";
  BOOST_TEST(bench.Call("GET", kJobPath).status == 401);
}

BOOST_AUTO_TEST_CASE(RemovedKeyIsNotServedByAnOldView) {
  CallerBench bench;
  bench.api.SetConfig(platform::ParseConfig(kKeyedConfig));
  bench.standin.Put(kConfigRow,
                    R"({"version":3,"routes":[{"name":"q","host":"h.example",)"
                    R"("pathPrefix":"/p/","service":"s"}],"services":[],)"
                    R"("tenants":[]})");
  bench.WaitUntilConfigIsStale();
  bench.authorization = "Token key-of-bees";
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 401);
  BOOST_TEST(bench.standin.Table(std::string(kJobTable)).empty());
}

// Without an answer from the store a daemon can't tell whether a key is valid.
BOOST_AUTO_TEST_CASE(KeyThatCannotBeCheckedIsNeitherServedNorCalledUnknown) {
  CallerBench bench;
  bench.api.SetConfig(platform::ParseConfig(kKeyedConfig));
  bench.WaitUntilConfigIsStale();
  bench.standin.SetMood(StoreStandin::Mood::kBusy);
  for (const char* key : {"Token key-of-bees", "Token unknown"}) {
    bench.authorization = key;
    BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 503);
  }
}

BOOST_AUTO_TEST_CASE(GangLargerThanItsQuotaIsRejected) {
  CallerBench bench;
  bench.api.SetConfig(platform::ParseConfig(kKeyedConfig));
  bench.authorization = "Token key-of-bees";
  const auto body = [](const char* gang) {
    return std::string(R"({"steps":[{"count":5,"cpu":4000)") + gang + "}]}";
  };
  BOOST_TEST(bench.Call("POST", kJobPath, body(R"(,"gang":true)")).status ==
             413);
  BOOST_TEST(bench.Call("POST", kJobPath, body("")).status == 200);
}

BOOST_AUTO_TEST_CASE(FloodOfUnknownKeysAsksTheStoreNowAndThen) {
  CallerBench bench;
  bench.standin.Put(kConfigRow, kKeyedConfig);
  bench.api.SetConfig(platform::ParseConfig(kKeyedConfig));
  bench.WaitUntilConfigIsStale();
  const int before = bench.standin.reads();
  const base::Micros start = base::MonotonicNow();
  for (int i = 0; i < 200; ++i) {
    bench.authorization = "Token wrong-" + std::to_string(i);
    BOOST_TEST(bench.Call("GET", kJobPath).status == 401);
  }
  // Four reads a second, and the one at the start.
  const auto allowed =
      2 + static_cast<int>(4 * base::Seconds(base::MonotonicNow() - start));
  BOOST_TEST(bench.standin.reads() - before <= allowed);
}

BOOST_AUTO_TEST_CASE(OldViewThatTheStoreDoesNotRenewDecidesNothing) {
  CallerBench bench;
  bench.WaitUntilConfigIsStale();
  bench.standin.SetMood(StoreStandin::Mood::kBusy);
  BOOST_TEST(bench.Call("POST", "/elsewhere", kBody).status == 503);
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 503);
}

// --- Rejection of jobs that cannot be done in time ---

// The one shard has a wait of 10 s, which no job of queue "q" tolerates.
struct OverloadBench : CallerBench {
  OverloadBench() {
    jobs::Queue queue;
    queue.name = "q";
    queue.host = "h.example";
    queue.path_prefix = "/p/";
    queue.service = "s";
    queue.target_latency = std::chrono::seconds(1);
    jobs::Config config;
    config.queues = {queue, queue};
    config.queues[1].name = "other";
    config.queues[1].path_prefix = "/other/";
    this->api.SetConfig(config);
    this->api.SetAdmission(
        {.refresh = [](int, const auto& on_read) { on_read(); },
         .load_of = [this](int) { return this->load; }},
        1);
  }

  std::uint64_t Rejected() const {
    return this->counters.Get(base::Counter::kRejectedByWait);
  }

  ShardLoad load{
      .waits = {{"q", {.within_rate_ms = 10'000, .over_rate_ms = 20'000}}}};
};

// Guards against a rejection of a job that was accepted before, and against one
// that is stored.
BOOST_AUTO_TEST_CASE(JobThatCannotBeDoneInTimeIsRejectedUnlessItIsStored) {
  OverloadBench bench;
  const http::Response rejected = bench.Call("POST", kJobPath, kBody);
  BOOST_TEST(rejected.status == 503);
  const std::string* retry_after =
      http::FindHeader(rejected.headers, "Retry-After");
  BOOST_REQUIRE(retry_after);
  BOOST_TEST(std::stoi(*retry_after) >= 7);
  BOOST_TEST(rejected.body == R"({"error":"cannot be done in time"})");
  BOOST_TEST(bench.standin.writes() == 0);
  bench.load.over_rate = {""};
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 429);
  BOOST_TEST(bench.Rejected() == 2U);
  BOOST_TEST(bench.counters.Get(base::Counter::kRejectedOverRate) == 1U);
  BOOST_TEST(bench.Call("POST", "/other/5c0e7a21d94b36f9", kBody).status ==
             200);
  const ShardLoad overload = std::exchange(bench.load, {});
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 200);
  bench.load = overload;
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 200);
  BOOST_TEST(bench.Rejected() == 2U);
  BOOST_TEST(bench.counters.Get(base::Counter::kAnswered) == 3U);
}

// Guards against a rejection that nothing shows to be true, and against a
// submission that waits for a slow store longer than it has to.
BOOST_AUTO_TEST_CASE(JobIsAdmittedWhileTheStoreDoesNotAnswerTheRead) {
  OverloadBench bench;
  bench.standin.SetMood(StoreStandin::Mood::kSilent);
  base::Timer recovery(bench.loop, [&bench] {
    bench.standin.SetMood(StoreStandin::Mood::kWell);
  });
  recovery.StartOnce(std::chrono::milliseconds(250));
  const base::Micros start = base::MonotonicNow();
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 200);
  // A read without an answer ends after 1.5 s.
  BOOST_CHECK(base::MonotonicNow() - start < std::chrono::milliseconds(1400));
  bench.standin.SetMood(StoreStandin::Mood::kBusy);
  bench.api.OnConfigConfirmed(base::MonotonicNow());
  const http::Response refused =
      bench.Call("POST", "/p/5c0e7a21d94b36f9", kBody);
  BOOST_TEST(refused.body.find("does not take writes") != std::string::npos,
             refused.body);
  BOOST_TEST(bench.Rejected() == 0U);
}

// Guards against a rejection of a job that another submission at the same
// daemon is writing or may have written.
BOOST_AUTO_TEST_CASE(JobOfUnknownFateIsNotRejectedForItsWait) {
  OverloadBench bench;
  const ShardLoad overload = std::exchange(bench.load, {});
  bench.standin.SetNextWrites({StoreStandin::Mood::kSilent});
  std::optional<int> first;
  bench.client.Send(
      {.method = "POST",
       .url =
           "http://127.0.0.1:" + std::to_string(bench.server.port()) + kJobPath,
       .headers = {{.name = "Host", .value = "h.example"},
                   {.name = "Deadline-Ms", .value = "200"}},
       .body = kBody,
       .timeout = std::chrono::seconds(20)},
      [&](const http::ClientResult& got) { first = got.response.status; });
  bench.Until([&] { return bench.server.open_exchanges() == 1; });
  bench.load = overload;
  // Its write is in flight.
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 200);
  bench.Until([&] { return first.has_value(); });
  BOOST_TEST(*first == 504);
  // Its row is gone from the store, but may still appear there.
  bench.standin.Remove(ProgressRow(kJobId));
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 200);
  BOOST_TEST(bench.Rejected() == 0U);
}

BOOST_AUTO_TEST_CASE(CountsComeFromTheStore) {
  CallerBench bench;
  BOOST_TEST(bench.Call("GET", "/p/").body == R"({"pending":0})");
  bench.standin.Put(QueueLengthRow({}), EncodeQueueLengths({{"q", 12}}));
  BOOST_TEST(bench.Call("GET", "/p/").body == R"({"pending":12})");
}

BOOST_AUTO_TEST_CASE(RequestsAreRefusedBeforeAConfigurationIsLoaded) {
  StoreBench bench;
  CallerApi api(bench.loop, bench.store, bench.counters,
                [](const platform::Row&) {});
  http::Server server(bench.loop, {}, [&](const http::ExchangePtr& exchange) {
    api.Handle(exchange);
  });
  std::optional<int> status;
  bench.client.Send(
      {.method = "POST",
       .url = "http://127.0.0.1:" + std::to_string(server.port()) + kJobPath,
       .body = kBody},
      [&](const http::ClientResult& got) { status = got.response.status; });
  bench.Until([&] { return status.has_value(); });
  BOOST_TEST(*status == 503);
}

// --- Jobs of other organisations ---

constexpr const char* kTwoOrganisations =
    R"({"version":2,"routes":[{"name":"q","host":"h.example",)"
    R"("pathPrefix":"/p/","service":"s"},{"name":"o","host":"h.example",)"
    R"("pathPrefix":"/open/","service":"s","authExempt":true}],)"
    R"("services":[{"name":"s"}],)"
    R"("tenants":[{"name":"bees","apiKeys":["bee"]},)"
    R"({"name":"ants","apiKeys":["ant"]}]})";
constexpr const char* kOpenJobPath = "/open/5c0e7a21d94b36f8";

struct AccessBench : CallerBench {
  AccessBench() {
    this->api.SetConfig(platform::ParseConfig(kTwoOrganisations));
  }

  int StatusFor(const std::string& key,
                const std::string& method,
                const std::string& path = kJobPath) {
    this->authorization = key.empty() ? "" : "Token " + key;
    return this->Call(method, path, method == "POST" ? kBody : "").status;
  }
  // As an owner of an earlier version saves it: without the organisation.
  void DropOrganisation() {
    this->standin.Put(
        ProgressRow(kJobId),
        EncodeProgressRecord({.shard = 0, .text = R"({"state":"running"})"}));
  }
};

// Guards against a key that reads, cancels or appears to submit a job of
// another organisation, and against an answer that shows that there is one.
BOOST_AUTO_TEST_CASE(JobOfAnotherOrganisationIsLikeOneThatDoesNotExist) {
  AccessBench bench;
  BOOST_TEST(bench.StatusFor("bee", "POST") == 200);
  bench.authorization = "Token ant";
  for (const char* method : {"GET", "DELETE"}) {
    const http::Response other = bench.Call(method, kJobPath);
    const http::Response none = bench.Call(method, "/p/0000000000000001");
    BOOST_TEST(other.status == 410);
    BOOST_TEST(other.body == none.body);
    BOOST_TEST(other.headers.size() == none.headers.size());
  }
  const http::Response taken = bench.Call("POST", kJobPath, kBody);
  BOOST_TEST(taken.status == 409);
  BOOST_TEST(taken.body.find("the id is taken") != std::string::npos);
  BOOST_TEST(bench.standin.Value(CancelRow(kJobId, {})).empty());
  // Nor through a queue that is open to all, with or without a key.
  for (const char* key : {"", "ant"}) {
    BOOST_TEST(bench.StatusFor(key, "GET", kOpenJobPath) == 410);
    BOOST_TEST(bench.StatusFor(key, "DELETE", kOpenJobPath) == 410);
    BOOST_TEST(bench.StatusFor(key, "POST", kOpenJobPath) == 409);
  }
  for (const char* method : {"GET", "POST", "DELETE"})
    BOOST_TEST(bench.StatusFor("bee", method) == 200);
}

// Guards against a further call to the store with each query.
BOOST_AUTO_TEST_CASE(StateQueryTakesOneReadWhereTheRowNamesTheOrganisation) {
  AccessBench bench;
  bench.StatusFor("bee", "POST");
  const int before = bench.standin.reads();
  BOOST_TEST(bench.StatusFor("bee", "GET") == 200);
  BOOST_TEST(bench.StatusFor("ant", "GET") == 410);
  BOOST_TEST(bench.standin.reads() == before + 2);
}

BOOST_AUTO_TEST_CASE(JobsWithoutAnOrganisationOrOfAnOpenQueueAreOpenToAll) {
  // Accepted before organisations were configured.
  AccessBench without;
  without.api.SetConfig(platform::ParseConfig(
      R"({"version":1,"routes":[{"name":"q","host":"h.example",)"
      R"("pathPrefix":"/p/","service":"s"}],"services":[{"name":"s"}]})"));
  BOOST_TEST(without.StatusFor("", "POST") == 200);
  without.api.SetConfig(platform::ParseConfig(kTwoOrganisations));
  AccessBench open;
  BOOST_TEST(open.StatusFor("bee", "POST", kOpenJobPath) == 200);
  for (const char* method : {"POST", "GET", "DELETE"}) {
    BOOST_TEST(without.StatusFor("ant", method) == 200);
    BOOST_TEST(open.StatusFor("", method, kOpenJobPath) == 200);
    BOOST_TEST(open.StatusFor("ant", method, kOpenJobPath) == 200);
  }
}

BOOST_AUTO_TEST_CASE(AnyCallerReachesAnyJobWithoutConfiguredOrganisations) {
  AccessBench bench;
  bench.StatusFor("bee", "POST");
  bench.api.SetConfig(platform::ParseConfig(
      R"({"version":3,"routes":[{"name":"q","host":"h.example",)"
      R"("pathPrefix":"/p/","service":"s"}],"services":[{"name":"s"}]})"));
  for (const char* method : {"POST", "GET", "DELETE"})
    BOOST_TEST(bench.StatusFor("", method) == 200);
}

BOOST_AUTO_TEST_CASE(AcceptedRowNamesTheOrganisationForRowsOfEarlierVersions) {
  AccessBench bench;
  bench.StatusFor("bee", "POST");
  bench.DropOrganisation();
  BOOST_TEST(bench.StatusFor("ant", "GET") == 410);
  BOOST_TEST(bench.StatusFor("ant", "DELETE") == 410);
  BOOST_TEST(bench.StatusFor("ant", "POST") == 409);
  BOOST_TEST(bench.StatusFor("bee", "GET") == 200);
  BOOST_TEST(bench.StatusFor("bee", "POST") == 200);
  // The job is over, and nothing names its organisation any more.
  bench.standin.Remove(JobRow(kJobId, {}));
  BOOST_TEST(bench.StatusFor("ant", "GET") == 200);
  BOOST_TEST(bench.StatusFor("", "GET") == 401);
}

// Guards against a daemon that decides by an old configuration whose key it is:
// the job was accepted by another daemon under the new one.
BOOST_AUTO_TEST_CASE(KeyThatMovedHasTheAccessOfItsNewOrganisation) {
  constexpr const char* kMoved =
      R"({"version":3,"routes":[{"name":"q","host":"h.example",)"
      R"("pathPrefix":"/p/","service":"s"}],"services":[{"name":"s"}],)"
      R"("tenants":[{"name":"bees","apiKeys":["bee","ant"]},)"
      R"({"name":"ants","apiKeys":["new"]}]})";
  AccessBench bench;
  bench.StatusFor("bee", "POST");
  BOOST_TEST(bench.StatusFor("ant", "GET") == 410);
  bench.standin.Put(kConfigRow, kMoved);
  bench.Within(std::chrono::milliseconds(300), [] { return false; });
  BOOST_TEST(bench.StatusFor("ant", "GET") == 200);
  bench.api.SetConfig(platform::ParseConfig(kTwoOrganisations));
  bench.Within(std::chrono::milliseconds(300), [] { return false; });
  BOOST_TEST(bench.StatusFor("ant", "POST") == 200);
  bench.StatusFor("new", "POST", "/p/0000000000000002");
  BOOST_TEST(bench.StatusFor("ant", "GET", "/p/0000000000000002") == 410);
}

// Its jobs are not open to others, and the other organisations' are as before.
BOOST_AUTO_TEST_CASE(RemovedOrganisationLeavesItsJobsToNobodyElse) {
  AccessBench bench;
  bench.StatusFor("bee", "POST");
  bench.StatusFor("ant", "POST", "/p/0000000000000002");
  bench.api.SetConfig(platform::ParseConfig(
      R"({"version":3,"routes":[{"name":"q","host":"h.example",)"
      R"("pathPrefix":"/p/","service":"s"}],"services":[{"name":"s"}],)"
      R"("tenants":[{"name":"ants","apiKeys":["ant"]}]})"));
  BOOST_TEST(bench.StatusFor("ant", "GET") == 410);
  BOOST_TEST(bench.StatusFor("bee", "GET") == 401);
  BOOST_TEST(bench.StatusFor("ant", "GET", "/p/0000000000000002") == 200);
}

// A store that does not answer must look neither like a missing job nor like a
// refused one: the caller's job may have been accepted.
BOOST_AUTO_TEST_CASE(UnansweredReadOfTheOrganisationDecidesNothing) {
  using Mood = StoreStandin::Mood;
  AccessBench bench;
  bench.StatusFor("bee", "POST");
  bench.DropOrganisation();
  for (const auto& [method, status] :
       {std::pair("GET", 503), std::pair("DELETE", 503)}) {
    bench.standin.SetNextReads({Mood::kWell, Mood::kBusy});
    BOOST_TEST(bench.StatusFor("bee", method) == status, method);
  }
  bench.standin.SetNextReads({Mood::kBusy});
  BOOST_TEST(bench.StatusFor("bee", "POST") == 504);
  BOOST_TEST(bench.standin.Value(CancelRow(kJobId, {})).empty());
}

}  // namespace
}  // namespace quartzhoist::entry
