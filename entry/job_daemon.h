// The daemon of an entry box that takes jobs: callers' interface, readiness,
// metrics, and the ownerships with what an owner does. One loop, one thread.

#ifndef ENTRY_JOB_DAEMON_H_
#define ENTRY_JOB_DAEMON_H_

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/counters.h"
#include "base/loop.h"
#include "entry/caller_api.h"
#include "entry/manager.h"
#include "entry/ownerships.h"
#include "entry/settings.h"
#include "entry/shard_plan.h"
#include "http/client.h"
#include "http/server.h"
#include "jobs/queue.h"
#include "platform/store.h"
#include "platform/table_follower.h"

namespace quartzhoist::entry {

class JobDaemon {
 public:
  // Throws std::runtime_error if an address cannot be listened on.
  // `file` is read again at SIGHUP and whenever it changes.
  JobDaemon(const Settings& settings, std::string file);

  // Returns after a stop signal.
  void Run();

 private:
  // A shard's manager, while this daemon owns the shard. It is destroyed
  // outside its own calls.
  struct ManagedShard {
    explicit ManagedShard(base::Loop& loop)
        : end(loop, [this] { this->manager.reset(); }) {}

    std::unique_ptr<ShardManager> manager;
    base::Timer end;
  };

  void Reload();
  void ReloadIfChanged();
  void TakeOperatorRow(const platform::Row& row);
  void Begin(int shards, std::uint64_t seed);
  void Gained(int shard, std::uint64_t epoch, base::Micros earlier_confirmed);
  ManagedShard& At(int shard) const;
  ShardLoad LoadOf(int shard) const;
  base::Micros OrdersUntil(int shard) const;
  base::Micros CertainUntil(int shard) const;
  void Lost(int shard);
  void Stop();
  void TryToEnd();
  void AnswerReadiness(const http::ExchangePtr& exchange) const;
  void AnswerMetrics(const http::ExchangePtr& exchange) const;
  bool IsReady() const;
  std::string Dump() const;

  Settings settings;
  std::string settings_file;
  std::filesystem::file_time_type settings_time;
  base::Loop loop;
  base::Counters counters;
  http::Client client;
  platform::Store store;
  CallerApi callers;
  http::Server caller_server;
  http::Server readiness_server;
  std::unique_ptr<http::Server> metrics_server;
  bool has_config = false;
  jobs::Config config;
  std::map<int, scheduler::Wave> waves;
  base::Micros store_answered{};
  base::Micros stop_asked{};  // 0: none yet
  std::vector<std::unique_ptr<ManagedShard>> by_shard;
  std::unique_ptr<Ownerships> ownerships;  // once the shards are known
  std::unique_ptr<ShardPlan> plan;
  ShardChoice choice;
  std::unique_ptr<platform::TableFollower> operators;
  base::Timer stop_timer;
  base::SignalWatcher stop_signal;
  base::SignalWatcher interrupt_signal;
  base::SignalWatcher reload_signal;
  base::Timer reload_timer;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_JOB_DAEMON_H_
