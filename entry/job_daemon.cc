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

// Without an answer of the store for this long the daemon is not ready. It
// follows the owner's row, which answers each 0.7 to 1.5 s.
constexpr base::Micros kStoreSilent = milliseconds(2600);
// After a stop signal new connections may come until the balancer has missed
// the readiness twice, a second apart.
constexpr base::Micros kStayAfterStop = milliseconds(3000);
// The process leaves this long before the platform kills it.
constexpr base::Micros kLeaveBeforeKill = milliseconds(500);
constexpr base::Micros kStopTick = milliseconds(50);

http::ServerOptions OptionsFor(const std::string& address,
                               std::int64_t max_connections) {
  const auto at = base::ParseIpAddress(address);
  http::ServerOptions options;
  options.address = at->ip;
  options.port = at->port;
  options.max_connections = static_cast<unsigned>(max_connections);
  return options;
}

// The operators' feed answers so many times within the span in which a change
// of the configuration must be in force: one that has fallen silent is noticed,
// and asked again, before that is over.
constexpr int kLooksInForce = 4;

// Few connections: the balancer's, and a scraper's.
constexpr std::int64_t kFewConnections = 64;

// How often the settings file is looked at; the platform may change it without
// a signal.
constexpr base::Micros kReloadPeriod = std::chrono::seconds(2);

std::filesystem::file_time_type TimeOf(const std::string& file) {
  std::error_code unknown;
  return std::filesystem::last_write_time(file, unknown);
}

std::uint64_t SeedOf(const std::string& id) {
  const auto now = std::chrono::system_clock::now().time_since_epoch().count();
  return std::hash<std::string>()(id) ^ static_cast<std::uint64_t>(now) ^
         (static_cast<std::uint64_t>(getpid()) << 32U);
}

}  // namespace

JobDaemon::JobDaemon(const Settings& chosen, std::string file)
    : settings(chosen),
      settings_file(std::move(file)),
      settings_time(TimeOf(this->settings_file)),
      client(this->loop),
      store(this->client, chosen.store, chosen.deployment, this->counters),
      callers(this->loop,
              this->store,
              this->counters,
              [this](const platform::Row& row) { this->TakeOperatorRow(row); }),
      caller_server(this->loop,
                    OptionsFor(chosen.callers, chosen.max_connections),
                    [this](const http::ExchangePtr& exchange) {
                      this->callers.Handle(exchange);
                    }),
      readiness_server(this->loop,
                       OptionsFor(chosen.readiness, kFewConnections),
                       [this](const http::ExchangePtr& exchange) {
                         this->AnswerReadiness(exchange);
                       }),
      choice(SeedOf(chosen.id)),
      stop_timer(this->loop, [this] { this->TryToEnd(); }),
      stop_signal(this->loop, SIGTERM, [this] { this->Stop(); }),
      interrupt_signal(this->loop, SIGINT, [this] { this->Stop(); }),
      reload_signal(this->loop, SIGHUP, [this] { this->Reload(); }),
      reload_timer(this->loop, [this] { this->ReloadIfChanged(); }) {
  this->reload_timer.StartEvery(kReloadPeriod);
  if (!chosen.metrics.empty()) {
    this->metrics_server = std::make_unique<http::Server>(
        this->loop, OptionsFor(chosen.metrics, kFewConnections),
        [this](const http::ExchangePtr& exchange) {
          this->AnswerMetrics(exchange);
        });
  }
  const std::uint64_t seed = SeedOf(chosen.id);
  base::Log(base::Event::kDaemonStarted,
            {{"id", chosen.id},
             {"zone", chosen.zone},
             {"callers_port", this->caller_server.port()},
             {"readiness_port", this->readiness_server.port()},
             {"seed", seed}});
  this->operators = std::make_unique<platform::TableFollower>(
      this->loop, this->store, std::string(platform::kOperatorTable),
      std::vector<std::string>{""},
      platform::TableFollower::Events{
          .on_all =
              [this](const std::vector<platform::Row>& rows) {
                for (const platform::Row& row : rows)
                  this->TakeOperatorRow(row);
              },
          .on_changes =
              [this](const std::vector<platform::ChangedRow>& rows) {
                for (const platform::ChangedRow& changed : rows) {
                  if (!changed.removed)
                    this->TakeOperatorRow(changed.row);
                }
              },
          .on_contact =
              [this](base::Micros) {
                this->callers.ConfigSeen(base::MonotonicNow());
              },
          .on_lost = [] {}},
      platform::TableFollower::Pace{.wait = chosen.deployment.config_in_force /
                                            kLooksInForce});
  this->plan = std::make_unique<ShardPlan>(
      this->loop, this->store, chosen.cores, chosen.workers_an_owner, seed,
      [this, seed](int shards) { this->Begin(shards, seed); });
}

