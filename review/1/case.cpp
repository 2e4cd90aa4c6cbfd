// The store is down while more than 500 tasks of one minion end. Checks that no
// task is started again after a run of it has ended `done`.

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "lab/clock.hpp"
#include "lab/deployment.hpp"

namespace {

using review::NowMillis;
using review::SleepMillis;

constexpr int kDaemons = 3;
constexpr int kMachines = 4;
constexpr int kJobs = 40;
constexpr int kTasks = 32;  // of a job; the sheet's largest step
constexpr int kCpuMillis = 12;
constexpr int kMemoryMb = 20;
constexpr std::int64_t kTaskMillis = 3'500;
constexpr std::int64_t kOutageMillis = 6'000;
constexpr std::int64_t kStartMillis = 6'000;
constexpr std::int64_t kEndMillis = 60'000;

constexpr int kKept = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

std::string JobId(int number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016x", 0x1000 + number);
  return text;
}

int Play(const std::string& program,
         const std::string& settings_template,
         const std::string& record_file,
         bool has_trouble) {
  review::Record record(record_file);
  review::Deployment deployment(program, settings_template, record, kDaemons);
  for (int i = 1; i <= kMachines; ++i)
    deployment.fleet().AddMachine("m-" + std::to_string(i), "work");
  deployment.fleet().SetTaskMillis(kTaskMillis);
  deployment.Configure("work");
  if (!deployment.WaitUntilServing(20'000))
    return kNotRun;
  const nlohmann::json body = {{"spec", "work"},
                               {"steps",
                                {{{"count", kTasks},
                                  {"cpu", kCpuMillis},
                                  {"memMb", kMemoryMb},
                                  {"estimateMs", kTaskMillis}}}}};
  std::vector<std::string> jobs;
  for (int i = 0; i < kJobs; ++i) {
    if (deployment.SubmitBody(i % kDaemons, JobId(i), body.dump()) == 200)
      jobs.push_back(JobId(i));
  }
  const std::int64_t started_by = NowMillis() + kStartMillis;
  while (NowMillis() < started_by &&
         deployment.fleet().starts() < kJobs * kTasks)
    SleepMillis(5);
  record.Add("starts: " + std::to_string(deployment.fleet().starts()));
  if (has_trouble) {
    record.Add("the store is down");
    for (int daemon = 0; daemon < kDaemons; ++daemon)
      deployment.store_front(daemon).Close(kOutageMillis);
    SleepMillis(kOutageMillis);
    record.Add("the store is back");
  }
  const std::int64_t until = NowMillis() + kEndMillis;
  std::size_t completed = 0;
  while (NowMillis() < until && completed < jobs.size()) {
    SleepMillis(500);
    completed = 0;
    for (const std::string& job : jobs)
      completed += deployment.State(1, job) == "completed";
  }
  SleepMillis(3'000);
  const std::vector<std::string> broken = deployment.fleet().DoubleRuns();
  for (const std::string& text : broken)
    record.Add("BROKEN: " + text);
  std::printf("jobs accepted %zu, completed %zu, double runs %zu\n",
              jobs.size(), completed, broken.size());
  record.Add("jobs accepted " + std::to_string(jobs.size()) + ", completed " +
             std::to_string(completed) + ", double runs " +
             std::to_string(broken.size()));
  if (jobs.empty())
    return kNotRun;
  return broken.empty() ? kKept : kBroken;
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
