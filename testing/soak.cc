#include "testing/soak.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace quartzhoist::testing {

namespace {

using std::chrono::milliseconds;

constexpr int kDaemons = 3;
constexpr int kBoxes = 5;
constexpr base::Micros kBetweenFaults = milliseconds(700);  // in the mean
constexpr base::Micros kBetweenJobs = milliseconds(150);
// Generous: takeovers, leases and pauses after the last fault.
constexpr double kOverSeconds = 60;
constexpr double kExitSeconds = 20;

// Two queues with a target latency, so that jobs are rejected by their expected
// wait. Those of "urgent" are of use for 1 s.
constexpr const char* kConfig =
    R"({"version":2,"routes":[{"name":"q","host":"jobs.example",)"
    R"("pathPrefix":"/q/","service":"press","attempts":3,)"
    R"("extension":1.5,"targetLatencyMs":600},)"
    R"({"name":"urgent","host":"jobs.example","pathPrefix":"/urgent/",)"
    R"("service":"press","attempts":3,"extension":1.0,)"
    R"("targetLatencyMs":130}],)"
    R"("services":[{"name":"press"},{"name":"rest","spare":true}]})";
// One in so many jobs fills the boxes for some seconds.
constexpr std::uint64_t kJobsPerLargeJob = 30;
constexpr int kTasksOfLargeJob = 150;
constexpr int kTasksOfSmallJob = 2;
// Half of the refused callers return, none more than this long after it was
// told to.
constexpr base::Micros kMaxReturnDelay = milliseconds(500);

constexpr int kOk = 200;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

std::string DaemonName(int number) {
  return fmt::format("entry-{}", number % kDaemons + 1);
}

std::string BoxName(int number) {
  return fmt::format("box-{}", number % kBoxes + 1);
}

// A job of two steps, the second of which depends on the first.
std::string BodyOf(int tasks) {
  nlohmann::json body = {{"spec", "work"}, {"steps", nlohmann::json::array()}};
  for (int step = 0; step < 2; ++step) {
    body["steps"].push_back(
        {{"count", tasks}, {"cpu", 500}, {"memMb", 100}, {"estimateMs", 100}});
  }
  body["steps"][1]["dependsOn"] = {0};
  return body.dump();
}

bool HasSpan(SoakFault fault) {
  switch (fault) {
    case SoakFault::kStoreBusy:
    case SoakFault::kStoreLoses:
    case SoakFault::kStoreSilent:
    case SoakFault::kStoreCuts:
    case SoakFault::kDaemonCut:
    case SoakFault::kDaemonStopped:
    case SoakFault::kDaemonPaused:
      return true;
    default:
      return false;
  }
}

}  // namespace

std::vector<SoakEvent> DrawSchedule(std::uint64_t seed, base::Micros length) {
  std::mt19937_64 random(seed);
  const auto draw = [&random](std::int64_t least, std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(least, most)(random);
  };
  std::vector<SoakEvent> schedule;
  const auto count = static_cast<std::size_t>(length / kBetweenFaults);
  while (schedule.size() < count) {
    SoakEvent event;
    event.at = base::Micros(draw(0, length.count()));
    event.fault = kSoakFaultNames[static_cast<std::size_t>(draw(0, 12))].value;
    event.target = static_cast<int>(draw(0, 59));
    if (HasSpan(event.fault))
      event.span = milliseconds(draw(100, 3000));
    // A quarter of them come again at once, on the same target.
    const bool is_series = draw(0, 3) == 0;
    schedule.push_back(event);
    if (is_series) {
      event.at += event.span + milliseconds(draw(50, 800));
      schedule.push_back(event);
    }
  }
  std::sort(schedule.begin(), schedule.end(),
            [](const SoakEvent& a, const SoakEvent& b) { return a.at < b.at; });
  return schedule;
}

std::string TextOf(const SoakEvent& event) {
  return fmt::format("{:.2f} s {} {} for {:.2f} s", base::Seconds(event.at),
                     base::NameOf(kSoakFaultNames, event.fault), event.target,
                     base::Seconds(event.span));
}