void JobDaemon::Begin(int shards, std::uint64_t seed) {
  for (int i = 0; i < shards; ++i)
    this->by_shard.push_back(std::make_unique<ManagedShard>(this->loop));
  this->ownerships = std::make_unique<Ownerships>(
      this->loop, this->store, this->settings.id, this->settings.cores, shards,
      seed,
      Ownerships::Events{
          .on_gained =
              [this](int shard, std::uint64_t epoch,
                     base::Micros earlier_confirmed) {
                this->Gained(shard, epoch, earlier_confirmed);
              },
          .on_lost = [this](int shard) { this->Lost(shard); },
          .on_confirmed =
              [this](int shard, base::Micros asked) {
                ManagedShard& one = this->At(shard);
                if (one.manager)
                  one.manager->OwnershipConfirmed(asked);
              },
          .load = [this](int shard) { return this->LoadOf(shard); },
          .on_store_answered =
              [this] { this->store_answered = base::MonotonicNow(); }});
  this->callers.SetShards(
      shards, [this](const jobs::Config& now, const jobs::Queue& queue,
                     const jobs::JobSpec& job) {
        return this->choice.Choose(now, queue, job, this->ownerships->Loads());
      });
  // A stop signal came before.
  if (this->stop_asked > base::Micros::zero())
    this->ownerships->Release();
}

void JobDaemon::ReloadIfChanged() {
  if (TimeOf(this->settings_file) != this->settings_time)
    this->Reload();
}

// Limits and the platform's addresses come into force; what is listened on, and
// who this daemon is, stay as they were at the start.
void JobDaemon::Reload() {
  this->settings_time = TimeOf(this->settings_file);
  try {
    std::ifstream in(this->settings_file);
    if (!in)
      throw base::TextError(this->settings_file, 0, "", "cannot be opened");
    Settings next = ReadSettings(in, this->settings_file);
    next.id = this->settings.id;
    this->settings = std::move(next);
  } catch (const base::TextError& error) {
    base::Log(base::Event::kSettingsRejected, {{"problem", error.what()}});
    return;
  }
  this->store.SetAddress(this->settings.store);
  base::Log(base::Event::kSettingsReloaded, {{"file", this->settings_file}});
}

void JobDaemon::TakeOperatorRow(const platform::Row& row) {
  try {
    if (row.at.key == platform::kConfigKey) {
      jobs::Config next = platform::ParseConfig(row.value);
      // A configuration never goes back.
      if (this->has_config && next.version <= this->config.version)
        return;
      this->has_config = true;
      this->config = std::move(next);
      this->callers.SetConfig(this->config);
      for (const auto& one : this->by_shard) {
        if (one->manager)
          one->manager->SetConfig(this->config);
      }
      base::Log(base::Event::kConfigInstalled,
                {{"version", this->config.version},
                 {"queues", this->config.queues.size()}});
      return;
    }
    if (row.at.key.starts_with(platform::kWavePrefix)) {
      const scheduler::Wave wave = platform::ParseWave(row.at.key, row.value);
      this->waves[wave.number] = wave;
      for (const auto& one : this->by_shard) {
        if (one->manager)
          one->manager->SetWave(wave);
      }
    }
  } catch (const platform::BadInput& problem) {
    base::Log(base::Event::kRowMalformed,
              {{"row", row.at.key}, {"problem", problem.what()}});
  }
}

