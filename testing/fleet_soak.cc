#include "testing/fleet_soak.h"

#include <algorithm>
#include <csignal>
#include <random>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace quartzhoist::testing {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Mood = StoreStandin::Mood;

constexpr int kAttempts = 3;
constexpr std::int64_t kCores = 16'000;
constexpr base::Micros kStoreTime = milliseconds(4);
constexpr base::Micros kSlowStoreTime = milliseconds(240);
constexpr base::Micros kSlowBefore = milliseconds(800);
constexpr base::Micros kAway = milliseconds(1500);
constexpr base::Micros kGrace = seconds(6);
constexpr base::Micros kLookPeriod = milliseconds(100);
constexpr base::Micros kFirstFault = seconds(6);
constexpr base::Micros kBetweenDense = milliseconds(900);
constexpr base::Micros kBetweenSparse = seconds(5);
constexpr base::Micros kBetweenGroups = seconds(17);
constexpr double kOverSeconds = 60;
// From the end of the traffic until all jobs are asked for.
constexpr base::Micros kFinish = seconds(14);
constexpr const char* kLimits =
    "move_seconds = 1.5\nupkeep_seconds = 2\nstop_ms = 400\n"
    "longest_lease_ms = 10000\n";

bool HasSpan(FleetFault fault) {
  return fault != FleetFault::kStoreForgets && fault != FleetFault::kRestarts &&
         fault != FleetFault::kWave && fault != FleetFault::kWorkersLost;
}

bool IsPlanned(FleetFault fault) {
  return fault == FleetFault::kConfiguration || fault == FleetFault::kWave;
}

json QueueOf(const std::string& name, const std::string& pool, int priority) {
  return {{"name", name},
          {"host", "jobs.example"},
          {"pathPrefix", "/" + name + "/"},
          {"service", pool},
          {"priority", priority},
          {"attempts", kAttempts},
          {"extension", 1.5},
          {"targetLatencyMs", 600}};
}

}  // namespace

std::vector<FleetEvent> DrawFleetSchedule(std::uint64_t seed,
                                          base::Micros length,
                                          std::vector<FleetFault> among) {
  if (among.empty()) {
    for (const auto& named : kFleetFaultNames)
      among.push_back(named.value);
  }
  std::mt19937_64 random(seed);
  const auto draw = [&random](std::int64_t least, std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(least, most)(random);
  };
  std::vector<FleetEvent> schedule;
  const auto add = [&](base::Micros at) {
    FleetEvent event;
    event.at = at;
    event.fault = among[static_cast<std::size_t>(
        draw(0, static_cast<std::int64_t>(among.size()) - 1))];
    event.target = random();
    if (HasSpan(event.fault))
      event.span = milliseconds(draw(300, 5000));
    schedule.push_back(event);
    // A slow store has writes in service when it turns daemons away.
    const bool turns_away = event.fault == FleetFault::kStoreRefuses ||
                            event.fault == FleetFault::kStoreThrottles ||
                            event.fault == FleetFault::kStoreResets;
    if (turns_away && draw(0, 2) > 0)
      schedule.push_back({.at = event.at - kSlowBefore,
                          .span = kSlowBefore + event.span / 2,
                          .fault = FleetFault::kStoreSlow,
                          .target = 0});
  };
  const auto kind = seed % 3;
  const base::Micros between = kind == 0   ? kBetweenDense
                               : kind == 1 ? kBetweenSparse
                                           : kBetweenGroups;
  for (base::Micros at = kFirstFault; at < length; at += between) {
    const auto count = kind == 2 ? draw(2, 4) : 1;
    for (std::int64_t i = 0; i < count; ++i)
      add(at + milliseconds(draw(0, 1500)));
  }
  std::sort(
      schedule.begin(), schedule.end(),
      [](const FleetEvent& a, const FleetEvent& b) { return a.at < b.at; });
  return schedule;
}

std::string TextOf(const FleetEvent& event) {
  return fmt::format("{:.2f} s {} {:x} for {:.2f} s", base::Seconds(event.at),
                     base::NameOf(kFleetFaultNames, event.fault), event.target,
                     base::Seconds(event.span));
}

