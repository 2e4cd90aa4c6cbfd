// Tests the explanations of waiting jobs: their content, who gets them, and how
// often.

#include <fstream>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "entry/call_limit.h"
#include "entry/explain.h"
#include "entry/explain_api.h"
#include "entry/tables.h"
#include "http/client.h"
#include "http/server.h"
#include "jobs/progress.h"
#include "platform/records.h"
#include "testing/cluster_fixture.h"
#include "testing/process.h"
#include "testing/scheduler_bench.h"
#include "testing/store_bench.h"

namespace quartzhoist::entry {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::StoreBench;

constexpr const char* kJob = "5c0e7a21d94b36f8";

// Guards against an answer as long as the job, and against one in which running
// tasks hide the waiting ones.
BOOST_AUTO_TEST_CASE(WaitingTasksComeFirstAndTheRestIsCounted) {
  testing::SchedulerBench bench(1);
  bench.scheduler.UpdateWorker(testing::SchedulerBench::Worker("w"), bench.now);
  bench.Report("w", {});
  jobs::Step step = testing::SchedulerBench::OneTask();
  step.tasks = 60;
  step.task_resources.cpu_millis = 4000;  // the whole worker
  bench.AddJob(kJob, step);
  const scheduler::StartRun start = bench.NextStart();
  bench.scheduler.StartAnswered(start, scheduler::CommandOutcome::kDone,
                                bench.now);
  bench.now += seconds(1);
  const auto explain = [&](std::size_t most) {
    return Json::parse(ExplainOwnedJob(
        {.job = &bench.scheduler.all_jobs().at(kJob),
         .tasks = bench.scheduler.ExplainJob(kJob, most, bench.now).value(),
         .shard = 3,
         .age = milliseconds(40)}));
  };
  const Json answer = explain(kMaxExplainedTasks);
  BOOST_TEST(answer["job"] == kJob);
  BOOST_TEST(answer["shard"] == 3);
  BOOST_TEST(answer["queue"] == "queue");
  BOOST_TEST(answer["source"] == "owner");
  BOOST_TEST(answer["age_ms"] == 40);
  BOOST_REQUIRE(answer["tasks"].size() == 50U);
  BOOST_TEST(answer["tasks_left_out"] == 10);
  BOOST_TEST(answer["tasks"][0]["state"] == "ready");
  BOOST_TEST(answer["tasks"][0]["waits_for"] == "room");
  BOOST_TEST(answer["tasks"][0]["since_ms"] >= 1000);
  const Json all = explain(100);
  BOOST_TEST(all["tasks_left_out"] == 0);
  const Json running = all["tasks"].back();
  BOOST_TEST(running["state"] == "running");
  BOOST_TEST(!running.contains("waits_for"));
  BOOST_TEST(running["runs"][0]["worker"] == "w");
  BOOST_TEST(running["runs"][0]["end"] == "");
  BOOST_TEST(!bench.scheduler.ExplainJob("unknown", 50, bench.now).has_value());
}

BOOST_AUTO_TEST_CASE(RowsShowTheLatestRunsOfTasksThatAreNotDone) {
  StoredJob stored{.job = kJob, .shard = 1, .owner = "entry-2"};
  const jobs::TaskKey task{.step = {}, .index = 4};
  for (int run = 1; run <= 12; ++run)
    stored.progress.MarkFailed(task, run);
  stored.progress.MarkLost(task, {.id = "a"}, {.run = 13, .has_crashed = true});
  stored.progress.placed[{.step = {}, .index = 5}] = {.worker = {.id = "b"},
                                                      .run = 1};
  stored.progress.MarkFailed({.step = {}, .index = 6}, 1);
  stored.progress.MarkDone({}, 6);
  const Json answer = Json::parse(ExplainStoredJob(stored));
  BOOST_TEST(answer["source"] == "row");
  BOOST_TEST(answer["owner"] == "entry-2");
  BOOST_TEST(!answer.contains("priority"));
  BOOST_REQUIRE(answer["tasks"].size() == 2U);
  const Json runs = answer["tasks"][0]["runs"];
  BOOST_REQUIRE(runs.size() == 10U);
  BOOST_TEST(runs[0].dump() == R"({"end":"crashed","run":13,"worker":"a"})");
  BOOST_TEST(runs[1]["end"] == "failed");
  BOOST_TEST(answer["tasks"][1]["state"] == "placed");
}

// Guards against explanations that take a small box's time from scheduling.
BOOST_AUTO_TEST_CASE(FourExplanationsAreGivenInAnySecond) {
  CallLimit limit(kMaxExplanationsPerSecond);
  const base::Micros start = seconds(100);
  for (int i = 0; i < 4; ++i)
    BOOST_TEST(limit.Take(start + i * milliseconds(200)));
  BOOST_TEST(!limit.Take(start + milliseconds(999)));
  BOOST_TEST(limit.Take(start + milliseconds(1000)));
  BOOST_TEST(!limit.Take(start + milliseconds(1100)));
  BOOST_TEST(limit.Take(start + milliseconds(1200)));
}

constexpr const char* kConfig =
    R"({"version":2,"routes":[{"name":"q","host":"h.example",)"
    R"("pathPrefix":"/p/","service":"s","priority":2,"authExempt":true}],)"
    R"("services":[{"name":"s"}],)"
    R"("tenants":[{"name":"bees","apiKeys":["bee"]},)"
    R"({"name":"ants","apiKeys":["ant"]}]})";

struct ExplainBench : StoreBench {
  http::Response Ask(const std::string& key,
                     const std::string& path = std::string("/explain/") +
                                               kJob) {
    http::ClientRequest request;
    request.url = "http://" + std::string("127.0.0.1:") +
                  std::to_string(this->server.port()) + path;
    if (!key.empty())
      request.headers = {{.name = "Authorization", .value = "Token " + key}};
    std::optional<http::Response> response;
    this->client.Send(std::move(request), [&](const http::ClientResult& got) {
      response = got.response;
    });
    this->Until([&] { return response.has_value(); });
    return *response;
  }
  // Past the limit of requests per second.
  void WaitForLimit() {
    this->Within(milliseconds(1050), [] { return false; });
  }
  void PutProgress(const std::optional<std::string>& organisation) {
    jobs::Progress progress;
    progress.organisation = organisation;
    progress.queue = organisation ? "q" : "";
    this->standin.Put(
        ProgressRow(kJob),
        EncodeProgressRecord(
            {.shard = 0, .text = jobs::EncodeProgress(progress)}));
  }

