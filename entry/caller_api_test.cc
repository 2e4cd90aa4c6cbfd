// Responses to callers under store faults and stale configuration.

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "entry/caller_api.h"
#include "entry/tables.h"
#include "http/client.h"
#include "http/server.h"
#include "jobs/progress.h"
#include "platform/records.h"
#include "testing/caller_bench.h"
#include "testing/store_bench.h"

namespace quartzhoist::entry {
namespace {

using testing::CallerBench;
using testing::kBody;
using testing::kConfigRow;
using testing::kJobId;
using testing::kJobPath;
using testing::StoreBench;
using testing::StoreStandin;

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

// Guards against a refused job that runs: its write was done, the connection
// ended, and the store refused the HTTP library's repetition.
BOOST_AUTO_TEST_CASE(JobWhoseRepeatedWriteIsRefusedIsNotReportedAsRefused) {
  using Mood = StoreStandin::Mood;
  CallerBench bench;
  bench.Call("POST", "/p/0000000000000001", kBody);
  bench.standin.SetNextWrites({Mood::kLosesAnswers, Mood::kBusy});
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 200);
  BOOST_TEST(!bench.standin.Value(JobRow(kJobId, {})).empty());
}

// Guards against a refusal that another submission of the job disproves: the
// write of the first has no answer and is made again, that of the second is
// refused.
BOOST_AUTO_TEST_CASE(JobThatIsStillBeingWrittenIsNotReportedAsRefused) {
  using Mood = StoreStandin::Mood;
  CallerBench bench;
  bench.standin.SetNextWrites({Mood::kCuts, Mood::kBusy});
  std::multiset<int> statuses;
  for (int i = 0; i < 2; ++i) {
    bench.client.Send({.method = "POST",
                       .url = "http://127.0.0.1:" +
                              std::to_string(bench.server.port()) + kJobPath,
                       .headers = {{.name = "Host", .value = "h.example"}},
                       .body = kBody,
                       .timeout = std::chrono::seconds(20)},
                      [&](const http::ClientResult& got) {
                        statuses.insert(got.response.status);
                      });
  }
  bench.Until([&] { return statuses.size() == 2U; });
  BOOST_TEST(!bench.standin.Value(JobRow(kJobId, {})).empty());
  BOOST_TEST(statuses == (std::multiset<int>{200, 504}),
             boost::test_tools::per_element());
}

// Guards against a refusal for want of room that says "not run" of a job whose
// earlier submission may have been written.
BOOST_AUTO_TEST_CASE(RefusalForRoomOfAJobOfUnknownFateIsNotCalledNotRun) {
  CallerBench bench;
  bench.standin.SetMood(StoreStandin::Mood::kCuts);
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 504);
  const auto refusal = [&bench](const std::string& path) {
    return bench.api.RefuseForRoom({.method = "POST", .path = path});
  };
  BOOST_TEST(refusal(kJobPath).status == 504);
  const http::Response other = refusal("/p/0000000000000001");
  BOOST_TEST(other.status == 503);
  BOOST_TEST(http::FindHeader(other.headers, "Retry-After"));
}

// Guards against the same where the first submission has been answered 504.
BOOST_AUTO_TEST_CASE(JobOfUnknownFateIsNotRefusedWhenSubmittedAgain) {
  CallerBench bench;
  bench.standin.SetMood(StoreStandin::Mood::kCuts);
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 504);
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 504);
  BOOST_TEST(bench.Call("POST", "/p/0000000000000001", kBody).status == 503);
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