FleetSoak::FleetSoak(const std::string& programs,
                     const SoakForm& size,
                     std::vector<FleetEvent> events,
                     std::uint64_t drawn)
    : form(size),
      cluster(programs, 0),
      schedule(std::move(events)),
      seed(drawn) {
  this->cluster.SetLimits(kLimits);
  if (this->form.epochs_checked)
    this->cluster.SetEpochsChecked();
  this->cluster.store().SetDelay(kStoreTime);
  this->cluster.workers().SetCores(kCores);
  this->cluster.workers().SetAwayTime(kAway);
  this->PutConfig();
  for (int pool = 0; pool < this->form.pools; ++pool) {
    for (int i = 0; i < this->form.boxes; ++i)
      this->cluster.workers().AddBox(fmt::format("box-{}-{}", pool, i),
                                     fmt::format("pool-{}", pool));
  }
  for (int i = 0; i < this->form.spare_boxes; ++i)
    this->cluster.workers().AddBox(fmt::format("box-rest-{}", i), "rest");
  for (int i = 0; i < this->form.daemons; ++i)
    this->cluster.StartDaemonAtEndpoint(fmt::format("entry-{}", i + 1));
}

void FleetSoak::PutConfig() {
  json config = {{"version", ++this->config_version},
                 {"routes", json::array()},
                 {"services", {{{"name", "rest"}, {"spare", true}}}}};
  for (int pool = 0; pool < this->form.pools; ++pool) {
    const std::string name = fmt::format("pool-{}", pool);
    config["services"].push_back({{"name", name}});
    config["routes"].push_back(QueueOf(fmt::format("short-{}", pool), name, 0));
    config["routes"].push_back(QueueOf(fmt::format("last-{}", pool), name, 0));
  }
  for (const std::string& queue : this->extra_queues)
    config["routes"].push_back(QueueOf(queue, "pool-0", 1));
  this->cluster.store().Put({.table = "op", .part = "", .key = "config"},
                            config.dump());
}

void FleetSoak::Run(base::Micros length) {
  this->cluster.WaitUntil(kOverSeconds,
                          [this] { return !this->cluster.Owner().empty(); });
  this->began = base::MonotonicNow();
  this->last_fault = this->began;
  this->callers =
      std::make_unique<SoakCallers>(this->cluster, this->form, this->seed);
  this->judge =
      std::make_unique<SoakJudge>(this->cluster, *this->callers, kAttempts);
  this->cluster.SetTicker([this] { this->Tick(); });
  this->cluster.WaitUntil(base::Seconds(length), [] { return false; });
  for (const FleetEvent& event : this->under_way)
    this->End(event);
  this->under_way.clear();
  this->is_healing = true;
  this->callers->Stop();
  this->cluster.WaitUntil(base::Seconds(kFinish), [] { return false; });
  this->judge->JudgeStates(true);
  this->callers->CancelLasting();
  if (!this->cluster.WaitUntil(kOverSeconds,
                               [this] { return this->judge->AllOver(); }))
    this->faults.push_back("LOST jobs are not over a minute after the end");
  this->judge->JudgeStates(false);
  this->judge->JudgeRefused();
  for (const std::string& crash : this->cluster.CrashedDaemons())
    this->faults.push_back(crash);
}

void FleetSoak::Tick() {
  const base::Micros now = base::MonotonicNow();
  std::vector<FleetEvent> over;
  std::erase_if(this->under_way, [&](const FleetEvent& event) {
    if (now < this->began + event.at + event.span)
      return false;
    over.push_back(event);
    return true;
  });
  for (const FleetEvent& event : over)
    this->End(event);
  while (!this->is_healing && this->next_event < this->schedule.size() &&
         this->began + this->schedule[this->next_event].at <= now) {
    const FleetEvent event = this->schedule[this->next_event++];
    this->Begin(event);
    if (event.span > base::Micros::zero())
      this->under_way.push_back(event);
  }
  this->RestartInTurn(now);
  const bool is_disturbed =
      !this->to_restart.empty() ||
      std::any_of(
          this->under_way.begin(), this->under_way.end(),
          [](const FleetEvent& event) { return !IsPlanned(event.fault); });
  if (is_disturbed)
    this->last_fault = now;
  this->callers->SetCalmSince(this->last_fault);
  this->callers->Tick();
  if (now < this->last_look + kLookPeriod)
    return;
  this->last_look = now;
  this->judge->Look(this->last_fault);
}

