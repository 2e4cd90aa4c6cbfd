// The process that schedules is killed once. Checks that a job that is accepted
// after that begins to run while there is room for it twice over.

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

#include "lab/clock.hpp"
#include "lab/deployment.hpp"

namespace {

using review::NowMillis;
using review::SleepMillis;

constexpr int kDaemons = 3;
constexpr int kMachines = 12;
constexpr int kCoresOfMachine = 16;
constexpr int kTasks = 2000;
constexpr int kCpuMillis = 20;  // of a task; 40 cores in all
constexpr int kMemoryMb = 10;   // of a task; 20 GB of 393 in all
constexpr const char* kJob = "00000000000000aa";
constexpr std::int64_t kRestartMillis = 1'000;
constexpr std::int64_t kSettleMillis = 8'000;
// The rule's bound is 3 s.
constexpr std::int64_t kWaitMillis = 30'000;

constexpr int kKept = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

static_assert(2 * kTasks * kCpuMillis < 1000 * kMachines * kCoresOfMachine);

int Play(const std::string& program,
         const std::string& settings_template,
         const std::string& record_file,
         bool has_trouble) {
  review::Record record(record_file);
  review::Deployment deployment(program, settings_template, record, kDaemons);
  for (int i = 1; i <= kMachines; ++i)
    deployment.fleet().AddMachine("m-" + std::to_string(i), "work");
  deployment.Configure("work");
  if (!deployment.WaitUntilServing(20'000))
    return kNotRun;
  if (has_trouble)
    deployment.KillLeader(kRestartMillis);
  SleepMillis(kSettleMillis);
  if (!deployment.WaitUntilServing(20'000))
    return kNotRun;
  const nlohmann::json body = {{"spec", "work"},
                               {"steps",
                                {{{"count", kTasks},
                                  {"cpu", kCpuMillis},
                                  {"memMb", kMemoryMb},
                                  {"estimateMs", 800}}}}};
  if (deployment.SubmitBody(0, kJob, body.dump()) != 200)
    return kNotRun;
  const std::int64_t until = NowMillis() + kWaitMillis;
  std::string state;
  while (NowMillis() < until && state != "completed") {
    SleepMillis(200);
    state = deployment.State(0, kJob);
  }
  const bool has_started = deployment.fleet().StartedJobs().contains(kJob);
  record.Add("job " + std::string(kJob) + " is shown as " + state +
             (has_started ? "" : "; none of its tasks has been started"));
  std::printf("job %s, %s\n", state.c_str(),
              has_started ? "started" : "never started");
  if (has_started)
    return state == "completed" ? kKept : kNotRun;
  record.Add("BROKEN: it was accepted, nothing else runs, and its tasks need " +
             std::to_string(kTasks * kCpuMillis / 1000) + " of " +
             std::to_string(kMachines * kCoresOfMachine) + " cores");
  return kBroken;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4)
    return kNotRun;
  const char* const trouble = std::getenv("TROUBLE");
  try {
    return Play(argv[1], argv[2], argv[3],
                !trouble || std::string(trouble) != "0");
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "%s\n", problem.what());
    return kNotRun;
  }
}
