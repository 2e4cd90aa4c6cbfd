// What callers are told.

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
    this->api.SetShards(
        1, [](const auto&, const auto&, const auto&) { return 0; });
  }

  http::Response Call(const std::string& method,
                      const std::string& path,
                      const std::string& body = "",
                      const std::string& host = "h.example",
                      const std::string& patience = "2000") {
    std::optional<http::Response> response;
    http::ClientRequest request;
    request.method = method;
    request.url =
        "http://127.0.0.1:" + std::to_string(this->server.port()) + path;
    request.headers = {{.name = "Host", .value = host},
                       {.name = "Deadline-Ms", .value = patience}};
    request.body = body;
    request.timeout = std::chrono::seconds(20);
    this->client.Send(std::move(request), [&](const http::ClientResult& got) {
      response = got.response;
    });
    this->Until([&] { return response.has_value(); });
    return *response;
  }

  // Nothing follows the operators' table here.
  void WaitUntilTheViewIsOld() {
    const base::Micros until =
        base::MonotonicNow() + platform::Deployment{}.config_in_force;
    this->Until([until] { return base::MonotonicNow() > until; });
  }

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

constexpr const char* kJob = "/p/5c0e7a21d94b36f8";
constexpr const char* kId = "5c0e7a21d94b36f8";
constexpr const char* kBody = R"({"spec":"t","steps":[{"count":2}]})";

