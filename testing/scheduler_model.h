// A deterministic simulation around schedulers: a versioned store, workers with
// leases and fencing, and messages that are lost, delayed or reordered. Several
// owners may be active at once. The invariants are checked at the workers and
// boxes, where commands take effect.

#ifndef TESTING_SCHEDULER_MODEL_H_
#define TESTING_SCHEDULER_MODEL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/scheduler.h"

namespace quartzhoist::testing {

// Probabilities, per message unless stated otherwise.
struct ModelFaults {
  double lost_answer = 0.0;  // a command is carried out, but its answer is lost
  double lost_command = 0.0;  // a command never arrives
  double late_command = 0.0;  // carried out 2 to 6 s later, never answered
  double lost_save = 0.0;     // a save is carried out, but its answer is lost
  double late_save = 0.0;     // tried 1 to 4 s later, never answered
  // Per second: the part of the store with a job's row doesn't answer for 1 to
  // 6 s. Half of the saves in that time are lost, half are carried out after
  // it.
  double store_outage = 0.0;
  double crash = 0.0;  // per second: a worker's incarnation ends
  // Per second: a worker stops and starts again under its id 20 to 1500 ms
  // later without any state. It announces itself 0 to 1500 ms after that.
  double restart = 0.0;
  double partition = 0.0;  // per second: a worker is cut off from an owner
  // Per job and takeover: the job was submitted while the new owner read the
  // store, so the owner learns of it 20 to 600 ms later.
  double late_job = 0.0;
  double takeover = 0.0;  // per second: a new owner starts, the old one goes on
  // Per second: the newest owner stops for 1 to 6 s. What is told to it in that
  // time, it reads when it resumes.
  double owner_pause = 0.0;
  double failing_run = 0.0;  // per run: it fails
  // Per second: a worker's capacity drops for 1 to 6 s. Owners learn of it from
  // the worker's next announcement.
  double capacity_drop = 0.0;
  // Per second: for 1 to 6 s the store neither takes nor tells announcements.
  // In half of the cases it is down as a whole: it confirms no owner, and
  // answers as little to the rows of jobs.
  double announcement_outage = 0.0;
  // The owner is paused for 1 to 6 s right before it sends a call for a box,
  // after the last check that it may. The call is sent when the owner resumes.
  double pause_before_call = 0.0;
  // A call for a box is carried out 2 to 6 s later and never answered.
  double late_call = 0.0;
  // Per second: a worker removes its announcement without having drained, works
  // on for 1 to 8 s, and ends.
  double withdrawal = 0.0;
};

// Faults of `ModelFaults` that begin at a point in time.
enum class ModelFault {
  kCrash,
  kRestart,
  kPartition,
  kCapacityDrop,
  kAnnouncementOutage,
  kRowOutage,
  kOwnerPause,
  kTakeover,
  kWithdrawal
};

inline constexpr base::EnumNames<ModelFault, 9> kModelFaultNames{{
    {ModelFault::kCrash, "crash"},
    {ModelFault::kRestart, "restart"},
    {ModelFault::kPartition, "partition"},
    {ModelFault::kCapacityDrop, "capacity_drop"},
    {ModelFault::kAnnouncementOutage, "announcement_outage"},
    {ModelFault::kRowOutage, "row_outage"},
    {ModelFault::kOwnerPause, "owner_pause"},
    {ModelFault::kTakeover, "takeover"},
    {ModelFault::kWithdrawal, "withdrawal"},
}};

struct ModelJob {
  std::string id;
  jobs::JobSpec spec;
  int attempts = 3;
  std::string service = "pool";
  // Tasks that crash each worker that starts them, `crash_after` after the
  // start. Another worker incarnation starts on the box later.
  std::set<scheduler::TaskPosition> crashing;
  base::Micros crash_after = std::chrono::milliseconds(10);
};

// Capacity of each worker without `capacity_drop`.
inline constexpr jobs::Resources kWorkerCapacity{.cpu_millis = 4000,
                                                 .memory_mb = 4000,
                                                 .gpus = 0};

// Each worker has one of these labels.
inline constexpr char kEvenLabel[] = "even";
inline constexpr char kOddLabel[] = "odd";

// Workers announce themselves about once in this time.
inline constexpr base::Micros kHeartbeat = std::chrono::milliseconds(1500);

// Workers limit each lease to this, on their own clocks.
inline constexpr base::Micros kLongestLease = std::chrono::milliseconds(8000);

// How long a box is away for a move or for its maintenance.
inline constexpr base::Micros kMoveTime = std::chrono::milliseconds(1500);
inline constexpr base::Micros kMaintenanceTime =
    std::chrono::milliseconds(2000);

class SchedulerModel {
 public:
  SchedulerModel(std::uint64_t seed,
                 const ModelFaults& faults,
                 int workers,
                 const std::vector<ModelJob>& jobs);

