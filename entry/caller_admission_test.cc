// Rejections of jobs that cannot be done in time.

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "entry/admission.h"
#include "entry/tables.h"
#include "http/client.h"
#include "testing/caller_bench.h"

namespace quartzhoist::entry {
namespace {

using testing::CallerBench;
using testing::kBody;
using testing::kJobId;
using testing::kJobPath;
using testing::StoreStandin;

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
  bench.api.OnConfigConfirmed(base::MonotonicNow(), base::MonotonicNow());
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

}  // namespace
}  // namespace quartzhoist::entry
