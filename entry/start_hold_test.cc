// Requests held at the start, and reads of the configuration that are lost.

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "entry/caller_api.h"
#include "entry/start_hold.h"
#include "testing/store_bench.h"

namespace quartzhoist::entry {
namespace {

using std::chrono::milliseconds;
using testing::StoreStandin;

// Guards against requests that are held for longer, or without a bound on their
// number, and against a change of their order.
BOOST_AUTO_TEST_CASE(RequestsAreHeldBrieflyAndInABoundedNumber) {
  StartHold<int> hold;
  for (int i = 0; i < 64; ++i)
    BOOST_TEST(hold.Add(i, milliseconds(i)));
  BOOST_TEST(!hold.Add(64, milliseconds(64)));
  BOOST_TEST(hold.Take(milliseconds(99), false).empty());
  BOOST_TEST((hold.next_expiry() == milliseconds(100)));
  BOOST_TEST((hold.Take(milliseconds(101), false) == std::vector{0, 1}));
  const std::vector<int> rest = hold.Take(milliseconds(102), true);
  BOOST_TEST(rest.size() == 62U);
  BOOST_TEST(rest.front() == 2);
  BOOST_TEST(!hold.next_expiry().has_value());
}

struct StartBench : testing::StoreBench {
  // The status of a query; `meanwhile` is called once it has arrived.
  int Query(const std::function<void()>& meanwhile) {
    std::optional<int> status;
    http::ClientRequest request;
    request.url = "http://127.0.0.1:" + std::to_string(this->server.port()) +
                  "/p/5c0e7a21d94b36f8";
    request.timeout = std::chrono::seconds(20);
    this->client.Send(std::move(request), [&](const http::ClientResult& got) {
      status = got.response.status;
    });
    this->Until(
        [this] { return this->counters.Get(base::Counter::kRequests) > 0; });
    meanwhile();
    this->Until([&] { return status.has_value(); });
    return *status;
  }
  std::uint64_t Held() const {
    return this->counters.Get(base::Counter::kHeldAtStart);
  }

  CallerApi api{this->loop, this->store, this->counters,
                [](const platform::Row&) {}};
  http::Server server{this->loop,
                      {},
                      [this](const http::ExchangePtr& exchange) {
                        this->api.Handle(exchange);
                      }};
};

// Guards against 503 for callers that a restarted daemon could serve moments
// later.
BOOST_AUTO_TEST_CASE(RequestIsServedOnceTheDaemonKnowsWhatItNeeds) {
  StartBench bench;
  const int status = bench.Query([&] {
    bench.api.SetShards(1, [](const auto&, const auto&, const auto&,
                              const auto& chosen) { chosen(0); });
    bench.api.SetConfig(jobs::Config{});
  });
  BOOST_TEST(status == 404);  // not 503: the queue was looked for
  BOOST_TEST(bench.Held() == 1U);
}

BOOST_AUTO_TEST_CASE(HeldRequestIsRefusedIfTheDaemonDoesNotLearnInTime) {
  StartBench bench;
  BOOST_TEST(bench.Query([] {}) == 503);
  BOOST_TEST(bench.Held() == 1U);
}

// Guards against requests that wait for the time limit of reads, and are
// refused then, since a read of the configuration was lost at the end of an
// outage.
BOOST_AUTO_TEST_CASE(LostReadOfTheConfigurationIsMadeOnceMore) {
  StartBench bench;
  bench.api.SetShards(1, [](const auto&, const auto&, const auto&,
                            const auto& chosen) { chosen(0); });
  bench.api.SetConfig(jobs::Config{});
  const base::Micros stale_at = base::MonotonicNow() + milliseconds(600);
  bench.Until([&] { return base::MonotonicNow() > stale_at; });
  bench.standin.SetNextReads({StoreStandin::Mood::kSilent});
  BOOST_TEST(bench.Query([] {}) == 404);
}

}  // namespace
}  // namespace quartzhoist::entry