std::string FleetSoak::PoolOf(const FleetEvent& event) const {
  return fmt::format(
      "pool-{}", event.target % static_cast<std::uint64_t>(this->form.pools));
}

// A third of them, one at least.
std::vector<std::string> FleetSoak::DaemonsOf(const FleetEvent& event) const {
  const auto count = static_cast<std::uint64_t>(this->form.daemons);
  std::vector<std::string> chosen;
  for (std::uint64_t i = 0; i < std::max<std::uint64_t>(1, count / 3); ++i)
    chosen.push_back(fmt::format("entry-{}", (event.target + i) % count + 1));
  return chosen;
}

// Half of a pool, by the boxes' names: the same at the begin and at the end.
std::vector<std::string> FleetSoak::BoxesOf(const FleetEvent& event) const {
  const auto pool = event.target % static_cast<std::uint64_t>(this->form.pools);
  std::vector<std::string> chosen;
  for (int i = 0; i < (this->form.boxes + 1) / 2; ++i)
    chosen.push_back(fmt::format("box-{}-{}", pool, i));
  return chosen;
}

void FleetSoak::SetMoods(const FleetEvent& event, Mood mood) {
  for (const std::string& daemon : this->DaemonsOf(event)) {
    this->cluster.store().SetMoodOf(daemon, mood);
    if (mood == Mood::kBusy || mood == Mood::kCuts || mood == Mood::kTooMany)
      this->cluster.store().CutCallsOf(daemon);
  }
}

void FleetSoak::Kill(const std::string& daemon) {
  this->callers->NoteKilled(daemon);
  this->cluster.daemons().at(daemon).process->Signal(SIGKILL);
}

void FleetSoak::StartEnded() {
  for (auto& [id, daemon] : this->cluster.daemons()) {
    if (!daemon.process->running())
      this->cluster.StartDaemon(id);
  }
}

void FleetSoak::LoseWorkers(const FleetEvent& event) {
  for (const std::string& box : this->BoxesOf(event))
    this->cluster.workers().Lose(
        box, milliseconds(3000 + static_cast<int>(event.target % 6000)));
}

void FleetSoak::SetCut(const FleetEvent& event, bool is_cut) {
  for (const std::string& box : this->BoxesOf(event))
    this->cluster.workers().SetCut(box, is_cut);
}

// The platform kills a daemon that has not ended after its grace period.
void FleetSoak::RestartInTurn(base::Micros now) {
  if (this->to_restart.empty())
    return;
  const std::string daemon = this->to_restart.back();
  Process& process = *this->cluster.daemons().at(daemon).process;
  if (this->restart_at == base::Micros::zero()) {
    process.Signal(SIGTERM);
    this->restart_at = now;
    return;
  }
  if (process.running() && now < this->restart_at + kGrace)
    return;
  if (process.running()) {
    this->Kill(daemon);
    process.Wait(base::Seconds(kGrace));
  }
  this->cluster.StartDaemon(daemon);
  this->to_restart.pop_back();
  this->restart_at = base::Micros::zero();
}

void FleetSoak::PutWave(const FleetEvent& event) {
  const int wave = ++this->wave_count;
  const json body = {
      {"wave", wave},
      {"machines", this->cluster.workers().BoxesOf(this->PoolOf(event))},
      {"durationS", 25},
      {"maxCount", 1}};
  this->cluster.store().Put(
      {.table = "op", .part = "", .key = fmt::format("wave/{}", wave)},
      body.dump());
}

