// Measures what the expected waits of a shard cost: the time for each ready
// task with few and with many of them, in one run, so that the ratio does not
// depend on the machine.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/clock.h"
#include "testing/program.h"
#include "testing/scheduler_bench.h"

namespace {

using namespace quartzhoist;

constexpr int kWorkers = 350;  // of four cores each, all of them in use
constexpr int kQueues = 20;
constexpr int kTasksOfStep = 4;
constexpr std::array<int, 2> kReadyTasks = {1'250, 5'000};
// The fastest of many calls is the one that the machine has disturbed least.
constexpr int kCalls = 400;

std::string QueueName(int number) {
  return "queue-" + std::to_string(number % kQueues);
}

// A shard of one pool, whose workers are full.
struct Shard {
  Shard() {
    jobs::Config config;
    config.services.push_back({.name = "pool"});
    for (int i = 0; i < kQueues; ++i) {
      jobs::Queue& queue = config.queues.emplace_back();
      queue.name = QueueName(i);
      queue.service = "pool";
      queue.priority = i % 3;
      queue.extension = 1.5;
      queue.target_latency = std::chrono::seconds(60);
    }
    this->config = config;
    this->bench.scheduler.SetConfig(config, this->bench.now);
    for (int i = 0; i < kWorkers; ++i) {
      const std::string id = "w" + std::to_string(i);
      this->bench.scheduler.UpdateWorker(testing::SchedulerBench::Worker(id),
                                         this->bench.now);
      this->bench.Report(id, {});
    }
    for (int i = 0; i < kWorkers; ++i)
      this->AddJob();
    this->bench.RunPass();
  }

  // Two steps, of which the second is not ready.
  void AddJob() {
    jobs::Step first = testing::SchedulerBench::OneTask();
    first.tasks = kTasksOfStep;
    jobs::Step second = first;
    second.depends_on = {0};
    jobs::JobSpec spec;
    spec.steps = {first, second};
    const int number = this->job_count++;
    this->bench.scheduler.AddJob(
        scheduler::MakeJob(
            "job-" + std::to_string(number),
            this->config.queues[static_cast<std::size_t>(number % kQueues)],
            spec, {}, this->bench.now, {}),
        this->bench.now);
  }

  int Waiting() const {
    int waiting = 0;
    for (const auto& state : this->bench.scheduler.PoolStates(this->bench.now))
      waiting += state.waiting;
    return waiting;
  }

  jobs::Config config;
  testing::SchedulerBench bench{1};
  int job_count = 0;
};

struct Cost {
  double fastest_ms = 0.0;
  double median_ms = 0.0;
};

Cost Measure(const Shard& shard) {
  std::vector<double> times;
  for (int i = 0; i < kCalls; ++i) {
    const base::Micros begun = base::MonotonicNow();
    const auto waits = shard.bench.scheduler.ExpectedWaits(shard.bench.now);
    times.push_back(1000.0 * base::Seconds(base::MonotonicNow() - begun));
    if (waits.size() != kQueues)
      throw std::runtime_error("there is no figure for each queue");
  }
  std::sort(times.begin(), times.end());
  return {.fastest_ms = times.front(), .median_ms = times[times.size() / 2]};
}

int Run() {
  Shard shard;
  std::vector<double> ns_per_task;
  fmt::print("{:>11} {:>10} {:>10} {:>12}\n", "ready tasks", "fastest ms",
             "median ms", "ns per task");
  for (const int ready : kReadyTasks) {
    while (shard.Waiting() < ready)
      shard.AddJob();
    const Cost cost = Measure(shard);
    ns_per_task.push_back(1e6 * cost.fastest_ms / shard.Waiting());
    fmt::print("{:>11} {:>10.3f} {:>10.3f} {:>12.0f}\n", shard.Waiting(),
               cost.fastest_ms, cost.median_ms, ns_per_task.back());
  }
  fmt::print("ratio of the time per task, many to few: {:.2f}\n",
             ns_per_task.back() / ns_per_task.front());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("quartzhoist-waits",
                           "The cost of the expected waits of a shard");
  return testing::RunProgram(options, argc, argv,
                             [](const auto&) { return Run(); });
}