  void RunFor(base::Micros span);
  // Stops all faults, partitions and pauses.
  void Heal();
  void Cancel(const std::string& job);
  // Stops every worker that runs a task of the job, without a sign that its
  // incarnation is over. A new box with a worker is added for each.
  void SilenceWorkersOf(const std::string& job);
  // Stops confirming the owner and starts a new one after the takeover delay,
  // once the store answers.
  void TakeOver();
  // Each of these begins after the delay.
  void BeginAfter(base::Micros delay, ModelFault fault);
  void BeginAnnouncementOutage(base::Micros delay,
                               base::Micros span,
                               bool is_whole_store);
  // Affects `count` workers, drawn at random.
  void DropCapacities(base::Micros delay, base::Micros span, int count);
  void PauseOwner(base::Micros delay, base::Micros span);
  void BeginTakeover(base::Micros delay);
  // Ends the newest owner's process without a word, and starts another one of
  // the same daemon after the delay, once the store answers.
  void RestartOwner(base::Micros delay);
  // From now on no command of the newest owner reaches a worker with a task of
  // the job.
  void CutOwnerFromWorkersOf(const std::string& job);
  // Starts a maintenance wave over all boxes, at most `max_at_once` at a time.
  void BeginWave(int max_at_once);
  // Number of boxes that have had their maintenance.
  int MaintainedBoxes() const;

  // Descriptions of the violated invariants.
  const std::vector<std::string>& violations() const {
    return this->violations_found;
  }
  // The last events and the owners' state, to diagnose a failed test.
  std::string History() const;
  // The stored state of the job.
  jobs::JobState StateOf(const std::string& job) const;
  // Number of the job's tasks that are running.
  int RunningTasks(const std::string& job) const;
  // Number of the job's tasks that lost at least two workers.
  int TasksThatMayBeGivenUp(const std::string& job) const;
  int starts() const { return this->start_count; }
  // Number of workers crashed by tasks.
  int crashed_workers() const { return this->crash_count; }
  // Reports of stalled long-running tasks, in order.
  const std::vector<scheduler::LongRunningStalled>& stall_reports() const {
    return this->reported_stalls;
  }
  int takeovers() const { return static_cast<int>(this->owners.size()) - 1; }