Soak::Soak(const std::string& programs, std::vector<SoakEvent> events)
    : cluster(programs, kBoxes), schedule(std::move(events)) {
  this->cluster.workers().SetRunTime(milliseconds(300));
  this->cluster.store().Put({.table = "op", .part = "", .key = "config"},
                            kConfig);
  for (int i = 0; i < kDaemons; ++i)
    this->cluster.StartDaemonOverLink(DaemonName(i));
}

void Soak::Run(base::Micros length) {
  this->cluster.WaitUntil(kOverSeconds,
                          [this] { return !this->cluster.Owner().empty(); });
  this->began = base::MonotonicNow();
  this->cluster.SetTicker([this] { this->Tick(); });
  while (base::MonotonicNow() < this->began + length) {
    this->HandIn();
    this->ReturnCallers();
    const base::Micros next = base::MonotonicNow() + kBetweenJobs;
    this->cluster.WaitUntil(1, [next] { return base::MonotonicNow() > next; });
  }
  this->Heal();
  if (!this->cluster.WaitUntil(kOverSeconds,
                               [this] { return this->AllOver(); }))
    this->faults.push_back("jobs are not over a minute after the last fault");
  this->JudgeStates();
}

// Called with each turn of the loop, while callers wait as well.
void Soak::Tick() {
  if (this->is_healing)
    return;
  const base::Micros now = base::MonotonicNow() - this->began;
  std::vector<SoakEvent> over;
  std::erase_if(this->under_way, [&](const SoakEvent& event) {
    if (now < event.at + event.span)
      return false;
    over.push_back(event);
    return true;
  });
  for (const SoakEvent& event : over)
    this->End(event);
  while (this->next_event < this->schedule.size() &&
         this->schedule[this->next_event].at <= now) {
    const SoakEvent event = this->schedule[this->next_event++];
    this->Begin(event);
    if (event.span > base::Micros::zero())
      this->under_way.push_back(event);
  }
}

void Soak::Begin(const SoakEvent& event) {
  StoreStandin& store = this->cluster.store();
  const std::string daemon = DaemonName(event.target);
  Process& process = *this->cluster.daemons().at(daemon).process;
  switch (event.fault) {
    case SoakFault::kStoreBusy:
      store.SetMood(StoreStandin::Mood::kBusy);
      break;
    case SoakFault::kStoreLoses:
      store.SetMood(StoreStandin::Mood::kLosesAnswers);
      break;
    case SoakFault::kStoreSilent:
      store.SetMood(StoreStandin::Mood::kSilent);
      break;
    case SoakFault::kStoreCuts:
      store.SetMood(StoreStandin::Mood::kCuts);
      break;
    case SoakFault::kStoreForgets:
      store.ForgetHistory();
      break;
    case SoakFault::kDaemonCut:
      this->cluster.LinkOf(daemon).Cut();
      break;
    case SoakFault::kDaemonSilence:
      this->cluster.LinkOf(daemon).SilenceOpen();
      break;
    case SoakFault::kDaemonKilled:
      process.Signal(SIGKILL);
      this->StartAgain(daemon);
      break;
    case SoakFault::kDaemonStopped:
      process.Signal(SIGTERM);
      break;
    case SoakFault::kDaemonPaused:
      process.Signal(SIGSTOP);
      break;
    case SoakFault::kDaemonReloads:
      process.Signal(SIGHUP);
      break;
    case SoakFault::kWorkerCrashes:
      this->cluster.workers().Crash(BoxName(event.target));
      break;
    case SoakFault::kWorkerRestarts:
      this->cluster.workers().Restart(BoxName(event.target));
      break;
  }
}

void Soak::End(const SoakEvent& event) {
  const std::string daemon = DaemonName(event.target);
  switch (event.fault) {
    case SoakFault::kDaemonCut:
      this->cluster.LinkOf(daemon).Join();
      break;
    case SoakFault::kDaemonStopped:
      this->StartAgain(daemon);
      break;
    case SoakFault::kDaemonPaused:
      this->cluster.daemons().at(daemon).process->Signal(SIGCONT);
      break;
    default:
      this->cluster.store().SetMood(StoreStandin::Mood::kWell);
      break;
  }
}

