// Responses to callers with missing, wrong and moved access keys, and about
// jobs of other organisations.

#include <string>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "entry/tables.h"
#include "http/client.h"
#include "jobs/progress.h"
#include "platform/records.h"
#include "testing/caller_bench.h"

namespace quartzhoist::entry {
namespace {

using testing::CallerBench;
using testing::kBody;
using testing::kConfigRow;
using testing::kJobId;
using testing::kJobPath;
using testing::StoreStandin;

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
  // Else a job that is withheld costs a read of the configuration.
  bench.api.OnConfigConfirmed(base::MonotonicNow(), base::MonotonicNow());
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

// Guards against a refusal of a job that is stored: by the daemon's old view
// its key belongs to another organisation, and the newest one cannot be read.
BOOST_AUTO_TEST_CASE(StoredJobOfAMovedKeyIsNotReportedAsRefused) {
  using Mood = StoreStandin::Mood;
  AccessBench bench;
  bench.StatusFor("bee", "POST");
  bench.Within(std::chrono::milliseconds(300), [] { return false; });
  bench.standin.SetNextReads({Mood::kBusy});
  BOOST_TEST(bench.StatusFor("ant", "POST") == 504);
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
