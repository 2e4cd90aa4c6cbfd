// What the owner of a shard does: reads what is kept, then carries the
// scheduler's actions out and tells it what came of them. Made when the
// ownership is gained, destroyed when it is lost.

#ifndef ENTRY_MANAGER_H_
#define ENTRY_MANAGER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/counters.h"
#include "base/loop.h"
#include "entry/box_calls.h"
#include "entry/quota_records.h"
#include "entry/save_policy.h"
#include "entry/save_queue.h"
#include "entry/settings.h"
#include "entry/shards.h"
#include "entry/tables.h"
#include "entry/wave_records.h"
#include "http/client.h"
#include "jobs/queue.h"
#include "platform/store.h"
#include "platform/table_follower.h"
#include "platform/table_reader.h"
#include "platform/workers.h"
#include "scheduler/scheduler.h"

namespace quartzhoist::entry {

class Manager {
 public:
  // What the ownership allows, and how the manager tells that it is over.
  struct Authority {
    // Orders to workers may leave before this.
    std::function<base::Micros()> orders_until;
    // Nobody else takes over before this: calls for boxes may leave.
    std::function<base::Micros()> certain_until;
    // A worker or the platform has seen a higher epoch.
    std::function<void()> on_fenced;
  };

  // No owner before this one was confirmed after `earlier_confirmed`.
  Manager(base::Loop& loop,
          platform::Store& store,
          base::Counters& counters,
          const Settings& settings,
          const Shard& shard,
          std::uint64_t epoch,
          base::Micros earlier_confirmed,
          Authority authority);
  ~Manager();
  Manager(const Manager&) = delete;
  Manager& operator=(const Manager&) = delete;

  void SetConfig(const jobs::Config& config);
  void SetWave(const scheduler::Wave& wave);
  void Confirmed(base::Micros asked);

  // How the shard stands, for those who choose among shards.
  ShardLoad Load() const;
  // For the state dump, as JSON.
  std::string Dump() const;

 private:
  using Order =
      std::variant<scheduler::StartRun, scheduler::StopRun, scheduler::PaceRun>;
  // Orders to one worker go one after the other over one connection.
  struct WorkerOrders {
    std::deque<Order> waiting;
    bool in_flight = false;
  };

  // Workers of the list of those that may hold a lease: held by this owner, and
  // carried from earlier ones.
  struct WorkerNames {
    std::vector<jobs::WorkerIncarnation> held;
    std::vector<jobs::WorkerIncarnation> carried;

    bool operator==(const WorkerNames&) const = default;
  };

  // Taking over: what is kept is read first.
  void ReadKept();
  void ReadRest();
  void Begin();
  void AddKeptJobs();
  void AddWorkers();
  bool TakeLeases(const platform::Row& row);

  // The store's news.
  void TakeJobRow(const platform::Row& row);
  void TakeWorkerRow(const platform::ChangedRow& changed);

  // Whether orders may leave, and what follows when they may not.
  bool MayOrder() const;
  bool IsCertain() const;
  bool IsInDoubt() const;
  void HoldOrders();
  void ResumeOrders();
  void RenewInDoubt();
  base::Micros GrantBound() const;