 private:
  struct WorkerRun {
    int number = 0;
    base::Micros ends{};  // when the run ends by itself or after a stop
    bool fails = false;
    bool stopping = false;  // still uses its resources, but is not reported
  };
  struct Worker {
    std::string id;
    std::string box;
    jobs::Resources capacity;
    jobs::Resources earlier_capacity;  // before the last change
    base::Micros capacity_changed{};
    bool alive = true;
    bool silent = false;     // dead, and nothing answers at its address
    bool withdrawn = false;  // announces itself no more
    std::vector<std::string> labels;
    // Dead; another incarnation answers on its box from this time on.
    std::optional<base::Micros> replaced_at;
    std::int64_t born_ms = 0;  // the start of this incarnation
    // Dead; starts again under its id soon.
    bool restarting = false;
    base::Micros next_heartbeat{};
    double clock_rate = 1.0;  // up to 2% slow
    base::Micros clock_offset{};
    std::uint64_t epoch = 0;        // highest seen
    base::Micros lease_deadline{};  // on its own clock
    std::map<jobs::TaskId, WorkerRun> running;
    std::map<jobs::TaskId, int> highest_over_run;  // ended or stopped
    std::vector<scheduler::ReportedEnd> ends;
    std::int64_t last_number = 0;
    std::int64_t acknowledged = 0;
    std::int64_t last_read_end = 0;  // in a report that an owner has received
  };
  struct StoredJob {
    ModelJob job;
    std::string progress;
    std::uint64_t version = 0;
    std::uint64_t first_version = 0;  // at submission
    bool cancelled = false;
    base::Micros unavailable_until{};  // its row's part of the store
    // Ends that were acknowledged to the workers, so an owner has stored them.
    std::set<scheduler::TaskPosition> recorded_done;
    std::map<scheduler::TaskPosition, int> recorded_failures;
    std::set<scheduler::TaskPosition> ever_done;  // acknowledged or not
    std::map<scheduler::TaskPosition, int>
        crashes;  // of workers that started it
    std::map<scheduler::TaskPosition, int> starts_since_third_crash;
    // Worker incarnations that ended without a command while the task ran
    // there, whatever the cause, or before an owner had received the end of the
    // task's latest run there: no owner can tell these from the former.
    std::map<scheduler::TaskPosition, int> lost_workers;
  };
  // `available_at`: end of the current move or maintenance.
  struct Box {
    std::string pool;
    scheduler::BoxState state = scheduler::BoxState::kUp;
    base::Micros available_at{};
    std::uint64_t epoch = 0;  // highest seen
    bool had_maintenance = false;
  };
  // State of a long-running task for the limit on tasks that may be away.
  struct Presence {
    base::Micros last_at_work{};
    bool is_away_by_command = false;
  };
  struct Owner {
    std::unique_ptr<scheduler::Scheduler> scheduler;
    std::uint64_t epoch = 0;
    std::string daemon;                             // its id
    std::optional<std::uint64_t> recorded_changes;  // of workers
    base::Micros paused_until{};
    base::Micros certain_until{};
    base::Micros begun{};
    base::Micros next_list{};
    base::Micros next_report{};              // of the expected waits
    std::set<std::string> partitioned_from;  // workers
    bool is_fenced = false;
  };
  struct Event {
    base::Micros at{};
    std::uint64_t order = 0;
    std::function<void()> action;
  };

