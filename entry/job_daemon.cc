#include "entry/job_daemon.h"

#include <unistd.h>

#include <csignal>
#include <fstream>
#include <functional>
#include <utility>

#include <fmt/format.h>

#include "base/event_log.h"
#include "base/ini_file.h"
#include "base/ip_address.h"
#include "platform/records.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

http::ServerOptions ServerOptionsFor(const std::string& address,
                                     const http::ConnectionLimits& limits,
                                     base::Counters& counters) {
  const auto parsed = base::ParseIpAddress(address);
  http::ServerOptions options;
  options.address = parsed->ip;
  options.port = parsed->port;
  options.limits = limits;
  options.counters = &counters;
  return options;
}

// Number of responses of the operator table's feed within the time limit for a
// configuration change to take effect. A feed that stops responding is thus
// detected and polled again within the limit.
constexpr int kConfigPollsPerLimit = 4;

// The readiness and metrics endpoints serve only the load balancer, metrics
// scrapers and operators. Their requests have no body.
constexpr std::size_t kMaxMonitoringBody = 4096;

http::ConnectionLimits MonitoringLimits(const Settings& settings) {
  http::ConnectionLimits limits = settings.caller_limits;
  limits.connections = settings.max_monitoring_connections;
  limits.held_bytes = settings.max_monitoring_bytes;
  return limits;
}

http::ServerOptions MonitoringOptionsFor(const std::string& address,
                                         const Settings& settings,
                                         base::Counters& counters) {
  http::ServerOptions options =
      ServerOptionsFor(address, MonitoringLimits(settings), counters);
  options.max_body = kMaxMonitoringBody;
  return options;
}

http::ServerOptions CallerOptionsFor(
    const Settings& settings,
    base::Counters& counters,
    std::function<http::Response(const http::Request&)> on_no_room) {
  http::ServerOptions options = ServerOptionsFor(
      settings.callers_address, settings.caller_limits, counters);
  options.max_body = settings.max_body;
  options.on_no_room = std::move(on_no_room);
  return options;
}

constexpr base::Micros kTrafficLogPeriod = std::chrono::seconds(10);

// Interval of checks for a changed settings file; the platform may change it
// without sending a signal.
constexpr base::Micros kReloadPeriod = std::chrono::seconds(2);

std::filesystem::file_time_type ModificationTime(const std::string& file) {
  std::error_code error;
  return std::filesystem::last_write_time(file, error);
}

std::uint64_t MakeSeed(const std::string& id) {
  const auto now = std::chrono::system_clock::now().time_since_epoch().count();
  return std::hash<std::string>()(id) ^ static_cast<std::uint64_t>(now) ^
         (static_cast<std::uint64_t>(getpid()) << 32U);
}

}  // namespace

