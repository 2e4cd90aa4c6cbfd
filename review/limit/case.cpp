// The service that moves and maintains machines goes down for a moment while it
// carries out an upkeep: it resets its connections and answers further calls
// with 503. Checks that no upkeep of a wave begins while `maxCount` machines of
// the wave are down for theirs.

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>
#include <vector>

#include "lab/clock.hpp"
#include "lab/deployment.hpp"

namespace {

using review::NowMillis;
using review::SleepMillis;

constexpr int kDaemons = 3;
constexpr int kMachines = 12;
constexpr int kWave = 1;
constexpr int kWaveMachines = 6;
constexpr int kMaxCount = 1;
constexpr int kWaveSeconds = 60;
constexpr int kOutages = 3;
constexpr std::int64_t kOutageMillis = 500;
constexpr std::int64_t kSettleMillis = 5'000;

constexpr int kKept = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

int Play(const std::string& program,
         const std::string& settings_template,
         const std::string& record_file,
         bool has_trouble) {
  review::Record record(record_file);
  review::Deployment deployment(program, settings_template, record, kDaemons);
  std::vector<std::string> wave_machines;
  for (int i = 1; i <= kMachines; ++i) {
    const std::string machine = "m-" + std::to_string(i);
    deployment.fleet().AddMachine(machine, "work");
    if (i <= kWaveMachines)
      wave_machines.push_back(machine);
  }
  std::atomic<int> upkeeps{0};
  std::atomic<int> broken{0};
  deployment.fleet().on_upkeep = [&](const std::string& machine, int wave,
                                     const std::vector<std::string>& down) {
    ++upkeeps;
    if (wave != kWave || static_cast<int>(down.size()) < kMaxCount)
      return;
    ++broken;
    record.Add("BROKEN: the upkeep of " + machine + " begins while " +
               down.front() + " is down, and one may be down at once");
  };
  deployment.Configure("work");
  if (!deployment.WaitUntilServing(20'000))
    return kNotRun;
  deployment.store().Put("op", "wave/" + std::to_string(kWave),
                         {{"wave", kWave},
                          {"machines", wave_machines},
                          {"durationS", kWaveSeconds},
                          {"maxCount", kMaxCount}});
  const std::int64_t until = NowMillis() + kWaveSeconds * 1000;
  int outages = 0;
  while (NowMillis() < until && upkeeps < kWaveMachines) {
    SleepMillis(10);
    // The next outage begins with the upkeep after the next one.
    const bool is_due = has_trouble && outages < kOutages &&
                        upkeeps > 2 * outages &&
                        deployment.cloud_front().Passes();
    if (!is_due)
      continue;
    ++outages;
    record.Add("the machines' service goes down with its next upkeep");
    deployment.cloud_front().TurnAway(
        [](const review::Request& request) {
          return request.path == "/machine-upkeep";
        },
        kOutageMillis);
  }
  SleepMillis(kSettleMillis);
  std::printf("upkeeps %d of %d, begun beyond the limit %d\n", upkeeps.load(),
              kWaveMachines, broken.load());
  record.Add("upkeeps " + std::to_string(upkeeps) + ", beyond the limit " +
             std::to_string(broken));
  if (broken > 0)
    return kBroken;
  return upkeeps == kWaveMachines ? kKept : kNotRun;
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
