// Runs the scheduler of a shard that this daemon owns: loads the stored state,
// performs the scheduler's actions and passes their results back to it. Created
// when the ownership is gained, destroyed when it is lost.

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
#include "entry/box_lister.h"
#include "entry/earlier_owner.h"
#include "entry/explain.h"
#include "entry/inherited_leases.h"
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

class ShardManager {
 public:
  // Time limits set by the ownership, and the report that it is lost.
  struct Authority {
    // Commands to workers may be sent before this time.
    std::function<base::Micros()> commands_until;
    // No other owner takes over before this time. Box calls may be sent.
    std::function<base::Micros()> certain_until;
    // A worker or the platform reported a higher epoch.
    std::function<void()> on_fenced;
  };

  // The ownership of no earlier owner was confirmed after `earlier_confirmed`.
  ShardManager(base::Loop& loop,
               platform::Store& store,
               base::Counters& counters,
               const Settings& settings,
               const Shard& shard,
               std::uint64_t epoch,
               base::Micros earlier_confirmed,
               Authority authority,
               std::shared_ptr<http::ByteBudget> command_answers = nullptr);
  ~ShardManager();
  ShardManager(const ShardManager&) = delete;
  ShardManager& operator=(const ShardManager&) = delete;

  void SetConfig(const jobs::Config& config);
  void SetWave(const scheduler::Wave& wave);
  // Nothing is scheduled before the first call.
  void SetEvacuatedZones(const std::set<std::string>& zones);
  // The store confirmed the ownership; the request was sent at `asked`.
  void OwnershipConfirmed(base::Micros asked);
  // The ownership is lost and no command is sent any more: records when the
  // granted leases end.
  void RecordFinalLeases();

  // Current load of the shard, on which the choice among shards is based.
  ShardLoad Load() const;
  // Number of long-running tasks that are stalled.
  int CountStalledTasks() const { return this->scheduler.CountStalledTasks(); }
  // The job, if it is known; valid until the next event.
  std::optional<OwnedJob> Explain(const std::string& job) const;
  // JSON for the state dump.
  std::string Dump() const;

 private:
  using Command = std::
      variant<scheduler::StartRun, scheduler::StopRun, scheduler::ThrottleRun>;
  // Commands to a worker are sent one at a time, over one connection.
  struct CommandQueue {
    std::deque<Command> waiting;
    bool in_flight = false;
  };

  // Workers in the stored lease record: those that have reported to this owner,
  // and those inherited from earlier owners.
  struct RecordedWorkers {
    std::vector<jobs::WorkerIncarnation> held;
    std::vector<jobs::WorkerIncarnation> inherited;

    bool operator==(const RecordedWorkers&) const = default;
  };

  // Takeover: the stored state is loaded before anything is scheduled.
  void StartTakeover();
  void ReadStoredState();
  void StartIfLoaded();
  void AddStoredJobs();
  void AddStoredWorkers();
  bool LoadLeaseRecord(const platform::Row& row);
  std::optional<base::Micros> RecordedEnd(const LeaseHolder& holder) const;
  // Knowledge of the owners before this one, one of which wrote `record`.
  EarlierOwners EarlierOwnersOf(const LeaseRecord& record) const;
  // Asks the writer of the record whether its leases may still be renewed.
  void AskLeaseWriter(const LeaseRecord& record);
  void OnLeaseWriterEnded();
  void LogReady() const;

  // Changes in the store.
  void HandleJobRow(const platform::Row& row);
  void HandleWorkerRow(const platform::ChangedRow& changed);

  // Whether commands may be sent, and the handling of times when they may not.
  bool MaySendCommands() const;
  bool IsOwnershipCertain() const;
  bool IsOwnershipExpiring() const;
  void SuspendCommands();
  void ResumeCommands();
  void ExtendLeasesBeforeExpiry();
  base::Micros MaxLeaseAfterConfirmation() const;
  GrantBounds EarlierGrantBounds() const;