// Kills the process if it still runs, as the platform does after its grace
// period.
void Soak::StartAgain(const std::string& id) {
  Process& process = *this->cluster.daemons().at(id).process;
  process.Signal(SIGKILL);
  process.Wait(kExitSeconds);
  this->cluster.StartDaemon(id);
}

void Soak::HandIn() {
  const bool is_large = this->random() % kJobsPerLargeJob == 0;
  this->Submit({.job = JobId(++this->job_count),
                .queue = this->random() % 2 == 0 ? "q" : "urgent",
                .tasks = is_large ? kTasksOfLargeJob : kTasksOfSmallJob});
}

// One try at one daemon. What has no answer may have been accepted. A refusal
// that tells when to return says that the job never runs, unless it is
// submitted again.
void Soak::Submit(const Caller& caller) {
  if (this->refused_jobs.erase(caller.job) > 0 &&
      this->cluster.workers().HasStarted(caller.job))
    this->faults.push_back(caller.job + " was refused, and runs");
  const std::string daemon =
      DaemonName(static_cast<int>(this->random() % kDaemons));
  const http::Response response = this->cluster.Call(
      daemon, "POST", caller.job, BodyOf(caller.tasks), caller.queue);
  if (response.status == kOk)
    this->accepted_jobs.insert(caller.job);
  if (response.status != kTooMany && response.status != kUnavailable)
    return;
  this->refused_jobs.insert(caller.job);
  ++this->refusal_count;
  this->rejection_count +=
      response.body.find("cannot be done in time") != std::string::npos;
  const std::string* retry_after =
      http::FindHeader(response.headers, "Retry-After");
  if (!retry_after)
    this->faults.push_back(caller.job + " was refused without Retry-After");
  else if (this->random() % 2 == 0)
    this->returning.emplace_back(
        base::MonotonicNow() + std::chrono::seconds(std::stoi(*retry_after)) +
            base::Micros(static_cast<std::int64_t>(
                this->random() %
                static_cast<std::uint64_t>(kMaxReturnDelay.count()))),
        caller);
}

void Soak::ReturnCallers() {
  const base::Micros now = base::MonotonicNow();
  std::vector<Caller> callers;
  std::erase_if(this->returning, [&](const auto& entry) {
    if (entry.first > now)
      return false;
    callers.push_back(entry.second);
    return true;
  });
  for (const Caller& caller : callers)
    this->Submit(caller);
}

void Soak::Heal() {
  this->is_healing = true;
  this->cluster.store().SetMood(StoreStandin::Mood::kWell);
  for (const SoakEvent& event : this->under_way)
    this->End(event);
  for (auto& [id, daemon] : this->cluster.daemons()) {
    daemon.process->Signal(SIGCONT);
    if (!daemon.process->running())
      this->StartAgain(id);
  }
}

bool Soak::AllOver() {
  for (const std::string& job : this->accepted_jobs) {
    if (this->final_states.contains(job))
      continue;
    const std::string state = this->cluster.StateOf(job);
    if (state != "completed" && state != "failed")
      return false;
    this->final_states[job] = state;
  }
  return true;
}

void Soak::JudgeStates() {
  const bool have_crashed = std::any_of(
      this->schedule.begin(), this->schedule.end(), [](const SoakEvent& event) {
        return event.fault == SoakFault::kWorkerCrashes ||
               event.fault == SoakFault::kWorkerRestarts;
      });
  for (const auto& [job, state] : this->final_states) {
    // A task under which workers have crashed may be given up.
    if (state == "failed" && !have_crashed)
      this->faults.push_back(job + " failed");
  }
  for (const std::string& job : this->refused_jobs) {
    if (this->cluster.workers().HasStarted(job))
      this->faults.push_back(job + " was refused, and runs");
  }
  for (const std::string& fault : this->cluster.workers().broken())
    this->faults.push_back(fault);
  for (const std::string& crash : this->cluster.CrashedDaemons())
    this->faults.push_back(crash);
}

}  // namespace quartzhoist::testing