JobDaemon::JobDaemon(const Settings& chosen, std::string file)
    : settings(chosen),
      settings_file(std::move(file)),
      settings_time(ModificationTime(this->settings_file)),
      command_answers(std::make_shared<http::ByteBudget>(
          http::ByteBudget{.limit = chosen.max_answers})),
      store_answers(std::make_shared<http::ByteBudget>(
          http::ByteBudget{.limit = chosen.max_answers})),
      client(this->loop,
             {.answers = this->store_answers,
              .max_connections = chosen.max_store_connections,
              .counters = &this->counters}),
      store(this->client,
            chosen.store_address,
            chosen.deployment,
            this->counters),
      callers(
          this->loop,
          this->store,
          this->counters,
          [this](const platform::Row& row) { this->ApplyOperatorRow(row); }),
      explain(this->store, this->ExplainSources()),
      caller_server(
          this->loop,
          CallerOptionsFor(chosen,
                           this->counters,
                           [this](const http::Request& request) {
                             return this->callers.RefuseForRoom(request);
                           }),
          [this](const http::ExchangePtr& exchange) {
            this->callers.Handle(exchange);
          }),
      readiness_server(this->loop,
                       MonitoringOptionsFor(chosen.readiness_address,
                                            chosen,
                                            this->counters),
                       [this](const http::ExchangePtr& exchange) {
                         this->AnswerReadiness(exchange);
                       }),
      shard_choice(MakeSeed(chosen.id)),
      stop_timer(this->loop, [this] { this->ExitIfDrained(); }),
      stop_signal(this->loop, SIGTERM, [this] { this->Stop(); }),
      interrupt_signal(this->loop, SIGINT, [this] { this->Stop(); }),
      reload_signal(this->loop, SIGHUP, [this] { this->Reload(); }),
      reload_timer(this->loop, [this] { this->ReloadIfChanged(); }),
      traffic_timer(this->loop, [this] { this->LogTraffic(); }) {
  this->reload_timer.StartEvery(kReloadPeriod);
  this->traffic_timer.StartEvery(kTrafficLogPeriod);
  if (!chosen.metrics_address.empty()) {
    this->metrics_server = std::make_unique<http::Server>(
        this->loop,
        MonitoringOptionsFor(chosen.metrics_address, chosen, this->counters),
        [this](const http::ExchangePtr& exchange) {
          this->AnswerMetrics(exchange);
        });
    // Other daemons find it there; the settings may leave the port to the
    // system.
    this->settings.metrics_address =
        fmt::format("{}:{}", base::ParseIpAddress(chosen.metrics_address)->ip,
                    this->metrics_server->port());
  }
  const std::uint64_t seed = MakeSeed(chosen.id);
  // The feed of the owner rows answers later, after its wait.
  this->store.EnableProbes(this->loop, seed, [this] {
    this->last_store_answer = base::MonotonicNow();
  });
  base::Log(base::Event::kDaemonStarted,
            {{"id", chosen.id},
             {"zone", chosen.zone},
             {"callers_port", this->caller_server.port()},
             {"readiness_port", this->readiness_server.port()},
             {"metrics_port",
              this->metrics_server ? this->metrics_server->port() : 0},
             {"seed", seed}});
  this->operator_follower = std::make_unique<platform::TableFollower>(
      this->loop, this->store, std::string(platform::kOperatorTable),
      std::vector<std::string>{""},
      platform::TableFollower::Events{
          .on_all =
              [this](const std::vector<platform::Row>& rows) {
                this->ApplyOperatorTable(rows);
              },
          .on_changes =
              [this](const std::vector<platform::ChangedRow>& changes) {
                this->ApplyOperatorChanges(changes);
              },
          .on_contact =
              [this](std::optional<base::Micros> asked) {
                if (asked)
                  this->callers.OnConfigConfirmed(*asked, base::MonotonicNow());
              },
          .on_lost = [] {}},
      platform::TableFollower::Pace{.wait = chosen.deployment.config_in_force /
                                            kConfigPollsPerLimit});
  this->shard_plan = std::make_unique<ShardCountResolver>(
      this->loop, this->store, chosen.cores, chosen.workers_per_owner, seed,
      [this, seed](int shards) { this->StartOwnerships(shards, seed); });
}

void JobDaemon::StartOwnerships(int shards, std::uint64_t seed) {
  for (int i = 0; i < shards; ++i)
    this->managed_shards.push_back(std::make_unique<ManagedShard>(this->loop));
  this->ownerships = std::make_unique<Ownerships>(
      this->loop, this->store, this->settings.id, this->settings.cores, shards,
      seed,
      Ownerships::Events{
          .on_gained =
              [this](int shard, std::uint64_t epoch,
                     base::Micros earlier_confirmed) {
                this->OnOwnershipGained(shard, epoch, earlier_confirmed);
              },
          .on_lost = [this](int shard) { this->OnOwnershipLost(shard); },
          .on_renewed =
              [this](int shard, base::Micros asked) {
                ManagedShard& managed = this->ManagedShardAt(shard);
                if (managed.manager)
                  managed.manager->OwnershipConfirmed(asked);
              },
          .load = [this](int shard) { return this->LoadOf(shard); },
          .on_store_answered =
              [this] { this->last_store_answer = base::MonotonicNow(); }});
  this->callers.SetShards(
      shards, [this](const jobs::Queue& queue, const jobs::JobSpec& job,
                     const std::string& organisation,
                     std::function<void(int)> on_chosen) {
        this->ChooseShard(queue, job, organisation, std::move(on_chosen));
      });
  this->callers.SetAdmission(
      {.refresh =
           [this](int shard, std::function<void()> on_read) {
             this->ownerships->RefreshLoads({shard}, std::move(on_read));
           },
       .load_of = [this](int shard) { return this->ownerships->Load(shard); }},
      seed);
  // The stop signal arrived before the shards were known.
  if (this->stop_requested > base::Micros::zero())
    this->ownerships->Release();
}