  // The scheduler's actions.
  void RunCycle();
  void ScheduleCycle();
  void PerformActions();
  void Perform(scheduler::Action action);
  void ReportSavedFailures();
  void EnqueueCommand(Command command);
  void SendNextCommand(const jobs::WorkerIncarnation& worker);
  void Send(const jobs::WorkerIncarnation& worker,
            const scheduler::StartRun& command);
  void Send(const jobs::WorkerIncarnation& worker,
            const scheduler::StopRun& command);
  void Send(const jobs::WorkerIncarnation& worker,
            const scheduler::ThrottleRun& command);
  void ReportNotSent(const std::deque<Command>& commands);
  void CommandAnswered(const jobs::WorkerIncarnation& worker,
                       scheduler::CommandOutcome outcome);
  void SendPoll(const scheduler::PollWorker& command);
  void RequestAdvice(const scheduler::RequestAdvice& request);
  void LoadJob(const std::string& job);
  void ReadRow(const std::string& job,
               const platform::RowKey& at,
               std::function<void(const platform::Row* row)> on_read);
  void LoadAcceptedJob(const std::string& job,
                       const jobs::Progress& progress,
                       std::uint64_t version);
  void RetryJobReads();
  void LogBoxCall(const char* call,
                  const std::string& box,
                  const scheduler::BoxCallContext& context) const;
  BoxCalls::Events BoxCallEvents();
  void RecordBoxCalls();
  void SendBoxCall(const scheduler::MoveBox& command);
  void SendBoxCall(const scheduler::MaintainBox& command);
  void SavePendingProgress();
  void SaveBatch(std::vector<scheduler::SaveProgress> batch);
  bool ShouldRetrySave(const scheduler::SaveProgress& save,
                       platform::WriteOutcome outcome,
                       const platform::Row* stored) const;
  void HandleSaveResult(const std::vector<scheduler::SaveProgress>& batch,
                        const platform::WriteResult& result);
  void RecordWorkers();
  void WriteLeaseRecord(const LeaseRecord& record,
                        std::function<void(platform::WriteResult)> on_written);
  LeaseRecord MakeLeaseRecord(base::Micros now) const;
  // On the store's clock.
  std::int64_t LeaseEndMillis(const scheduler::Worker& worker,
                              base::Micros now) const;
  static RecordedWorkers RecordedWorkersOf(const LeaseRecord& record);
  void HandleRecordResult(const RecordedWorkers& recorded,
                          std::uint64_t change,
                          const platform::WriteResult& result);
  void WriteWaitingCounts();
  // Expected waits of the queues whose jobs would wait; empty while they are
  // not known.
  std::map<std::string, ReportedWait> Waits(base::Micros now) const;
  void LogExpectedWaits(base::Micros now) const;
  void LogAdviceCalls();
  void LogPoolStates();
  void LogLongRunningWaits(base::Micros now);
  void LogLongestWaits(base::Micros now) const;
  BoxLister::OnListed OnBoxesListed();
  platform::Addressee AddresseeOf(const jobs::WorkerIncarnation& worker) const;
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
  // Separate from the store's client: closing its connections discards the
  // requests in flight.
  http::Client command_client;
  platform::Workers workers;
  platform::Boxes boxes;
  platform::Advisor advisor;
  scheduler::Scheduler scheduler;
  jobs::Config config;

  // Loaded during the takeover.
  bool started = false;
  bool has_config = false;
  bool has_evacuated_zones = false;
  std::set<std::string> tables_being_read;
  std::optional<std::vector<platform::Row>> stored_jobs;
  std::optional<std::vector<platform::Row>> stored_progress;
  std::optional<std::vector<platform::Row>> stored_leases;
  std::optional<std::vector<platform::Row>> stored_waves;
  std::optional<std::map<std::string, scheduler::WorkerInfo>>
      registered_workers;
  WaveRecords waves;
  QuotaRecords quotas;
  BoxCalls box_calls;
  BoxLister box_lister;
  std::vector<scheduler::BoxCall> inherited_box_calls;

  std::set<std::string> cancelled_jobs;  // including jobs not loaded yet
  // Jobs whose read got no answer from the store.
  std::set<std::string> jobs_to_reload;
  base::Micros next_job_reload{};
  std::map<jobs::WorkerIncarnation, CommandQueue> command_queues;
  SaveQueue save_queue;
  int saves_in_flight = 0;
  SavePolicy save_policy;
  // As last written; empty while the outcome of a write is unknown.
  std::optional<RecordedWorkers> recorded_workers;
  std::uint64_t recorded_worker_changes = 0;  // worker_changes() at that time
  std::uint64_t lease_version = 0;
  // Ends of the leases that earlier owners granted, on the store's clock, as
  // the owner that granted them recorded them; the maximum if it did not.
  std::map<jobs::WorkerIncarnation, std::int64_t> inherited_lease_ends_ms;
  bool is_lease_writer_ended = false;  // of the record that was inherited
  std::unique_ptr<EarlierOwner> lease_writer;  // null: it is not asked
  std::vector<LeaseHolder> writer_held;        // until it is known to be over
  bool lease_write_in_flight = false;
  std::map<std::string, int> written_counts;
  std::uint64_t count_version = 0;
  base::Micros confirmed_at{};
  base::Micros next_count_write{};
  base::Micros next_pool_log{};
  scheduler::AdviceCalls::Counts logged_advice_calls;
  base::Micros next_lease_write{};
  bool commands_suspended = false;  // commands_until() has passed
  bool leases_extended = false;     // since the last confirmation
  base::Timer tick_timer;
  base::Timer cycle_timer;
  bool cycle_is_scheduled = false;  // cycle_timer is set
  base::Micros cycle_start{};       // of the latest cycle
  base::Micros cycle_duration{};    // of the latest complete cycle
  std::unique_ptr<platform::TableFollower> job_follower;
  std::unique_ptr<platform::TableFollower> worker_follower;
  // Set to false on destruction; callbacks of calls in flight check it.
  std::shared_ptr<bool> alive;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_MANAGER_H_