  bool Chance(double odds);
  base::Micros Between(std::int64_t least_ms, std::int64_t most_ms);
  void ScheduleAfter(base::Micros delay, std::function<void()> action);
  void Step();
  // Draws the faults that begin within `span`.
  void InjectFaults(base::Micros span);
  void Begin(ModelFault fault);
  void EndIncarnation(Worker& worker);
  void BeginWithdrawal(Worker& worker);
  void BeginPartition();
  Worker& AnyWorker();
  void DropCapacity(Worker& worker, base::Micros span);
  void AddWorker(const std::string& box);
  // Adds a box with a worker.
  void AddBox(const std::string& pool);
  scheduler::WorkerInfo InfoOf(const Worker& worker) const;
  void Confirm();
  void StartNewOwner(const std::string& daemon);
  // Starts a new owner as soon as the store answers.
  void StartNewOwnerFromStore();
  void InheritLeases(scheduler::Scheduler& successor,
                     const std::string& daemon) const;
  // Runs `action` now or, if the owner is paused, when it resumes.
  void RunWhenAwake(std::size_t owner, const std::function<void()>& action);
  // Announcements.
  bool IsStoreDown() const;
  bool TakesAnnouncements() const;
  void Heartbeat(Worker& worker);
  void RemoveAnnouncement(const std::string& worker);
  // Tells all owners of the announcement or its removal, as the store's change
  // feed does.
  void TellOwners(const std::string& worker);
  void TellOwner(std::size_t owner, const std::string& worker);
  // Boxes.
  void ReturnBoxes();
  void ListBoxes(std::size_t owner);
  void SendWave(scheduler::Scheduler& owner) const;
  void EraseSettledCalls();
  void RecordCall(std::size_t owner, const scheduler::BoxCall& call);
  void SendCall(std::size_t owner, const scheduler::BoxCall& call);
  void ExecuteCall(std::size_t owner,
                   const scheduler::BoxCall& call,
                   bool is_answered);
  scheduler::BoxCallOutcome ExecuteMove(const scheduler::MoveBox& call);
  scheduler::BoxCallOutcome ExecuteMaintenance(
      const scheduler::MaintainBox& call);
  void DeliverCallOutcome(std::size_t owner,
                          const scheduler::BoxCall& call,
                          scheduler::BoxCallOutcome outcome);
  void ShutDownBox(const std::string& box,
                   scheduler::BoxState state,
                   base::Micros span);
  // A failure is reported once by an owner, and only if it is stored. Owners
  // that have stored the same text both report it.
  void CheckFailureReport(const scheduler::JobFailed& failed);
  // Checks what the owner would report with its renewal.
  void CheckExpectedWaits(Owner& owner);
  void CheckDisruption(const jobs::TaskId& task, const std::string& by);
  void UpdatePresence();
  void RecordLeaseHolders(Owner& owner);
  scheduler::Job MakeJob(const std::string& id, jobs::Progress progress) const;
  // Delivers the job as submitted, as the store's change feed does.
  void DeliverJobFromFeed(std::size_t owner, const std::string& id);
  void ReadJob(std::size_t owner, const std::string& id);
  void RunOwner(std::size_t owner);
  void Dispatch(std::size_t owner, const scheduler::Action& action);
  void SendStart(std::size_t owner, const scheduler::StartRun& command);
  void SendStop(std::size_t owner, const scheduler::StopRun& command);
  void SendPoll(std::size_t owner, const scheduler::PollWorker& command);
  void Save(std::size_t owner, const scheduler::SaveProgress& save);
  void Deliver(
      std::size_t owner,
      const std::string& worker,
      const std::function<scheduler::CommandOutcome(Worker&)>& carry_out,
      const std::function<void(scheduler::CommandOutcome)>& answer);
  scheduler::CommandOutcome BeginRun(Worker& worker,
                                     const scheduler::StartRun& command,
                                     std::uint64_t epoch,
                                     base::Micros deadline);
  void CheckStart(const Worker& worker, const scheduler::StartRun& command);
  void CheckWorkerSuits(const Worker& worker,
                        const scheduler::StartRun& command);
  void CheckCrashLimit(const scheduler::StartRun& command);
  void ScheduleCrash(const Worker& worker, const scheduler::StartRun& command);
  void CrashWorker(Worker& worker);
  void CountLosses(const Worker& worker);
  // An owner has received the report. It counts no loss of the runs that ended.
  void MarkEndsRead(const scheduler::WorkerReport& report);
  void Restart(Worker& worker);
  void BeginNextIncarnation(Worker& worker);
  void ChangeCapacity(Worker& worker, const jobs::Resources& capacity);
  void EndRun(Worker& worker,
              const jobs::TaskId& task,
              scheduler::RunEndReason reason);
  void AdvanceRuns(Worker& worker);
  void AcknowledgeEnds(Worker& worker, std::int64_t acknowledged);
  // Called for a start or a poll, both of which grant a lease.
  void GrantLease(Worker& worker, base::Micros deadline) const;
  base::Micros ClockOf(const Worker& worker) const;
  scheduler::WorkerReport ReportOf(const Worker& worker) const;
  void ReportViolation(const std::string& what);
  void LogEvent(const std::string& what);

  std::mt19937_64 random;
  ModelFaults faults;
  base::Micros now = std::chrono::seconds(100);
  std::map<std::string, Worker> workers;
  // The stored record of workers that may hold a lease (entry::LeaseRecord).
  std::string lease_record;
  // As stored, by worker.
  std::map<std::string, scheduler::WorkerInfo> announcements;
  base::Micros announcements_down_until{};
  base::Micros store_down_until{};
  std::map<std::string, StoredJob> jobs;
  std::vector<Owner> owners;
  std::vector<Event> events;
  std::uint64_t event_count = 0;
  std::uint64_t version = 1;
  std::map<std::string, Box> boxes;
  int wave_limit = 0;  // 0: no wave
  // The row of calls for boxes: the owner that claimed it, and its calls.
  std::uint64_t calls_epoch = 0;
  std::map<std::string, scheduler::BoxCall> calls;
  std::map<jobs::TaskId, Presence> presence;
  bool is_confirming = true;  // the store confirms the newest owner
  base::Micros last_confirmed{};
  // Ends that were counted as losses because no owner had received them.
  std::set<std::pair<jobs::WorkerIncarnation, std::int64_t>> unread_losses;
  int incarnation_count = 0;
  int start_count = 0;
  int crash_count = 0;
  std::vector<scheduler::LongRunningStalled> reported_stalls;
  std::set<std::string> reported_failures;  // jobs
  std::vector<std::string> violations_found;
  std::deque<std::string> history;
};

}  // namespace quartzhoist::testing

#endif  // TESTING_SCHEDULER_MODEL_H_