// Reads the loads of a few shards. Only if the pool has no cores in any of them
// are all read: in a small pool of boxes that do not move, most shards have
// none, and a job would wait there for good.
void JobDaemon::ChooseShard(const jobs::Queue& queue,
                            const jobs::JobSpec& job,
                            const std::string& organisation,
                            std::function<void(int)> on_chosen) {
  const std::vector<int> candidates = this->shard_choice.DrawCandidates(
      this->config, queue, job, this->ownerships->Loads());
  const auto select =
      [this, queue, job, organisation,
       on_chosen = std::move(on_chosen)](const std::vector<int>& shards) {
        on_chosen(this->shard_choice.Select(this->config, queue, job, shards,
                                            this->ownerships->Loads(),
                                            organisation));
      };
  this->ownerships->RefreshLoads(candidates, [this, queue, candidates, select] {
    const std::vector<ShardLoad> loads = this->ownerships->Loads();
    if (ShardSelector::HaveCores(queue.service, candidates, loads)) {
      select(candidates);
      return;
    }
    const std::vector<int> all = AllShards(loads.size());
    this->ownerships->RefreshLoads(all, [all, select] { select(all); });
  });
}

void JobDaemon::ReloadIfChanged() {
  if (ModificationTime(this->settings_file) != this->settings_time)
    this->Reload();
}

// Applies changed limits and platform addresses. The listening addresses and
// the daemon's id remain those of the start.
void JobDaemon::Reload() {
  this->settings_time = ModificationTime(this->settings_file);
  try {
    std::ifstream in(this->settings_file);
    if (!in)
      throw base::TextError(this->settings_file, 0, "", "cannot be opened");
    Settings next = ReadSettings(in, this->settings_file);
    next.id = this->settings.id;
    next.metrics_address = this->settings.metrics_address;
    this->settings = std::move(next);
  } catch (const base::TextError& error) {
    base::Log(base::Event::kSettingsRejected, {{"problem", error.what()}});
    return;
  }
  this->store.SetAddress(this->settings.store_address);
  this->caller_server.SetLimits(this->settings.caller_limits,
                                this->settings.max_body);
  const http::ConnectionLimits monitoring = MonitoringLimits(this->settings);
  this->readiness_server.SetLimits(monitoring, kMaxMonitoringBody);
  if (this->metrics_server)
    this->metrics_server->SetLimits(monitoring, kMaxMonitoringBody);
  this->store_answers->limit = this->settings.max_answers;
  this->command_answers->limit = this->settings.max_answers;
  base::Log(base::Event::kSettingsReloaded, {{"file", this->settings_file}});
}

// Evacuations are applied first: a shard whose manager waits only for the
// configuration starts scheduling with it.
void JobDaemon::ApplyOperatorTable(const std::vector<platform::Row>& rows) {
  std::set<std::string> zones;
  for (const platform::Row& row : rows) {
    if (const auto zone = platform::EvacuatedZoneOf(row.at.key))
      zones.insert(*zone);
  }
  this->SetEvacuatedZones(std::move(zones));
  for (const platform::Row& row : rows)
    this->ApplyOperatorRow(row);
}

void JobDaemon::ApplyOperatorChanges(
    const std::vector<platform::ChangedRow>& changes) {
  std::set<std::string> zones =
      this->evacuated_zones.value_or(std::set<std::string>());
  for (const platform::ChangedRow& changed : changes) {
    const auto zone = platform::EvacuatedZoneOf(changed.row.at.key);
    if (zone && changed.removed)
      zones.erase(*zone);
    else if (zone)
      zones.insert(*zone);
  }
  this->SetEvacuatedZones(std::move(zones));
  for (const platform::ChangedRow& changed : changes) {
    if (!changed.removed)
      this->ApplyOperatorRow(changed.row);
  }
}

