// The daemon of an entry box that takes jobs: callers' interface, readiness,
// metrics, and the ownership with what the owner does. One loop, one thread.

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
#include "entry/ownership.h"
#include "entry/settings.h"
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
  void Reload();
  void ReloadIfChanged();
  void TakeOperatorRow(const platform::Row& row);
  void Gained(std::uint64_t epoch);
  base::Micros OrdersUntil() const;
  void Lost();
  void Stop();
  void TryToEnd();
  void AnswerReadiness(const http::ExchangePtr& exchange) const;
  void AnswerMetrics(const http::ExchangePtr& exchange) const;
  bool IsReady() const;

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
  std::unique_ptr<Manager> manager;
  std::unique_ptr<Ownership> ownership;
  std::unique_ptr<platform::TableFollower> operators;
  base::Timer manager_end;  // destroys the manager outside its own calls
  base::Timer stop_timer;
  base::SignalWatcher stop_signal;
  base::SignalWatcher interrupt_signal;
  base::SignalWatcher reload_signal;
  base::Timer reload_timer;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_JOB_DAEMON_H_
