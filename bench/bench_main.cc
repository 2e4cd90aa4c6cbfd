// Plays the scheduler against the model of store and workers, from fixed seeds,
// and prints the signature of what it decided.

#include <string>
#include <vector>

#include <fmt/format.h>

#include "bench/signature.h"
#include "testing/program.h"
#include "testing/scheduler_model.h"

namespace {

using namespace quartzhoist;

constexpr std::uint64_t kSeed = 20261202;
constexpr int kJobs = 40;
constexpr int kWorkers = 8;

struct Scenario {
  const char* name;
  testing::ModelFaults faults;
};

const std::vector<Scenario> kScenarios{
    {"calm", {}},
    {"answers lost", {.lost_answer = 0.1, .lost_save = 0.1}},
    {"workers crash", {.crash = 0.3, .failing_run = 0.05}},
    {"owners change", {.late_job = 0.1, .takeover = 0.2}},
};

std::vector<testing::ModelJob> MakeJobs() {
  std::vector<testing::ModelJob> jobs;
  for (int i = 0; i < kJobs; ++i) {
    testing::ModelJob job;
    job.id = fmt::format("job-{}", i);
    for (int step = 0; step < 1 + i % 2; ++step) {
      jobs::Step one;
      one.tasks = 1 + i % 4;
      one.task_resources = {.cpu_millis = 500 + 250 * (i % 5),
                            .memory_mb = 500};
      one.estimate_ms = 1000;
      if (step > 0)
        one.depends_on = {step - 1};
      job.spec.steps.push_back(one);
    }
    jobs.push_back(job);
  }
  return jobs;
}

int Run() {
  bench::Signature signature;
  fmt::print("{:<16} {:>7} {:>10} {:>7}\n", "scenario", "starts", "takeovers",
             "broken");
  for (const Scenario& scenario : kScenarios) {
    testing::SchedulerModel model(kSeed, scenario.faults, kWorkers, MakeJobs());
    model.RunFor(std::chrono::seconds(30));
    signature.Add(model.History());
    signature.Add(static_cast<std::uint64_t>(model.starts()));
    fmt::print("{:<16} {:>7} {:>10} {:>7}\n", scenario.name, model.starts(),
               model.takeovers(), model.violations().size());
  }
  fmt::print("Bench: {:016x}\n", signature.value());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("quartzhoist-bench",
                           "The signature of the scheduler's decisions");
  return testing::RunProgram(options, argc, argv,
                             [](const auto&) { return Run(); });
}