void JobDaemon::SetEvacuatedZones(std::set<std::string> zones) {
  if (this->evacuated_zones == zones)
    return;
  const bool had_none =
      !this->evacuated_zones || this->evacuated_zones->empty();
  this->evacuated_zones = std::move(zones);
  if (!had_none || !this->evacuated_zones->empty()) {
    base::Log(
        base::Event::kZonesEvacuated,
        {{"zones", fmt::format("{}", fmt::join(*this->evacuated_zones, ","))}});
  }
  for (const auto& managed : this->managed_shards) {
    if (managed->manager)
      managed->manager->SetEvacuatedZones(*this->evacuated_zones);
  }
}

void JobDaemon::ApplyOperatorRow(const platform::Row& row) {
  try {
    if (row.at.key == platform::kConfigKey) {
      jobs::Config next = platform::ParseConfig(row.value);
      // An older version never replaces a newer one.
      if (this->has_config && next.version <= this->config.version)
        return;
      this->has_config = true;
      this->config = std::move(next);
      this->callers.SetConfig(this->config);
      for (const auto& managed : this->managed_shards) {
        if (managed->manager)
          managed->manager->SetConfig(this->config);
      }
      base::Log(base::Event::kConfigInstalled,
                {{"version", this->config.version},
                 {"queues", this->config.queues.size()}});
      return;
    }
    if (row.at.key.starts_with(platform::kWavePrefix)) {
      const scheduler::Wave wave = platform::ParseWave(row.at.key, row.value);
      this->waves[wave.number] = wave;
      for (const auto& managed : this->managed_shards) {
        if (managed->manager)
          managed->manager->SetWave(wave);
      }
    }
  } catch (const platform::BadInput& problem) {
    base::Log(base::Event::kRowMalformed,
              {{"row", row.at.key}, {"problem", problem.what()}});
  }
}

void JobDaemon::OnOwnershipGained(int shard,
                                  std::uint64_t epoch,
                                  base::Micros earlier_confirmed) {
  ManagedShard& managed = this->ManagedShardAt(shard);
  managed.destroy_timer.Stop();
  managed.manager = std::make_unique<ShardManager>(
      this->loop, this->store, this->counters, this->settings,
      Shard{.number = shard,
            .count = static_cast<int>(this->managed_shards.size())},
      epoch, earlier_confirmed,
      ShardManager::Authority{
          .commands_until = [this,
                             shard] { return this->CommandsUntil(shard); },
          .certain_until = [this, shard] { return this->CertainUntil(shard); },
          .on_fenced = [this,
                        shard] { this->ownerships->At(shard).OnFenced(); }},
      this->command_answers);
  for (const auto& [number, wave] : this->waves)
    managed.manager->SetWave(wave);
  if (this->evacuated_zones)
    managed.manager->SetEvacuatedZones(*this->evacuated_zones);
  if (this->has_config)
    managed.manager->SetConfig(this->config);
}

JobDaemon::ManagedShard& JobDaemon::ManagedShardAt(int shard) const {
  return *this->managed_shards[static_cast<std::size_t>(shard)];
}

ShardLoad JobDaemon::LoadOf(int shard) const {
  const auto& manager = this->ManagedShardAt(shard).manager;
  return manager ? manager->Load() : ShardLoad();
}

// The manager of a lost shard is destroyed slightly later and may still ask, so
// the ownership itself is checked.
base::Micros JobDaemon::CertainUntil(int shard) const {
  const Ownership& ownership = this->ownerships->At(shard);
  return ownership.holds() ? ownership.valid_until() : base::Micros::zero();
}

// If workers reject commands with an outdated epoch, an owner may continue
// without certainty that it is still the owner.
base::Micros JobDaemon::CommandsUntil(int shard) const {
  const bool may_order = this->settings.deployment.epochs_checked &&
                         this->ownerships->At(shard).holds();
  return may_order ? base::Micros::max() : this->CertainUntil(shard);
}

void JobDaemon::OnOwnershipLost(int shard) {
  ManagedShard& managed = this->ManagedShardAt(shard);
  if (managed.manager)
    managed.manager->RecordFinalLeases();
  managed.destroy_timer.StartOnce(base::Micros(1));
}

void JobDaemon::Run() {
  this->loop.Run();
  base::Log(base::Event::kDaemonStopped, {});
}

}  // namespace quartzhoist::entry
