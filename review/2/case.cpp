// The store turns one daemon away: it closes the daemon's connections and
// answers its further calls with 503. Checks that a job whose submission was
// answered with 429 or 503 is never started.

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <map>
#include <mutex>
#include <set>
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
constexpr int kTasks = 2;
// Each daemon gets this many submissions at a time.
constexpr int kSubmissionsAtOnce = 5;
constexpr std::int64_t kSubmissionInterval = 500;
constexpr std::int64_t kTrafficMillis = 24'000;
// One of three daemons is turned away at a time, for 3 s every 6 s.
constexpr std::int64_t kFirstEvent = 3'000;
constexpr std::int64_t kEventInterval = 6'000;
constexpr std::int64_t kTurnedAwayMillis = 3'000;
constexpr std::int64_t kSettleMillis = 10'000;
constexpr int kMaxTries = 5;  // a try and four retries

constexpr int kKept = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

bool IsRejection(int status) {
  return status == 429 || status == 503;
}

struct Answers {
  std::mutex lock;
  std::map<std::string, std::vector<int>> by_job;
  std::set<std::string> open;  // jobs whose client waits for an answer
};

// Whether the write concerns a job whose client waits for an answer.
bool IsSubmission(Answers& answers, const review::Request& request) {
  if (request.path != "/rows-tx")
    return false;
  const auto body = nlohmann::json::parse(request.body);
  const std::lock_guard guard(answers.lock);
  for (const auto& put : body.at("put")) {
    if (answers.open.contains(put.at("key").get<std::string>()))
      return true;
  }
  return false;
}

// A client: takes 429 and 503 as final, and submits the same id again at
// another daemon if the answer leaves the outcome open.
void SubmitJob(review::Deployment& deployment,
               Answers& answers,
               int daemon,
               const std::string& job) {
  for (int i = 0; i < kMaxTries; ++i) {
    {
      const std::lock_guard guard(answers.lock);
      answers.open.insert(job);
    }
    const int status = deployment.Submit((daemon + i) % kDaemons, job, kTasks);
    {
      const std::lock_guard guard(answers.lock);
      answers.by_job[job].push_back(status);
      answers.open.erase(job);
    }
    if (status == 200 || IsRejection(status))
      return;
    SleepMillis(200);
  }
}

std::string JobId(int daemon, int number) {
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x", daemon + 1, number);
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
  deployment.Configure("work");
  if (!deployment.WaitUntilServing(20'000))
    return kNotRun;
  Answers answers;
  const std::int64_t began = NowMillis();
  std::vector<std::thread> clients;
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    clients.emplace_back([&, daemon] {
      std::vector<std::thread> calls;
      for (int n = 0; n * kSubmissionInterval < kTrafficMillis; ++n) {
        const std::int64_t due = began + n * kSubmissionInterval;
        if (due > NowMillis())
          SleepMillis(due - NowMillis());
        for (int i = 0; i < kSubmissionsAtOnce; ++i) {
          const std::string job = JobId(daemon, n * kSubmissionsAtOnce + i);
          calls.emplace_back([&deployment, &answers, daemon, job] {
            SubmitJob(deployment, answers, daemon, job);
          });
        }
      }
      for (std::thread& call : calls)
        call.join();
    });
  }
  if (has_trouble) {
    for (int event = 0; kFirstEvent + event * kEventInterval < kTrafficMillis;
         ++event) {
      const std::int64_t due = began + kFirstEvent + event * kEventInterval;
      SleepMillis(due - NowMillis());
      const int daemon = event % kDaemons;
      record.Add("the store turns daemon " + std::to_string(daemon + 1) +
                 " away during its next submission");
      deployment.store_front(daemon).TurnAway(
          [&answers](const review::Request& request) {
            return IsSubmission(answers, request);
          },
          kTurnedAwayMillis);
    }
  }
  for (std::thread& client : clients)
    client.join();
  SleepMillis(kSettleMillis);
  const std::set<std::string> started = deployment.fleet().StartedJobs();
  int accepted = 0;
  int rejected = 0;
  int broken = 0;
  for (const auto& [job, statuses] : answers.by_job) {
    bool all_rejected = true;
    for (const int status : statuses) {
      all_rejected = all_rejected && IsRejection(status);
      accepted += status == 200;
    }
    rejected += all_rejected;
    if (!all_rejected || !started.contains(job))
      continue;
    ++broken;
    record.Add("BROKEN: every submission of job " + job +
               " was rejected, and a task of it was started");
  }
  record.Add("jobs accepted " + std::to_string(accepted) + ", rejected " +
             std::to_string(rejected) + ", rejected and started " +
             std::to_string(broken));
  std::printf("jobs accepted %d, rejected %d, rejected and started %d\n",
              accepted, rejected, broken);
  if (accepted == 0)
    return kNotRun;
  return broken > 0 ? kBroken : kKept;
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
