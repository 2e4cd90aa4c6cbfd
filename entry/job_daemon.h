// The daemon of an entry box: the callers' interface, readiness and metrics
// endpoints, and a manager for each shard it owns. Runs an event loop on a
// single thread.

#ifndef ENTRY_JOB_DAEMON_H_
#define ENTRY_JOB_DAEMON_H_

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/counters.h"
#include "base/loop.h"
#include "entry/caller_api.h"
#include "entry/explain_api.h"
#include "entry/manager.h"
#include "entry/ownerships.h"
#include "entry/settings.h"
#include "entry/shard_count_resolver.h"
#include "http/client.h"
#include "http/server.h"
#include "jobs/queue.h"
#include "platform/store.h"
#include "platform/table_follower.h"

namespace quartzhoist::entry {

class JobDaemon {
 public:
  // Throws std::runtime_error if it cannot listen on an address. The settings
  // `file` is reloaded on SIGHUP and whenever it changes.
  JobDaemon(const Settings& settings, std::string file);

  // Returns after a stop signal.
  void Run();

 private:
  // A shard and its manager, which exists while this daemon owns the shard. A
  // timer destroys the manager, since it must not be destroyed during a call of
  // its own.
  struct ManagedShard {
    explicit ManagedShard(base::Loop& loop)
        : destroy_timer(loop, [this] { this->manager.reset(); }) {}

    std::unique_ptr<ShardManager> manager;
    base::Timer destroy_timer;
  };

  void Reload();
  void ReloadIfChanged();
  void ApplyOperatorTable(const std::vector<platform::Row>& rows);
  void ApplyOperatorChanges(const std::vector<platform::ChangedRow>& changes);
  void ApplyOperatorRow(const platform::Row& row);
  void SetEvacuatedZones(std::set<std::string> zones);
  void StartOwnerships(int shards, std::uint64_t seed);
  void ChooseShard(const jobs::Queue& queue,
                   const jobs::JobSpec& job,
                   const std::string& organisation,
                   std::function<void(int)> on_chosen);
  void OnOwnershipGained(int shard,
                         std::uint64_t epoch,
                         base::Micros earlier_confirmed);
  ManagedShard& ManagedShardAt(int shard) const;
  ShardLoad LoadOf(int shard) const;
  base::Micros CommandsUntil(int shard) const;
  base::Micros CertainUntil(int shard) const;
  void OnOwnershipLost(int shard);
  void Stop();
  void ExitIfDrained();
  void AnswerReadiness(const http::ExchangePtr& exchange) const;
  void AnswerMetrics(const http::ExchangePtr& exchange);
  // To the owner of a later epoch.
  void AnswerOwnerQuestion(const http::ExchangePtr& exchange) const;
  ExplainApi::Sources ExplainSources() const;
  void LogTraffic() const;
  bool IsReady() const;
  std::string Dump() const;

  Settings settings;
  std::string settings_file;
  std::filesystem::file_time_type settings_time;
  base::Loop loop;
  base::Counters counters;
  // Shared by the managers' clients.
  std::shared_ptr<http::ByteBudget> command_answers;
  std::shared_ptr<http::ByteBudget> store_answers;
  http::Client client;
  platform::Store store;
  CallerApi callers;
  ExplainApi explain;
  http::Server caller_server;
  http::Server readiness_server;
  std::unique_ptr<http::Server> metrics_server;
  bool has_config = false;
  jobs::Config config;
  std::map<int, scheduler::Wave> waves;
  // Empty until the operators' table has been read.
  std::optional<std::set<std::string>> evacuated_zones;
  base::Micros last_store_answer{};
  base::Micros stop_requested{};  // time of the stop signal; 0 before it
  std::vector<std::unique_ptr<ManagedShard>> managed_shards;
  std::unique_ptr<Ownerships> ownerships;  // null until the shards are known
  std::unique_ptr<ShardCountResolver> shard_plan;
  ShardSelector shard_choice;
  std::unique_ptr<platform::TableFollower> operator_follower;
  base::Timer stop_timer;
  base::SignalWatcher stop_signal;
  base::SignalWatcher interrupt_signal;
  base::SignalWatcher reload_signal;
  base::Timer reload_timer;
  base::Timer traffic_timer;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_JOB_DAEMON_H_
