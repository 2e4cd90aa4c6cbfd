// The demonstration: three daemons on the platform's stand-ins, callers with a
// key and without, a wave of upkeep, a daemon that is killed. Prints what
// happened; exits 0 only if nothing was lost, doubled or cut off.

#include <csignal>
#include <cstdio>
#include <string>

#include <fmt/format.h>

#include "testing/job_cluster.h"
#include "testing/program.h"

namespace {

using namespace quartzhoist;
using testing::JobCluster;
using testing::JobId;

constexpr int kBoxes = 6;
constexpr int kJobs = 24;
constexpr int kSteps = 2;
constexpr int kTasks = 3;
constexpr double kPatience = 30;  // seconds
constexpr const char* kKey = "demonstration-key";

constexpr const char* kConfig =
    R"({"version":2,"routes":[{"name":"q","host":"jobs.example",)"
    R"("pathPrefix":"/q/","service":"press","attempts":3,)"
    R"("extension":1.5,"targetLatencyMs":600}],)"
    R"("services":[{"name":"press"},{"name":"rest","spare":true}],)"
    R"("tenants":[{"name":"beekeepers","apiKeys":["demonstration-key"]}]})";

class Demo {
 public:
  explicit Demo(const std::string& programs) : cluster(programs, kBoxes) {}

  int Run() {
    this->Start();
    this->CheckKeys();
    this->HandIn();
    this->BeginWave();
    this->KillOwner();
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
    this->cluster.store().Put({.table = "op", .part = "", .key = "config"},
                              kConfig);
    this->cluster.workers().SetRunTime(std::chrono::milliseconds(600));
    for (const char* id : {"entry-1", "entry-2", "entry-3"})
      this->cluster.StartDaemon(id);
    const bool is_owned = this->cluster.WaitUntil(
        kPatience, [this] { return !this->OwnerName().empty(); });
    this->Expect(is_owned,
                 fmt::format("three daemons run; {} schedules {} boxes",
                             this->OwnerName(), kBoxes));
  }

  std::string OwnerName() const { return this->cluster.Owner(); }

  void CheckKeys() {
    this->Expect(
        this->cluster.WaitUntil(
            kPatience,
            [this] { return this->cluster.Submit(JobId(0), 1, 1) == 401; }),
        "a caller without a key is refused (401)");
    this->cluster.SetKey(kKey);
  }

  void HandIn() {
    int taken = 0;
    for (int i = 0; i < kJobs; ++i)
      taken += this->cluster.Submit(JobId(i), kSteps, kTasks) == 200;
    this->Expect(taken == kJobs, fmt::format("{} jobs of {} tasks are accepted",
                                             taken, kSteps * kTasks));
  }

  void BeginWave() {
    this->cluster.store().Put(
        {.table = "op", .part = "", .key = "wave/1"},
        R"({"wave":1,"machines":["box-1","box-2"],"durationS":20,)"
        R"("maxCount":1})");
    this->Expect(this->cluster.WaitUntil(
                     kPatience,
                     [this] { return this->cluster.workers().upkeeps() > 0; }),
                 "a wave of upkeep begins");
  }

  void KillOwner() {
    const std::string first = this->OwnerName();
    this->cluster.daemons().at(first).process->Signal(SIGKILL);
    const bool is_taken = this->cluster.WaitUntil(kPatience, [this, &first] {
      const std::string now = this->OwnerName();
      return !now.empty() && now != first;
    });
    this->Expect(is_taken, fmt::format("{} is killed; {} takes its work over",
                                       first, this->OwnerName()));
    this->cluster.daemons().erase(first);
  }

  void Finish() {
    this->Expect(this->cluster.WaitUntil(
                     kPatience, [this] { return this->AllCompleted(); }),
                 "every job is completed");
    this->Expect(this->cluster.WaitUntil(
                     kPatience,
                     [this] { return this->cluster.workers().upkeeps() == 2; }),
                 "the wave is over");
    for (const std::string& problem : this->cluster.workers().broken())
      this->Expect(false, problem);
    this->Expect(this->cluster.workers().broken().empty(),
                 fmt::format("{} tasks were started, none of them twice",
                             this->cluster.workers().starts()));
  }

  bool AllCompleted() {
    for (int i = 0; i < kJobs; ++i) {
      if (this->cluster.StateOf(JobId(i)) != "completed")
        return false;
    }
    return true;
  }

  JobCluster cluster;
  bool held = true;
};

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("quartzhoist-demo",
                           "A small deployment on loopback");
  options.add_options()("programs", "The build folder",
                        cxxopts::value<std::string>()->default_value("build"));
  return testing::RunProgram(
      options, argc, argv, [](const cxxopts::ParseResult& given) {
        return Demo(given["programs"].as<std::string>()).Run();
      });
}