BOOST_AUTO_TEST_CASE(AcceptedJobIsKeptOnce) {
  CallerBench bench;
  BOOST_TEST(bench.Call("POST", kJob, kBody).status == 200);
  BOOST_TEST(bench.Call("POST", kJob, kBody).status == 200);
  BOOST_TEST(bench.standin.Table(std::string(kJobTable)).size() == 1U);
  BOOST_TEST(bench.Call("GET", kJob).body.find("queued") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(JobWhoseWriteGotNoAnswerIsAccepted) {
  CallerBench bench;
  bench.standin.SetMood(StoreStandin::Mood::kLosesAnswers);
  // The write is tried again under its condition and finds itself.
  BOOST_TEST(bench.Call("POST", kJob, kBody).status == 200);
  BOOST_TEST(bench.standin.Table(std::string(kJobTable)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RefusalIsAtOnceAndTellsWhenToComeBack) {
  CallerBench bench;
  bench.standin.SetMood(StoreStandin::Mood::kBusy);
  const http::Response response = bench.Call("POST", kJob, kBody);
  BOOST_TEST(response.status == 503);
  BOOST_TEST(http::FindHeader(response.headers, "Retry-After"));
  BOOST_TEST(bench.standin.Table(std::string(kJobTable)).empty());
}

// Tries are spaced out, ever wider, and end once the store seems away; in a
// loop hundreds fit into that time.
BOOST_AUTO_TEST_CASE(JobOfUnknownFateIsNeverCalledRefusedNorWrittenInALoop) {
  for (const auto mood :
       {StoreStandin::Mood::kSilent, StoreStandin::Mood::kCuts}) {
    CallerBench bench;
    bench.standin.SetMood(mood);
    const http::Response response =
        bench.Call("POST", kJob, kBody, "h.example", "1200");
    BOOST_TEST(response.status == 504);
    BOOST_TEST(bench.standin.writes() <= 8);
  }
}

// Two daemons choose different shards for one job: the first one's holds, and a
// cancel goes there.
BOOST_AUTO_TEST_CASE(JobHandedInAgainStaysInItsShard) {
  CallerBench bench;
  int next = 1;
  bench.api.SetShards(2, [&next](const auto&, const auto&, const auto&) {
    return std::exchange(next, 0);
  });
  const Shard first{.number = 1, .count = 2};
  const Shard other{.number = 0, .count = 2};
  BOOST_TEST(bench.Call("POST", kJob, kBody).status == 200);
  BOOST_TEST(bench.Call("POST", kJob, kBody).status == 200);
  BOOST_TEST(!bench.standin.Value(JobRow(kId, first)).empty());
  BOOST_TEST(bench.standin.Value(JobRow(kId, other)).empty());
  BOOST_TEST(bench.Call("DELETE", kJob).status == 200);
  BOOST_TEST(bench.standin.Value(CancelRow(kId, first)) == "1");
  BOOST_TEST(bench.standin.Value(CancelRow(kId, other)).empty());
}

// Writes are cut one after the other: the caller hears long before its patience
// ends, and the next one is not even tried.
BOOST_AUTO_TEST_CASE(CallersOfADaemonThatTheStoreTurnsAwayAreToldAtOnce) {
  CallerBench bench;
  bench.standin.SetMood(StoreStandin::Mood::kCuts);
  BOOST_TEST(bench.Call("POST", kJob, kBody, "h.example", "30000").status ==
             504);
  const int written = bench.standin.writes();
  BOOST_TEST(written <= 6);
  BOOST_TEST(bench.Call("POST", "/p/0000000000000001", kBody).status == 503);
  BOOST_TEST(bench.Call("GET", kJob).status == 503);
  BOOST_TEST(bench.standin.writes() == written);
}

BOOST_AUTO_TEST_CASE(JobThatNoRowCanHoldIsRefusedAtOnce) {
  CallerBench bench;
  const std::string step =
      R"({"count":1,"requirements":")" + std::string(200, 'x') + R"("})";
  std::string steps = step;
  for (int i = 0; i < 60; ++i)
    steps += "," + step;
  const std::string body = R"({"spec":"t","steps":[)" + steps + "]}";
  BOOST_TEST(bench.Call("POST", kJob, body).status == 413);
  BOOST_TEST(bench.standin.writes() == 0);
}

// A job whose write is on its way when the process ends may yet be taken.
BOOST_AUTO_TEST_CASE(JobInFlightAtTheEndIsNotCalledRefused) {
  CallerBench bench;
  bench.standin.SetMood(StoreStandin::Mood::kSilent);
  std::optional<int> status;
  bench.client.Send(
      {.method = "POST",
       .url = "http://127.0.0.1:" + std::to_string(bench.server.port()) + kJob,
       .headers = {{.name = "Host", .value = "h.example"}},
       .body = kBody},
      [&](const http::ClientResult& got) { status = got.response.status; });
  bench.Until([&] { return bench.server.open_exchanges() == 1; });
  bench.api.End();
  bench.Until([&] { return status.has_value(); });
  BOOST_TEST(*status == 504);
}

BOOST_AUTO_TEST_CASE(CancelIsKeptAndUnknownJobsAreGone) {
  CallerBench bench;
  BOOST_TEST(bench.Call("DELETE", kJob).status == 410);
  BOOST_TEST(bench.Call("GET", kJob).status == 410);
  bench.Call("POST", kJob, kBody);
  BOOST_TEST(bench.Call("DELETE", kJob).status == 200);
  BOOST_TEST(bench.standin.Value(CancelRow(kId, {})) == "1");
}

BOOST_AUTO_TEST_CASE(StateThatCannotBeReadIsNotGuessed) {
  CallerBench bench;
  bench.Call("POST", kJob, kBody);
  bench.standin.Put(ProgressRow(kId), "nonsense");
  BOOST_TEST(bench.Call("GET", kJob).status == 503);
  bench.standin.SetMood(StoreStandin::Mood::kBusy);
  BOOST_TEST(bench.Call("GET", kJob).status == 503);
}

BOOST_AUTO_TEST_CASE(BadRequestsGetAClearAnswer) {
  CallerBench bench;
  BOOST_TEST(bench.Call("POST", kJob, "{").status == 400);
  BOOST_TEST(bench.Call("POST", "/p/short", kBody).status == 400);
  BOOST_TEST(bench.Call("POST", kJob, kBody, "other.example").status == 404);
  BOOST_TEST(bench.Call("POST", "/elsewhere", kBody).status == 404);
  BOOST_TEST(bench.Call("PATCH", kJob, kBody).status == 405);
  const std::string long_body(300'000, ' ');
  BOOST_TEST(bench.Call("POST", kJob, long_body).status == 413);
  BOOST_TEST(bench.standin.Table(std::string(kJobTable)).empty());
}

// A job that is over has no row of its own any more, only its progress.
BOOST_AUTO_TEST_CASE(JobThatIsOverIsNotTakenAgain) {
  CallerBench bench;
  jobs::Progress progress;
  progress.state = jobs::JobState::kCompleted;
  bench.standin.Put(ProgressRow(kId),
                    EncodeKept({.text = jobs::EncodeProgress(progress)}));
  BOOST_TEST(bench.Call("POST", kJob, kBody).status == 200);
  BOOST_TEST(bench.standin.Value(JobRow(kId, {})).empty());
  BOOST_TEST(bench.Call("GET", kJob).body == R"({"state":"completed"})");
}

const platform::RowKey kConfigRow{
    .table = std::string(platform::kOperatorTable),
    .part = "",
    .key = std::string(platform::kConfigKey)};

// The feed has fallen silent: a change has not come.
BOOST_AUTO_TEST_CASE(UnknownQueueIsLookedForInTheStoreBeforeItIsRefused) {
  CallerBench bench;
  bench.standin.Put(
      kConfigRow,
      R"({"version":2,"routes":[{"name":"n","host":"new.example",)"
      R"("pathPrefix":"/n/","service":"s"}],"services":[{"name":"s"}]})");
  bench.WaitUntilTheViewIsOld();
  constexpr const char* kNewJob = "/n/5c0e7a21d94b36f8";
  BOOST_TEST(bench.Call("POST", kNewJob, kBody, "new.example").status == 200);
  BOOST_TEST(bench.Call("POST", kJob, kBody).status == 404);
}

BOOST_AUTO_TEST_CASE(DroppedQueueIsNotServedByAnOldView) {
  CallerBench bench;
  bench.standin.Put(kConfigRow, R"({"version":2,"routes":[],"services":[]})");
  bench.WaitUntilTheViewIsOld();
  BOOST_TEST(bench.Call("POST", kJob, kBody).status == 404);
}

BOOST_AUTO_TEST_CASE(OldViewThatTheStoreDoesNotRenewDecidesNothing) {
  CallerBench bench;
  bench.WaitUntilTheViewIsOld();
  bench.standin.SetMood(StoreStandin::Mood::kBusy);
  BOOST_TEST(bench.Call("POST", "/elsewhere", kBody).status == 503);
  BOOST_TEST(bench.Call("POST", kJob, kBody).status == 503);
}

BOOST_AUTO_TEST_CASE(CountsComeFromTheStore) {
  CallerBench bench;
  BOOST_TEST(bench.Call("GET", "/p/").body == R"({"pending":0})");
  bench.standin.Put(CountRow({}), EncodeCounts({{"q", 12}}));
  BOOST_TEST(bench.Call("GET", "/p/").body == R"({"pending":12})");
}

BOOST_AUTO_TEST_CASE(WithoutAConfigurationNothingIsTaken) {
  StoreBench bench;
  CallerApi api(bench.loop, bench.store, bench.counters,
                [](const platform::Row&) {});
  http::Server server(bench.loop, {}, [&](const http::ExchangePtr& exchange) {
    api.Handle(exchange);
  });
  std::optional<int> status;
  bench.client.Send(
      {.method = "POST",
       .url = "http://127.0.0.1:" + std::to_string(server.port()) + kJob,
       .body = kBody},
      [&](const http::ClientResult& got) { status = got.response.status; });
  bench.Until([&] { return status.has_value(); });
  BOOST_TEST(*status == 503);
}

}  // namespace
}  // namespace quartzhoist::entry