void FleetSoak::Begin(const FleetEvent& event) {
  if (!IsPlanned(event.fault))
    this->last_fault = base::MonotonicNow();
  StoreStandin& store = this->cluster.store();
  const std::string owner = this->cluster.Owner();
  switch (event.fault) {
    case FleetFault::kStoreRefuses:
      this->SetMoods(event, Mood::kBusy);
      break;
    case FleetFault::kStoreThrottles:
      this->SetMoods(event, Mood::kTooMany);
      break;
    case FleetFault::kStoreResets:
      this->SetMoods(event, Mood::kCuts);
      break;
    case FleetFault::kStoreSilent:
      this->SetMoods(event, Mood::kSilent);
      break;
    case FleetFault::kStoreLosesAnswers:
      this->SetMoods(event, Mood::kLosesAnswers);
      break;
    case FleetFault::kStoreLate:
      this->SetMoods(event, Mood::kLate);
      break;
    case FleetFault::kStoreDown:
      store.SetMood(Mood::kBusy);
      break;
    case FleetFault::kStoreSlow:
      store.SetDelay(kSlowStoreTime);
      break;
    case FleetFault::kStoreForgets:
      store.ForgetHistory();
      break;
    case FleetFault::kBoxesBusy:
      this->cluster.workers().SetBoxMood(WorkerStandins::BoxMood::kBusy);
      break;
    case FleetFault::kBoxesLose:
      this->cluster.workers().SetBoxMood(
          WorkerStandins::BoxMood::kLosesAnswers);
      break;
    case FleetFault::kWorkersLost:
      this->LoseWorkers(event);
      break;
    case FleetFault::kWorkersCut:
      this->SetCut(event, true);
      break;
    case FleetFault::kOwnerAndWorkers:
      this->LoseWorkers(event);
      [[fallthrough]];
    case FleetFault::kOwnerKilled:
      if (!owner.empty())
        this->Kill(owner);
      break;
    case FleetFault::kAllKilled:
      for (const auto& [id, daemon] : this->cluster.daemons())
        this->Kill(id);
      break;
    case FleetFault::kRestarts:
      if (this->to_restart.empty()) {
        for (const auto& [id, daemon] : this->cluster.daemons())
          this->to_restart.push_back(id);
      }
      break;
    case FleetFault::kConfiguration:
      this->extra_queues.push_back(
          fmt::format("extra-{}", this->config_version));
      this->PutConfig();
      break;
    case FleetFault::kWave:
      this->PutWave(event);
      break;
  }
}

void FleetSoak::End(const FleetEvent& event) {
  StoreStandin& store = this->cluster.store();
  switch (event.fault) {
    case FleetFault::kStoreRefuses:
    case FleetFault::kStoreThrottles:
    case FleetFault::kStoreResets:
    case FleetFault::kStoreSilent:
    case FleetFault::kStoreLosesAnswers:
    case FleetFault::kStoreLate:
      this->SetMoods(event, Mood::kWell);
      break;
    case FleetFault::kStoreDown:
      store.SetMood(Mood::kWell);
      break;
    case FleetFault::kStoreSlow:
      store.SetDelay(kStoreTime);
      break;
    case FleetFault::kBoxesBusy:
    case FleetFault::kBoxesLose:
      this->cluster.workers().SetBoxMood(WorkerStandins::BoxMood::kWell);
      break;
    case FleetFault::kWorkersCut:
      this->SetCut(event, false);
      break;
    case FleetFault::kOwnerAndWorkers:
    case FleetFault::kOwnerKilled:
    case FleetFault::kAllKilled:
      this->StartEnded();
      break;
    case FleetFault::kConfiguration:
      if (!this->extra_queues.empty()) {
        const std::string queue = this->extra_queues.front();
        this->extra_queues.erase(this->extra_queues.begin());
        this->PutConfig();
        this->callers->AskForMissingQueue(queue);
      }
      break;
    default:
      break;
  }
  if (!IsPlanned(event.fault))
    this->last_fault = base::MonotonicNow();
}

std::vector<std::string> FleetSoak::Broken() const {
  std::vector<std::string> all = this->faults;
  for (const auto* part : {&this->judge->broken(), &this->callers->broken(),
                           &this->cluster.workers_seen().broken()})
    all.insert(all.end(), part->begin(), part->end());
  return all;
}

std::string FleetSoak::Summary() const {
  int accepted = 0;
  int refused = 0;
  for (const auto& [id, job] : this->callers->jobs()) {
    accepted += job.accepted > base::Micros::zero();
    refused += job.refusals > 0;
  }
  return fmt::format("{} faults, {} jobs, {} accepted, {} refused",
                     this->schedule.size(), this->callers->jobs().size(),
                     accepted, refused);
}

}  // namespace quartzhoist::testing
