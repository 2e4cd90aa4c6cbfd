// Tests of reading the platform's list of boxes at a shared rate.

#include <chrono>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "entry/box_lister.h"
#include "http/client.h"
#include "http/server.h"

namespace quartzhoist::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kPages = 4;

// A list of one box a page. `throttled` requests, counted from 1, get 429.
struct ListBench {
  explicit ListBench(std::set<int> throttled)
      : throttled(std::move(throttled)) {}

  void Answer(const http::ExchangePtr& exchange) {
    ++this->requests;
    if (this->throttled.contains(this->requests)) {
      exchange->Reply(http::JsonResponse(429, "{}"));
      return;
    }
    const std::string& path = exchange->request().path;
    const std::size_t token = path.find("pageToken=");
    const int page =
        token == std::string::npos ? 0 : std::stoi(path.substr(token + 10));
    const std::string next =
        page + 1 < kPages ? fmt::format("\"{}\"", page + 1) : "null";
    exchange->Reply(http::JsonResponse(
        200, fmt::format(R"({{"machines":[{{"machine":"box-{}","pool":"p",)"
                         R"("state":"up"}}],"nextToken":{}}})",
                         page, next)));
  }

  std::vector<scheduler::BoxInfo> List() {
    this->lister.ListIfDue(base::MonotonicNow());
    while (this->listed.empty())
      this->loop.RunOnce();
    return this->listed;
  }

  std::set<int> throttled;
  int requests = 0;
  std::vector<scheduler::BoxInfo> listed;
  base::Loop loop;
  http::Server server{
      this->loop,
      {},
      [this](const http::ExchangePtr& exchange) { this->Answer(exchange); }};
  http::Client client{this->loop};
  platform::Boxes boxes{client, fmt::format("127.0.0.1:{}", server.port()),
                        "daemon", [] { return true; }};
  BoxLister lister{this->loop,
                   this->boxes,
                   Shard{},
                   64.0,
                   1,
                   [this](const std::vector<scheduler::BoxInfo>& all,
                          base::Micros) { this->listed = all; }};
};

// 32 owners list 30 pages each at 64 pages a second together. A list that began
// anew at each refusal was never complete.
BOOST_AUTO_TEST_CASE(ThrottledListGoesOnAtThePageThatWasRefused) {
  ListBench bench({3, 5});
  BOOST_TEST(bench.List().size() == static_cast<std::size_t>(kPages));
  BOOST_TEST(bench.requests == kPages + 2);
}

BOOST_AUTO_TEST_CASE(ListIsNotRepeatedWithinItsPeriod) {
  ListBench bench({});
  bench.List();
  bench.lister.ListIfDue(base::MonotonicNow());
  BOOST_TEST(bench.requests == kPages);
}

// Reads a second of all owners together, at the size of one fleet and of twice
// that size.
BOOST_AUTO_TEST_CASE(ListsOfAllOwnersStayWithinTheRate) {
  constexpr double kRate = 64.0;
  for (const int scale : {1, 2}) {
    const int shards = 32 * scale;
    const int pages = 30 * scale;
    const base::Micros period = BoxListPeriod(pages, shards, kRate);
    BOOST_TEST(shards * pages / base::Seconds(period) <= kRate / 2 + 1e-3);
  }
  // A small fleet is listed as often as before.
  BOOST_CHECK(BoxListPeriod(3, 4, kRate) == milliseconds(1500));
}

}  // namespace
}  // namespace quartzhoist::entry