  jobs::Config config = platform::ParseConfig(kConfig);
  ExplainApi api{
      this->store,
      {.config = [this] { return &this->config; },
       .shards = [] { return 1; },
       .owned = [](const std::string&) { return std::optional<OwnedJob>(); }}};
  http::Server server{this->loop,
                      {},
                      [this](const http::ExchangePtr& exchange) {
                        this->api.Handle(exchange);
                      }};
};

// Also of a job of a queue that is open to callers.
BOOST_AUTO_TEST_CASE(OnlyTheKeyOfTheJobsOrganisationGetsAnExplanation) {
  ExplainBench bench;
  const int missing = bench.Ask("ant").status;
  BOOST_TEST(missing == 410);
  bench.PutProgress("bees");
  const http::Response other = bench.Ask("ant");
  BOOST_TEST(other.status == 410);
  BOOST_TEST(other.body.find("there is no such job") != std::string::npos);
  for (const char* key : {"", "unknown"})
    BOOST_TEST(bench.Ask(key).status == 401);
  const http::Response own = bench.Ask("bee");
  BOOST_TEST(own.status == 200);
  const Json answer = Json::parse(own.body);
  BOOST_TEST(answer["queue"] == "q");
  BOOST_TEST(answer["priority"] == 2);
  BOOST_TEST(answer["owner"] == "");
  bench.WaitForLimit();
  bench.standin.Put(OwnerRow({}), EncodeOwner({.holder = "entry-7"}));
  bench.PutProgress("");
  BOOST_TEST(Json::parse(bench.Ask("ant").body)["owner"] == "entry-7");
  BOOST_TEST(bench.Ask("").status == 401);
  bench.config = platform::ParseConfig(R"({"version":3})");
  bench.PutProgress("bees");
  BOOST_TEST(bench.Ask("").status == 200);
}

BOOST_AUTO_TEST_CASE(ExplanationOfARowOfAnEarlierVersionAsksTheAcceptedRow) {
  ExplainBench bench;
  jobs::Queue queue;
  queue.name = "q";
  bench.PutProgress(std::nullopt);
  bench.standin.Put(
      JobRow(kJob, {}),
      EncodeAccepted({.queue = queue, .organisation = "bees", .body = "{}"}));
  BOOST_TEST(bench.Ask("ant").status == 410);
  BOOST_TEST(Json::parse(bench.Ask("bee").body)["queue"] == "q");
  bench.standin.Remove(JobRow(kJob, {}));
  BOOST_TEST(bench.Ask("ant").status == 200);
}

BOOST_AUTO_TEST_CASE(RequestsBeyondTheLimitAndWithoutTheStoreAreRefused) {
  ExplainBench bench;
  bench.PutProgress("bees");
  BOOST_TEST(bench.Ask("bee", "/explain/short").status == 400);
  bench.standin.SetMood(testing::StoreStandin::Mood::kBusy);
  BOOST_TEST(bench.Ask("bee").status == 503);
  bench.standin.SetMood(testing::StoreStandin::Mood::kWell);
  for (int i = 0; i < 3; ++i)
    BOOST_TEST(bench.Ask("bee").status == 200);
  const http::Response refused = bench.Ask("bee");
  BOOST_TEST(refused.status == 429);
  BOOST_TEST(http::FindHeader(refused.headers, "Retry-After"));
}

// The operators' client asks real daemons.
BOOST_AUTO_TEST_CASE(ClientExplainsAJobByTheOwnerAndByTheRow) {
  using testing::kTimeoutSeconds;
  testing::ClusterFixture fixture(2);
  testing::JobCluster& cluster = fixture.cluster;
  cluster.workers().SetRunTime(seconds(60));
  fixture.InstallKeyedConfig(testing::KeyedConfig(2, "key-of-bees"));
  cluster.SetKey("key-of-bees");
  const std::string job = testing::JobId(1);
  BOOST_REQUIRE(cluster.WaitUntil(
      kTimeoutSeconds, [&] { return cluster.Submit(job, 2, 1) == 200; }));
  BOOST_REQUIRE(cluster.WaitUntil(
      kTimeoutSeconds, [&] { return cluster.workers().starts() > 0; }));
  const std::string owner = cluster.Owner();
  const std::string folder = cluster.daemons().at(owner).settings + ".explain";
  std::ofstream(folder + ".key") << "key-of-bees\n";
  const auto explain = [&](const std::string& daemon,
                           std::vector<std::string> options) {
    std::vector<std::string> words = {
        std::string(QUARTZHOIST_BINARY_DIR) + "/client/quartzhoist", "explain",
        job, cluster.daemons().at(daemon).metrics};
    words.insert(words.end(), options.begin(), options.end());
    testing::Process client(words, folder);
    BOOST_TEST(cluster.WaitUntil(kTimeoutSeconds,
                                 [&client] { return !client.running(); }));
    const int code = client.Wait(0).value_or(-1);
    return std::pair(code, code == 0 ? client.Output() : client.Log());
  };
  const std::vector<std::string> with_key = {"--key-file", folder + ".key",
                                             "--json"};
  for (const auto& [id, daemon] : cluster.daemons()) {
    const auto [code, output] = explain(id, with_key);
    BOOST_REQUIRE_MESSAGE(code == 0,
                          id << ": exit code " << code << ": " << output);
    const Json answer = Json::parse(output);
    BOOST_TEST(answer["state"] == cluster.StateOf(job));
    BOOST_TEST(answer["source"] == (id == owner ? "owner" : "row"));
    BOOST_TEST(answer.value("owner", owner) == owner);
    BOOST_TEST(answer["tasks"][0]["runs"][0]["run"] == 1);
  }
  const auto [code, table] = explain(owner, {"--key-file", folder + ".key"});
  BOOST_TEST(code == 0);
  BOOST_TEST(table.find("waits_for") != std::string::npos, table);
  BOOST_TEST(explain(owner, {}).first == 1);
  BOOST_TEST(explain(owner, {"--key-file", folder + ".none"}).first == 2);
}

}  // namespace
}  // namespace quartzhoist::entry