void JobDaemon::Gained(int shard,
                       std::uint64_t epoch,
                       base::Micros earlier_confirmed) {
  ManagedShard& one = this->At(shard);
  one.end.Stop();
  one.manager = std::make_unique<ShardManager>(
      this->loop, this->store, this->counters, this->settings,
      Shard{.number = shard, .count = static_cast<int>(this->by_shard.size())},
      epoch, earlier_confirmed,
      ShardManager::Authority{
          .commands_until = [this, shard] { return this->OrdersUntil(shard); },
          .certain_until = [this, shard] { return this->CertainUntil(shard); },
          .on_fenced = [this,
                        shard] { this->ownerships->At(shard).Fenced(); }});
  for (const auto& [number, wave] : this->waves)
    one.manager->SetWave(wave);
  if (this->has_config)
    one.manager->SetConfig(this->config);
}

JobDaemon::ManagedShard& JobDaemon::At(int shard) const {
  return *this->by_shard[static_cast<std::size_t>(shard)];
}

ShardLoad JobDaemon::LoadOf(int shard) const {
  const auto& manager = this->At(shard).manager;
  return manager ? manager->Load() : ShardLoad();
}

// An owner that has lost the ownership is only destroyed a moment later.
base::Micros JobDaemon::CertainUntil(int shard) const {
  const Ownership& ownership = this->ownerships->At(shard);
  return ownership.holds() ? ownership.certain_until() : base::Micros::zero();
}

// Where workers refuse the orders of an earlier owner, one that is not certain
// goes on.
base::Micros JobDaemon::OrdersUntil(int shard) const {
  const bool goes_on = this->settings.deployment.epochs_checked &&
                       this->ownerships->At(shard).holds();
  return goes_on ? base::Micros::max() : this->CertainUntil(shard);
}

void JobDaemon::Lost(int shard) {
  this->At(shard).end.StartOnce(base::Micros(1));
}

bool JobDaemon::IsReady() const {
  return this->has_config && this->ownerships &&
         this->stop_asked == base::Micros::zero() && !this->store.SeemsAway() &&
         base::MonotonicNow() - this->store_answered < kStoreSilent;
}

void JobDaemon::AnswerReadiness(const http::ExchangePtr& exchange) const {
  constexpr int kReady = 200;
  constexpr int kNotReady = 503;
  exchange->Reply(
      http::JsonResponse(this->IsReady() ? kReady : kNotReady, "{}"));
}

// A list with the state of each shard that this daemon owns.
std::string JobDaemon::Dump() const {
  std::string list;
  for (const auto& one : this->by_shard) {
    if (!one->manager)
      continue;
    list += list.empty() ? "" : ",";
    list += one->manager->Dump();
  }
  return "[" + list + "]";
}

void JobDaemon::AnswerMetrics(const http::ExchangePtr& exchange) const {
  if (exchange->request().path == "/dump") {
    exchange->Reply(http::JsonResponse(200, this->Dump()));
    return;
  }
  http::Response response;
  response.headers.push_back(
      {.name = "Content-Type", .value = "text/plain; version=0.0.4"});
  response.body = base::PrometheusText(this->counters);
  response.body += fmt::format(
      "# HELP quartzhoist_owner Shards that this daemon schedules\n"
      "# TYPE quartzhoist_owner gauge\nquartzhoist_owner {}\n"
      "# HELP quartzhoist_log_lines_left_out_total Log lines left out\n"
      "# TYPE quartzhoist_log_lines_left_out_total counter\n"
      "quartzhoist_log_lines_left_out_total {}\n",
      this->ownerships ? this->ownerships->held().size() : 0,
      base::LinesLeftOut());
  exchange->Reply(std::move(response));
}

// Others take over at once; callers that are still sent here are answered.
void JobDaemon::Stop() {
  if (this->stop_asked > base::Micros::zero())
    return;
  this->stop_asked = base::MonotonicNow();
  base::Log(base::Event::kDaemonStopping, {});
  this->callers.Stop();
  if (this->ownerships)
    this->ownerships->Release();
  this->stop_timer.StartEvery(kStopTick);
}

void JobDaemon::TryToEnd() {
  const base::Micros since = base::MonotonicNow() - this->stop_asked;
  const bool quiet =
      since > kStayAfterStop && this->caller_server.open_exchanges() == 0;
  const bool over = since > this->settings.grace - kLeaveBeforeKill;
  if (!quiet && !over)
    return;
  this->callers.End();
  this->loop.Stop();
}

void JobDaemon::Run() {
  this->loop.Run();
  base::Log(base::Event::kDaemonStopped, {});
}

}  // namespace quartzhoist::entry
