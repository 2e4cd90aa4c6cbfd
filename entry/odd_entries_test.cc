// Odd entries of another writer among those of the workers.

#include <csignal>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "testing/cluster_fixture.h"

namespace quartzhoist::testing {
namespace {

// As deep as a row of 65,536 bytes holds once it is encoded.
constexpr std::size_t kDepth = 24'000;

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string Entry(const std::string& address,
                  const std::string& capacity,
                  const std::string& more) {
  return fmt::format(
      R"({{"born":1,"service":"press","address":"{}","zone":"z",)"
      R"("state":"ready","machine":"box-odd","labels":["a","r"],)"
      R"("capacity":{}{}}})",
      address, capacity, more);
}

std::vector<std::string> OddEntries() {
  const std::string address = "127.0.0.1:1";
  const std::string capacity = R"({"cpu":4000,"memMb":4000,"gpu":0})";
  std::vector<std::string> entries = {
      Nested(kDepth),
      std::string(2 * kDepth, '['),
      Entry(address, Nested(kDepth), ""),
      Entry(address, capacity, R"(,"unknown":)" + Nested(kDepth)),
      Entry(address, capacity, R"(,"unknown":)" + std::string(kDepth, '{')),
  };
  for (const char* number : {"1e999", "-1e999", "9223372036854775808",
                             "18446744073709551616", "-1", "1e15", "0.5"}) {
    entries.push_back(Entry(
        address, fmt::format(R"({{"cpu":{0},"memMb":{0},"gpu":{0}}})", number),
        ""));
    entries.push_back(
        Entry(address, capacity, fmt::format(R"(,"clockMs":{})", number)));
    entries.push_back(fmt::format(R"({{"born":{}}})", number));
  }
  for (const char* port : {"0", "-1", "65536", "70000", "100000000000000000000",
                           "", "x", "1.5", "+80", " 80"})
    entries.push_back(Entry(fmt::format("127.0.0.1:{}", port), capacity, ""));
  return entries;
}

// Guards against processes that end, or that stop following the list of
// workers, when they read an odd entry.
BOOST_AUTO_TEST_CASE(OddEntriesNeitherEndDaemonsNorStopTheirList) {
  ClusterFixture fixture(2);
  int count = 0;
  const auto put_all = [&] {
    for (const std::string& entry : OddEntries())
      fixture.cluster.store().Put({.table = "servers",
                                   .part = "",
                                   .key = fmt::format("i-odd-{}", ++count)},
                                  entry);
  };
  // 1. As changes, and as parts of the whole list, which is read anew.
  put_all();
  fixture.cluster.store().ForgetHistory();
  fixture.SubmitAll();
  fixture.ExpectAllCompletedOnce();
  // 2. By a new owner.
  const std::string owner = fixture.cluster.Owner();
  fixture.OwnerProcess().Signal(SIGKILL);
  BOOST_REQUIRE(fixture.WaitForOwnerOtherThan(owner));
  put_all();
  // 3. The list is still followed: a worker that is announced after them, of a
  // kind of its own, is used.
  fixture.cluster.workers().AddBox("box-new", "press");
  const std::string other = owner == "entry-1" ? "entry-2" : "entry-1";
  const char* body =
      R"({"spec":"work","steps":[{"count":1,"cpu":500,"memMb":100,)"
      R"("estimateMs":100,"requirements":"rack-box-new"}]})";
  BOOST_REQUIRE(fixture.cluster.Call(other, "POST", JobId(90), body).status ==
                200);
  BOOST_TEST(fixture.cluster.WaitUntil(kTimeoutSeconds, [&] {
    return fixture.cluster.Call(other, "GET", JobId(90))
               .body.find("completed") != std::string::npos;
  }));
  BOOST_TEST(JoinLines(fixture.cluster.CrashedDaemons()) == "");
}

}  // namespace
}  // namespace quartzhoist::testing