// Guards against an accepted job whose progress no row can hold: it would stand
// still once the marks of its finished tasks fill the row.
BOOST_AUTO_TEST_CASE(JobWhoseProgressNoRowCanHoldIsRejected) {
  CallerBench bench;
  const std::string repeated =
      R"({"spec":"t","repeatCount":1000,"intervalMs":1000,"steps":[{},{}]})";
  BOOST_TEST(bench.Call("POST", kJobPath, repeated).status == 413);
  const std::string large_gang =
      R"({"spec":"t","steps":[{"count":1000,"gang":true}]})";
  BOOST_TEST(bench.Call("POST", kJobPath, large_gang).status == 413);
  BOOST_TEST(bench.standin.writes() == 0);
  const std::string many_tasks = R"({"spec":"t","steps":[{"count":2000}]})";
  BOOST_TEST(bench.Call("POST", kJobPath, many_tasks).status == 200);
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

// Guards against a refused job that is written all the same, by the turn of the
// loop in which the process ends.
BOOST_AUTO_TEST_CASE(JobRefusedAtShutdownIsNotWritten) {
  CallerBench bench;
  bench.standin.SetDelay(std::chrono::milliseconds(100));
  // The rows of both lie in one part, so that the second waits for the first.
  const std::string part = ProgressRow(kJobId).part;
  std::string other;
  for (int i = 0; other.empty() || ProgressRow(other).part != part; ++i)
    other = fmt::format("{:016x}", i);
  std::vector<int> statuses;
  const auto submit = [&](const std::string& job) {
    bench.client.Send({.method = "POST",
                       .url = "http://127.0.0.1:" +
                              std::to_string(bench.server.port()) + "/p/" + job,
                       .headers = {{.name = "Host", .value = "h.example"}},
                       .body = kBody,
                       .timeout = std::chrono::seconds(20)},
                      [&](const http::ClientResult& got) {
                        statuses.push_back(got.response.status);
                      });
  };
  submit(kJobId);
  bench.Until([&] { return bench.server.open_exchanges() == 1U; });
  submit(other);
  bench.Until([&] { return bench.server.open_exchanges() == 2U; });
  bench.api.Shutdown();
  const std::string late = "00000000000000ff";
  submit(late);
  bench.Until([&] { return statuses.size() == 3U; });
  bench.Within(std::chrono::milliseconds(300), [] { return false; });
  std::sort(statuses.begin(), statuses.end());
  BOOST_TEST(statuses == (std::vector<int>{503, 503, 504}),
             boost::test_tools::per_element());
  BOOST_TEST(!bench.standin.Value(JobRow(kJobId, {})).empty());
  BOOST_TEST(bench.standin.Value(JobRow(other, {})).empty());
  BOOST_TEST(bench.standin.Value(JobRow(late, {})).empty());
}

BOOST_AUTO_TEST_CASE(CancelIsStoredAndUnknownJobsAnswerGone) {
  CallerBench bench;
  constexpr const char* kUnknownPath = "/p/0000000000000001";
  BOOST_TEST(bench.Call("DELETE", kUnknownPath).status == 410);
  BOOST_TEST(bench.Call("GET", kUnknownPath).status == 410);
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 200);
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

// Guards against a daemon that serves a new queue and then answers 404 for it:
// an answer of a slow store that was given before the queue was added counted
// as confirmation from its arrival on.
BOOST_AUTO_TEST_CASE(QueueAddedWhileAnAnswerWasOnItsWayIsServed) {
  CallerBench bench;
  bench.standin.Put(kConfigRow, R"({"version":2,"routes":[{"name":"new",)"
                                R"("host":"h.example","pathPrefix":"/new/",)"
                                R"("service":"s"}],"services":[]})");
  const base::Micros now = base::MonotonicNow();
  bench.api.OnConfigConfirmed(now - std::chrono::milliseconds(600), now);
  BOOST_TEST(bench.Call("GET", "/new/").status == 200);
}

BOOST_AUTO_TEST_CASE(OldViewThatTheStoreDoesNotRenewDecidesNothing) {
  CallerBench bench;
  bench.WaitUntilConfigIsStale();
  bench.standin.SetMood(StoreStandin::Mood::kBusy);
  BOOST_TEST(bench.Call("POST", "/elsewhere", kBody).status == 503);
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 503);
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

}  // namespace
}  // namespace quartzhoist::entry
