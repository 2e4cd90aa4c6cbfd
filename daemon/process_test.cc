// Real processes under failure: killed, frozen, cut from the platform, raced
// by operators.

#include <atomic>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "base/loop.h"
#include "http/client.h"
#include "testing/cluster.h"

namespace quartzhoist::testing {
namespace {

using nlohmann::json;

constexpr const char* kTable = R"(
pool  | boxes | wave | reserve | pace
press | 2     | 1    | none    | 100

service | pool  | class   | away | deadline | repeat
quotes  | press | urgent  | 50%  | 5000ms   | method
batch   | press | patient | 50%  | 5000ms   | keyed
)";

constexpr double kSoon = 20;

struct Answer {
  int status = 0;  // 0: no whole answer
  std::string verdict;
  std::string retry_after;
  std::string body;
};

Answer Send(const std::string& address,
            const std::string& path,
            const std::string& key = "") {
  base::Loop loop;
  http::Client client(loop);
  Answer answer;
  http::ClientRequest request{.method = key.empty() ? "GET" : "POST",
                              .url = "http://" + address + path,
                              .timeout = std::chrono::seconds(10)};
  if (!key.empty()) {
    request.headers.push_back({"Idempotency-Key", key});
    request.headers.push_back({"X-Request-Id", key});
    request.body = "batch";
  }
  client.Send(std::move(request), [&](const http::ClientResult& result) {
    if (result.verdict == base::Verdict::kRan) {
      answer.status = result.response.status;
      answer.body = result.response.body;
      const json problem = json::parse(answer.body, nullptr, false);
      if (problem.is_object())
        answer.verdict = problem.value("verdict", "");
      if (const auto* after =
              http::FindHeader(result.response.headers, "Retry-After"))
        answer.retry_after = *after;
    }
    loop.Stop();
  });
  loop.Run();
  return answer;
}

// Two targets, the platform, and as many daemons as a test asks for.
struct Bench {
  explicit Bench(int daemons, const std::string& work_us = "1000")
      : cluster({.programs = QUARTZHOIST_BINARY_DIR, .table = kTable}) {
    for (const char* name : {"b1", "b2"}) {
      table::Box box;
      box.name = name;
      box.zone = "z1";
      box.rack = name;
      box.pool = "press";
      this->cluster.AddTarget(box, {"--work-us", work_us});
    }
    this->cluster.StartPlatform();
    for (int i = 1; i <= daemons; ++i)
      this->cluster.StartDaemon("e" + std::to_string(i), "z1");
    BOOST_REQUIRE(this->cluster.WaitUntilFormed());
  }

  DaemonProcess& Daemon(const std::string& id) {
    return this->cluster.daemons().at(id);
  }
  Answer Get(const std::string& id) {
    return Send(this->Daemon(id).callers, "/quotes/a4");
  }
  Answer Post(const std::string& id, const std::string& key) {
    return Send(this->Daemon(id).callers, "/batch/x", key);
  }
  void Fault(const json& faults) {
    this->cluster.Platform("/bench/faults", faults);
  }
  table::Version Revision(const std::string& id) {
    const json status = this->cluster.Status(id);
    return status.is_object() ? status.value("revision", table::Version{0}) : 0;
  }

  Cluster cluster;
};

BOOST_AUTO_TEST_CASE(RepeatOfAKeyedRequestGetsTheStoredOutcome) {
  Bench bench(2);
  BOOST_TEST(bench.Post("e1", "k1").status == 200);
  // The outcome is written after the answer: wait for it at the other daemon.
  BOOST_TEST(Cluster::WaitUntil(
      kSoon, [&] { return bench.Post("e2", "k1").status == 200; }));
  BOOST_TEST(bench.cluster.Runs().at("k1") == 1);
}

BOOST_AUTO_TEST_CASE(KeyedRequestRunsOnceThoughItsDaemonIsKilled) {
  Bench bench(2, "500000");
  std::thread caller([&] { bench.Post("e1", "k2"); });
  BOOST_TEST(Cluster::WaitUntil(
      kSoon, [&] { return bench.cluster.Runs().contains("k2"); }));
  bench.Daemon("e1").process->Signal(SIGKILL);
  caller.join();
  for (int i = 0; i < 3; ++i) {
    const Answer repeat = bench.Post("e2", "k2");
    BOOST_TEST(repeat.status == 409);
    BOOST_TEST(repeat.verdict == "may_have_run");
  }
  BOOST_TEST(bench.cluster.Runs().at("k2") == 1);
}

BOOST_AUTO_TEST_CASE(LostClaimReplyDoesNotDoubleOrLoseTheRequest) {
  Bench bench(1);
  bench.Fault({{"lose_commit_replies", 1}});
  const Answer answer = bench.Post("e1", "k3");
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(bench.cluster.Runs().at("k3") == 1);
}

BOOST_AUTO_TEST_CASE(InAnOutageSafeRequestsGoOnAndKeyedOnesAreRefused) {
  Bench bench(1);
  bench.Fault({{"down", true}});
  BOOST_TEST(bench.Get("e1").status == 200);
  const Answer refused = bench.Post("e1", "k4");
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.verdict == "not_run");
  BOOST_TEST(!refused.retry_after.empty());
  BOOST_TEST(!bench.cluster.Runs().contains("k4"));
  const auto edit =
      bench.cluster.RunClient("e1", {"edit", "service/quotes", "queue=7"});
  BOOST_TEST(edit.exit_code == 5);
  bench.Fault(json::object());
  BOOST_TEST(bench.Post("e1", "k4").status == 200);
}