  // Actions.
  void Act();
  void ActSoon();
  void CarryAll();
  void Carry(scheduler::Action action);
  void Enqueue(Order order);
  void SendNext(const jobs::WorkerIncarnation& worker);
  void Send(const jobs::WorkerIncarnation& worker,
            const scheduler::StartRun& order);
  void Send(const jobs::WorkerIncarnation& worker,
            const scheduler::StopRun& order);
  void Send(const jobs::WorkerIncarnation& worker,
            const scheduler::PaceRun& order);
  void GiveBack(const std::deque<Order>& given);
  void OrderAnswered(const jobs::WorkerIncarnation& worker,
                     scheduler::OrderOutcome outcome);
  void SendLook(const scheduler::LookAt& order);
  void Ask(const scheduler::AskAdvice& ask);
  void ReadJob(const std::string& job);
  void ReadRowOf(const std::string& job,
                 const platform::RowKey& at,
                 std::function<void(const platform::Row* row)> take);
  void ReadJobRow(const std::string& job,
                  const jobs::Progress& progress,
                  std::uint64_t version);
  void ReadJobsAgain();
  void LogBoxAsked(const char* call,
                   const std::string& box,
                   const scheduler::BoxEvidence& evidence) const;
  BoxCalls::Events BoxCallEvents();
  void RecordBoxCalls();
  void SendBox(const scheduler::MoveBox& order);
  void SendBox(const scheduler::UpkeepBox& order);
  void SaveAll();
  void Save(std::vector<scheduler::SaveProgress> batch);
  bool MustSaveAgain(const scheduler::SaveProgress& save,
                     platform::WriteOutcome outcome,
                     const platform::Row* there) const;
  void TakeSaved(const std::vector<scheduler::SaveProgress>& batch,
                 const platform::WriteResult& result);
  void RecordWorkers();
  LeaseRecord ListWorkers(base::Micros now) const;
  static WorkerNames NamesOf(const LeaseRecord& record);
  void TakeRecorded(const WorkerNames& names,
                    std::uint64_t change,
                    const platform::WriteResult& result);
  void WriteCounts();
  void LogPools();
  void ListBoxes(const std::string& page,
                 std::vector<scheduler::BoxInfo> so_far,
                 base::Micros asked);
  platform::OrderTo To(const jobs::WorkerIncarnation& worker) const;
  std::optional<scheduler::Job> MakeJob(const std::string& id,
                                        const AcceptedJob& accepted,
                                        jobs::Progress progress,
                                        std::uint64_t version) const;

  base::Loop& loop;
  platform::Store& store;
  base::Counters& counters;
  Settings settings;
  Shard shard;
  std::uint64_t epoch;
  base::Micros earlier_confirmed;
  Authority authority;
  // Orders' own: what is closed takes along what is on its way.
  http::Client order_client;
  platform::Workers workers;
  platform::Boxes boxes;
  platform::Advisor advisor;
  scheduler::Scheduler scheduler;
  jobs::Config config;

  // Read while taking over.
  bool begun = false;
  bool has_config = false;
  std::set<std::string> reading;  // tables
  std::optional<std::vector<platform::Row>> kept_jobs;
  std::optional<std::vector<platform::Row>> kept_progress;
  std::optional<std::vector<platform::Row>> kept_leases;
  std::optional<std::vector<platform::Row>> kept_waves;
  std::optional<std::map<std::string, scheduler::WorkerInfo>> announced;
  WaveRecords waves;
  QuotaRecords quotas;
  BoxCalls box_calls;
  std::vector<scheduler::BoxCall> kept_calls;

  std::set<std::string> cancels;  // of jobs not known yet
  // Jobs to be read anew: the store gave no answer.
  std::set<std::string> unread_jobs;
  base::Micros next_job_read{};
  std::map<jobs::WorkerIncarnation, WorkerOrders> orders;
  SaveQueue saves;
  int saves_in_flight = 0;
  SavePolicy save_policy;
  WorkerNames recorded;               // in the stored list
  std::uint64_t recorded_change = 0;  // of the scheduler's workers
  std::uint64_t lease_version = 0;
  bool lease_writing = false;
  std::map<std::string, int> counted;  // as last written
  std::uint64_t count_version = 0;
  base::Micros confirmed_at{};
  base::Micros next_count{};
  base::Micros next_pool_log{};
  base::Micros next_list{};
  base::Micros next_record{};
  bool listing_boxes = false;
  bool orders_held = false;       // the ownership is not certain now
  bool renewed_in_doubt = false;  // since the store last confirmed it
  base::Timer timer;
  base::Timer soon;
  bool act_is_due = false;  // `soon` is set
  base::Micros last_turn{};
  base::Micros turn_time{};  // that the last turn took
  std::unique_ptr<platform::TableFollower> job_follower;
  std::unique_ptr<platform::TableFollower> worker_follower;
  // Calls still on their way when this is destroyed find it unset.
  std::shared_ptr<bool> alive;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_MANAGER_H_
