// The demonstration: a small deployment on loopback, requests of both classes,
// a table edit, a box drained and moved, a daemon killed. Prints what happened
// and exits 0 only if all held.

#include <csignal>
#include <memory>
#include <string>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "testing/cluster.h"
#include "testing/program.h"

namespace {

using namespace quartzhoist;
using nlohmann::json;
using testing::Cluster;

constexpr const char* kTable = R"(
pool   | boxes | wave | reserve | order | pace
press  | 5     | 1    | none    | 1     | 100
spare  | 1     | 1    | none    | 2     | 100

service  | pool  | class   | order | away | deadline | queue | repeat
quotes   | press | urgent  | 1     | 40%  | 2000ms   | 512   | method
dispatch | press | patient | 2     | 40%  | 8000ms   | 512   | keyed
)";

constexpr int kTargets = 6;
constexpr double kRatePerSecond = 200;

class Demo {
 public:
  explicit Demo(const std::string& programs)
      : cluster({.programs = programs, .table = kTable}) {}

  int Run() {
    this->Start();
    this->StartLoad();
    this->EditTable();
    this->MoveBox();
    this->KillDaemon();
    this->StopDaemon();
    this->Finish();
    return this->held ? 0 : 1;
  }

 private:
  void Expect(bool holds, const std::string& line) {
    fmt::print("{} {}\n", holds ? "ok    " : "FAILED", line);
    std::fflush(stdout);
    this->held = this->held && holds;
  }

  void Start() {
    for (int i = 1; i <= kTargets; ++i) {
      table::Box box;
      box.name = fmt::format("box-{}", i);
      box.zone = i % 2 == 0 ? "hall-2" : "hall-1";
      box.rack = fmt::format("rack-{}", i);
      box.pool = i == kTargets ? "spare" : "press";
      this->cluster.AddTarget(box, {"--work-us", "2000"});
    }
    this->cluster.StartPlatform();
    this->cluster.StartDaemon("entry-1", "hall-1");
    this->cluster.StartDaemon("entry-2", "hall-1");
    this->cluster.StartDaemon("entry-3", "hall-2");
    this->Expect(this->cluster.WaitUntilFormed(),
                 "three daemons in two availability zones know each other and "
                 "are ready");
  }

  std::unique_ptr<testing::Process> Load(const std::string& prefix,
                                         const std::vector<std::string>& more) {
    std::vector<std::string> arguments{
        "--in-flight", "64",   "--seconds", "60",
        "--id-prefix", prefix, "--rate",    fmt::format("{}", kRatePerSecond)};
    for (const std::string& address : this->cluster.CallerAddresses()) {
      arguments.push_back("--to");
      arguments.push_back(address);
    }
    arguments.insert(arguments.end(), more.begin(), more.end());
    return this->cluster.Start("testing/quartzhoist-load", arguments);
  }

  void StartLoad() {
    this->urgent = this->Load("urgent", {"--path", "/quotes/a4"});
    this->patient =
        this->Load("patient", {"--path", "/dispatch/parcel", "--method", "POST",
                               "--keyed", "--body-bytes", "64"});
    fmt::print(
        "       {} urgent and {} patient requests a second run from "
        "here on\n",
        kRatePerSecond, kRatePerSecond);
  }

  void EditTable() {
    const Cluster::ClientRun run = this->cluster.RunClient(
        "entry-3", {"edit", "service/quotes", "queue=300", "--wait", "--json"});
    const json answer = json::parse(run.output, nullptr, false);
    const double took =
        answer.is_object() ? answer.value("in_force_seconds", -1.0) : -1.0;
    this->Expect(run.exit_code == 0 && took >= 0,
                 fmt::format("an edit at entry-3 was in force on all three "
                             "after {:.1f} s",
                             took));
  }

  void MoveBox() {
    const Cluster::ClientRun run = this->cluster.RunClient(
        "entry-1", {"edit", "pool/press", "boxes=4", "--json"});
    const Cluster::ClientRun second = this->cluster.RunClient(
        "entry-1", {"edit", "pool/spare", "boxes=2", "--json"});
    const bool moved = Cluster::WaitUntil(20, [this] {
      const json status = this->cluster.Status("entry-1");
      int in_spare = 0;
      for (const json& box : status.at("boxes"))
        in_spare += box.at("pool") == "spare" && box.at("state") == "serving";
      return in_spare == 2;
    });
    this->Expect(run.exit_code == 0 && second.exit_code == 0 && moved,
                 "boxes moved: 1 (drained, readied, serving in pool spare)");
  }

  void KillDaemon() {
    this->cluster.daemons().at("entry-2").process->Signal(SIGKILL);
    this->cluster.Platform("/bench/box",
                           {{"name", "entry-2"}, {"live", false}});
    const bool noticed = Cluster::WaitUntil(20, [this] {
      const json status = this->cluster.Status("entry-1");
      for (const json& member : status.at("members")) {
        if (member.at("id") == "entry-2")
          return !member.value("live", true);
      }
      return false;
    });
    this->Expect(noticed, "entry-2 was killed; entry-1 took over its share");
  }

  void StopDaemon() {
    testing::Process& process = *this->cluster.daemons().at("entry-3").process;
    process.Signal(SIGTERM);
    this->Expect(process.Wait(20) == 0, "entry-3 was stopped and left");
  }

  void Finish() {
    this->urgent->Signal(SIGTERM);
    this->patient->Signal(SIGTERM);
    this->urgent->Wait(20);
    this->patient->Wait(20);
    const json fast = json::parse(this->urgent->Output(), nullptr, false);
    const json slow = json::parse(this->patient->Output(), nullptr, false);
    if (!fast.is_object() || !slow.is_object()) {
      this->Expect(false, "the load tools did not report");
      return;
    }
    const auto sum = [&](const char* key) {
      return fast.at(key).get<std::uint64_t>() +
             slow.at(key).get<std::uint64_t>();
    };
    int doubled = 0;
    for (const auto& [id, count] : this->cluster.Runs())
      doubled += id.starts_with("patient") && count > 1;
    this->Expect(sum("answered") > 0,
                 fmt::format("answered: {}", sum("answered")));
    fmt::print("       refused as not run: {}\n", sum("refused_not_run"));
    fmt::print(
        "       refused as may have run: {} (in flight in the killed "
        "process)\n",
        sum("refused_may_have_run"));
    fmt::print("       asked again at another entry box: {}\n",
               sum("repeated"));
    this->Expect(sum("cut_off") == 0,
                 fmt::format("cut off: {}", sum("cut_off")));
    this->Expect(sum("foreign") == 0,
                 fmt::format("answers of other requests: {}", sum("foreign")));
    this->Expect(doubled == 0, fmt::format("doubled: {}", doubled));
    this->Expect(
        sum("refused_other") == 0,
        fmt::format("refusals without a verdict: {}", sum("refused_other")));
  }

  Cluster cluster;
  std::unique_ptr<testing::Process> urgent;
  std::unique_ptr<testing::Process> patient;
  bool held = true;
};

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("quartzhoist-demo", "The demonstration");
  options.add_options()("programs", "The build folder",
                        cxxopts::value<std::string>());
  return testing::RunProgram(
      std::move(options), argc, argv, [](const cxxopts::ParseResult& given) {
        return Demo(given["programs"].as<std::string>()).Run();
      });
}