BOOST_AUTO_TEST_CASE(OfTwoOperatorsOnOneRowOneGetsAConflict) {
  Bench bench(2);
  const std::string base = std::to_string(bench.Revision("e1"));
  const auto first = bench.cluster.RunClient(
      "e1", {"edit", "service/quotes", "queue=11", "--base", base});
  const auto second = bench.cluster.RunClient(
      "e2", {"edit", "service/quotes", "queue=12", "--base", base});
  BOOST_TEST(first.exit_code == 0);
  BOOST_TEST(second.exit_code == 4);
  BOOST_TEST(second.error.find("queue=11") != std::string::npos);
  BOOST_TEST(second.error.find("queue=12") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(MistypedRowIsNotMade) {
  Bench bench(1);
  const auto typo =
      bench.cluster.RunClient("e1", {"edit", "pool/pres", "boxes=1"});
  BOOST_TEST(typo.exit_code == 2);
  BOOST_TEST(typo.error.find("--new") != std::string::npos);
  const auto meant =
      bench.cluster.RunClient("e1", {"edit", "pool/pres", "boxes=1", "--new"});
  BOOST_TEST(meant.exit_code == 0);
}

BOOST_AUTO_TEST_CASE(LostReplyOfAnEditIsSettled) {
  Bench bench(2);
  bench.Fault({{"lose_commit_replies", 1}});
  const auto edit = bench.cluster.RunClient(
      "e1", {"edit", "service/quotes", "queue=13", "--wait"});
  BOOST_TEST(edit.exit_code == 0);
  const auto shown = bench.cluster.RunClient("e2", {"show", "service/quotes"});
  BOOST_TEST(shown.output.find("13") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(FrozenDaemonCatchesUpAndNeverReverts) {
  Bench bench(3);
  bench.Daemon("e3").process->Signal(SIGSTOP);
  const auto edit =
      bench.cluster.RunClient("e1", {"edit", "service/quotes", "queue=14"});
  BOOST_TEST(edit.exit_code == 0);
  const table::Version accepted = bench.Revision("e1");
  bench.Daemon("e3").process->Signal(SIGCONT);
  BOOST_TEST(Cluster::WaitUntil(
      kSoon, [&] { return bench.Revision("e3") >= accepted; }));
  BOOST_TEST(bench.Revision("e1") >= accepted);
  BOOST_TEST(bench.Revision("e2") >= accepted);
}

BOOST_AUTO_TEST_CASE(DaemonStartedInAnOutageLearnsFromItsPeers) {
  Bench bench(2);
  const table::Version known = bench.Revision("e1");
  bench.Fault({{"silent", true}});
  bench.cluster.StartDaemon("e3", "z1");
  BOOST_TEST(
      Cluster::WaitUntil(kSoon, [&] { return bench.Revision("e3") == known; }));
  BOOST_TEST(bench.Get("e3").status == 200);
}

BOOST_AUTO_TEST_CASE(DaemonThatKnowsNothingRefusesEverythingAsNotRun) {
  Bench bench(1);
  bench.Fault({{"silent", true}});
  bench.Daemon("e1").process->Signal(SIGKILL);
  bench.cluster.daemons().clear();
  bench.cluster.StartDaemon("e9", "z1");
  const Answer answer = bench.Get("e9");
  BOOST_TEST(answer.status == 404);
  BOOST_TEST(answer.verdict == "not_run");
  bench.Fault(json::object());
  BOOST_TEST(
      Cluster::WaitUntil(kSoon, [&] { return bench.Get("e9").status == 200; }));
}

BOOST_AUTO_TEST_CASE(PlannedStopOfADaemonCutsNothingOff) {
  Bench bench(1, "700000");
  Answer answer;
  std::thread caller([&] { answer = bench.Get("e1"); });
  BOOST_TEST(Cluster::WaitUntil(kSoon, [&] {
    const json state = Cluster::Get(bench.Daemon("e1").operators, "/v1/state");
    return state.is_object() && state.at("open_requests") == 1;
  }));
  bench.Daemon("e1").process->Signal(SIGTERM);
  caller.join();
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(bench.Daemon("e1").process->Wait(kSoon).value_or(-1) == 0);
}

BOOST_AUTO_TEST_CASE(PlannedStopOfABoxWaitsForWhatIsInFlight) {
  Bench bench(2, "3000000");
  std::atomic<int> answered = 0;
  Answer answers[2];
  std::vector<std::thread> callers;
  for (int i = 0; i < 2; ++i)
    callers.emplace_back([&, i] {
      answers[i] = bench.Get("e" + std::to_string(i + 1));
      ++answered;
    });
  const auto in_flight_to = [&](const std::string& box) {
    int count = 0;
    for (const char* id : {"e1", "e2"}) {
      const json state = Cluster::Get(bench.Daemon(id).operators, "/v1/state");
      if (!state.is_object())
        continue;
      for (const json& target : state.at("targets"))
        count +=
            target.at("name") == box ? target.at("in_flight").get<int>() : 0;
    }
    return count;
  };
  BOOST_TEST(Cluster::WaitUntil(
      kSoon, [&] { return in_flight_to("b1") + in_flight_to("b2") == 2; }));
  const std::string busy = in_flight_to("b1") > 0 ? "b1" : "b2";
  const auto drain = bench.cluster.RunClient("e1", {"drain", busy});
  BOOST_TEST(drain.exit_code == 0);
  // The platform may touch the box only once it is away.
  bool away_too_soon = false;
  while (answered < 2) {
    const bool away = bench.cluster.BoxState("e1", busy).starts_with("away");
    away_too_soon = away_too_soon || (away && answered == 0);
  }
  for (std::thread& caller : callers)
    caller.join();
  BOOST_TEST(!away_too_soon);
  BOOST_TEST(answers[0].status == 200);
  BOOST_TEST(answers[1].status == 200);
  BOOST_TEST(Cluster::WaitUntil(kSoon, [&] {
    return bench.cluster.BoxState("e1", busy) == "serving in press" &&
           bench.cluster.BoxState("e2", busy) == "serving in press";
  }));
  const json report = Cluster::Get(bench.cluster.targets().at(busy).box.address,
                                   "/bench/report");
  BOOST_TEST(report.at("abandoned") == 0);
}

BOOST_AUTO_TEST_CASE(ServingGoesOnWhenTheWavesDriversDie) {
  Bench bench(3);
  const auto edit =
      bench.cluster.RunClient("e1", {"edit", "pool/press", "maintain=1"});
  BOOST_TEST(edit.exit_code == 0);
  // Whoever drives it goes, as soon as a box has left; the platform says so.
  BOOST_TEST(Cluster::WaitUntil(kSoon, [&] {
    return bench.cluster.BoxState("e3", "b1") != "serving in press" ||
           bench.cluster.BoxState("e3", "b2") != "serving in press";
  }));
  for (const char* id : {"e1", "e2"}) {
    bench.Daemon(id).process->Signal(SIGKILL);
    bench.cluster.Platform("/bench/box", {{"name", id}, {"live", false}});
  }
  // The dead entry boxes' silence blocks planned stops, not the serving.
  BOOST_TEST(bench.Get("e3").status == 200);
}

BOOST_AUTO_TEST_CASE(CancelledCallersFreeTheirSlotsAndCutNobodyOff) {
  Bench bench(1, "300000");
  {
    base::Loop loop;
    http::Client client(loop);
    std::vector<http::RequestId> ids;
    for (int i = 0; i < 40; ++i)
      ids.push_back(client.Send(
          {.url = "http://" + bench.Daemon("e1").callers + "/quotes/x",
           .timeout = std::chrono::seconds(10)},
          [](const http::ClientResult&) {}));
    base::Timer cancel(loop, [&] {
      for (const http::RequestId id : ids)
        client.Cancel(id);
      loop.Stop();
    });
    cancel.StartOnce(std::chrono::milliseconds(100));
    loop.Run();
  }
  const Answer after = bench.Get("e1");
  BOOST_TEST(after.status == 200,
             "status " << after.status << ": " << after.body);
  BOOST_TEST(Cluster::WaitUntil(kSoon, [&] {
    const json state = Cluster::Get(bench.Daemon("e1").operators, "/v1/state");
    return state.at("open_requests") == 0;
  }));
}

// Daemons that do not know each other each think the slots their own: the
// targets refuse what is too much, and the callers are answered all the same.
BOOST_AUTO_TEST_CASE(CutDaemonsShareTargetsByTheirRefusals) {
  Bench bench(1, "2000");
  DaemonProcess& other = bench.cluster.StartDaemon("e2", "z1");
  other.process->Signal(SIGSTOP);
  BOOST_TEST(Cluster::WaitUntil(kSoon, [&] {
    const json status = bench.cluster.Status("e1");
    for (const json& member : status.at("members")) {
      if (member.at("id") == "e2")
        return !member.value("live", true);
    }
    return false;
  }));
  const auto load = bench.cluster.Start(
      "testing/quartzhoist-load",
      {"--to", bench.Daemon("e1").callers, "--path", "/quotes/x", "--in-flight",
       "32", "--requests", "400"});
  other.process->Signal(SIGCONT);
  const auto second = bench.cluster.Start(
      "testing/quartzhoist-load", {"--to", other.callers, "--path", "/quotes/x",
                                   "--in-flight", "32", "--requests", "400"});
  BOOST_TEST(load->Wait(60).value_or(-1) == 0);
  BOOST_TEST(second->Wait(60).value_or(-1) == 0);
  for (Process* process : {load.get(), second.get()}) {
    const json result = json::parse(process->Output());
    BOOST_TEST(result.at("cut_off") == 0);
    BOOST_TEST(result.at("foreign") == 0);
    BOOST_TEST(result.at("refused_may_have_run") == 0);
  }
}

// Every box serves again and was maintained once, as far as `id` knows.
bool WaveIsDone(Bench& bench, const std::string& id) {
  const json status = bench.cluster.Status(id);
  if (!status.is_object())
    return false;
  for (const json& box : status.at("boxes")) {
    if (box.at("state") != "serving" || box.at("maintained") != 1)
      return false;
  }
  return true;
}

bool SomeBoxHasLeft(Bench& bench, const std::string& id) {
  return bench.cluster.BoxState(id, "b1") != "serving in press" ||
         bench.cluster.BoxState(id, "b2") != "serving in press";
}

constexpr double kWaveTime = 90;

BOOST_AUTO_TEST_CASE(WaveFinishesThoughDaemonsDieAndRepliesAreLost) {
  Bench bench(2);
  bench.cluster.RunClient("e1", {"edit", "pool/press", "maintain=1"});
  bench.Fault({{"lose_commit_replies", 3}});
  BOOST_TEST(
      Cluster::WaitUntil(kSoon, [&] { return SomeBoxHasLeft(bench, "e2"); }));
  // Each dies once, whichever of them drives, and is replaced.
  for (const char* id : {"e1", "e2"}) {
    bench.Daemon(id).process->Signal(SIGKILL);
    bench.Daemon(id).process->Wait(kSoon);
    bench.cluster.StartDaemon(id, "z1");
    BOOST_TEST(bench.cluster.WaitUntilFormed());
  }
  BOOST_TEST(
      Cluster::WaitUntil(kWaveTime, [&] { return WaveIsDone(bench, "e2"); }));
}

BOOST_AUTO_TEST_CASE(HalfTheDaemonsFrozenAndResumedHarmNothing) {
  Bench bench(4);
  bench.cluster.RunClient("e1", {"edit", "pool/press", "maintain=1"});
  BOOST_TEST(
      Cluster::WaitUntil(kSoon, [&] { return SomeBoxHasLeft(bench, "e1"); }));
  for (const char* id : {"e3", "e4"})
    bench.Daemon(id).process->Signal(SIGSTOP);
  const auto edit =
      bench.cluster.RunClient("e1", {"edit", "service/quotes", "queue=15"});
  BOOST_TEST(edit.exit_code == 0);
  const table::Version accepted = bench.Revision("e1");
  BOOST_TEST(bench.Get("e1").status == 200);
  for (const char* id : {"e3", "e4"})
    bench.Daemon(id).process->Signal(SIGCONT);
  BOOST_TEST(
      Cluster::WaitUntil(kWaveTime, [&] { return WaveIsDone(bench, "e4"); }));
  for (const char* id : {"e1", "e2", "e3", "e4"})
    BOOST_TEST(bench.Revision(id) >= accepted);
}

BOOST_AUTO_TEST_CASE(AllRestartedInAnOutageRefuseAndRecover) {
  Bench bench(3);
  const table::Version known = bench.Revision("e1");
  bench.Fault({{"silent", true}});
  for (const char* id : {"e1", "e2", "e3"})
    bench.Daemon(id).process->Signal(SIGKILL);
  for (const char* id : {"e1", "e2", "e3"})
    bench.cluster.StartDaemon(id, "z1");
  for (const char* id : {"e1", "e2", "e3"})
    BOOST_TEST(bench.Get(id).verdict == "not_run");
  bench.Fault(json::object());
  BOOST_TEST(bench.cluster.WaitUntilFormed());
  for (const char* id : {"e1", "e2", "e3"}) {
    BOOST_TEST(bench.Revision(id) == known);
    BOOST_TEST(bench.Get(id).status == 200);
  }
}

}  // namespace
}  // namespace quartzhoist::testing
