// Decides which task runs where, for all pools. One daemon at a time owns this
// (its epoch is the fencing token at workers); it keeps in memory what the
// store and the workers' listings say. Facts go in, actions come out; no I/O,
// no clock.
//
// A placement is recorded in the job's row, under the row's version, before the
// worker is told: so two owners can never place one task at the same time, and
// a later owner knows which worker to ask, or to wait out, for each task.

#ifndef SCHEDULER_SCHEDULER_H_
#define SCHEDULER_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "jobs/job.h"
#include "jobs/queue.h"
#include "scheduler/actions.h"
#include "scheduler/box_requests.h"
#include "scheduler/demand.h"
#include "scheduler/due_shares.h"
#include "scheduler/facts.h"
#include "scheduler/fleet.h"
#include "scheduler/job.h"
#include "scheduler/quotas.h"
#include "scheduler/ready_tasks.h"
#include "scheduler/run_times.h"
#include "scheduler/suspects.h"
#include "scheduler/worker.h"

namespace quartzhoist::scheduler {

struct Limits {
  base::Micros lease{};        // granted to workers at a time
  base::Micros grant_bound{};  // no lease lasts longer after a confirmation
  // No order grants more than this, on any clock.
  base::Micros longest_grant{};
  // Workers cut any grant to this, on any clock.
  base::Micros longest_lease{};
  base::Micros stop_time{};  // a stop takes at most so long
  std::uint64_t epoch = 1;   // of this ownership, from 1
  int shards = 1;            // over which the jobs are spread
  // Lists every box, and says which boxes a wave covers.
  FleetLimits fleet;
};

enum class SaveOutcome {
  kSaved,
  kConflict,
  kFailed,   // to be tried again
  kRefused,  // cannot be saved as it is
};

struct SaveResult {
  std::string job;
  std::uint64_t change = 0;
  SaveOutcome outcome = SaveOutcome::kFailed;
  std::uint64_t version = 0;  // the row's now, where known
  // With kConflict: what the row holds; nothing if it is gone or unreadable.
  std::optional<jobs::Progress> stored;
};

class Scheduler {
 public:
  explicit Scheduler(const Limits& limits);

  // --- Facts about configuration and workers ---
  void SetConfig(const jobs::Config& config, base::Micros now);
  void PutWorker(const WorkerInfo& info, base::Micros now);
  // Its announcement is gone; it may still run what it has.
  void WorkerUnlisted(const std::string& id, base::Micros now);
  // A worker that an earlier owner may have granted a lease until then. Until
  // it has been listed and recorded anew, this owner grants it none.
  void InheritWorker(const WorkerInfo& info, base::Micros lease_end);
  // The stored list names these as held by this owner.
  void WorkersRecorded(const std::vector<jobs::WorkerIncarnation>& lives);
  // This shard's share of an organisation's quota, in thousandths.
  void SetQuotaShare(const std::string& organisation, int share) {
    this->quotas.SetShare(organisation, share);
  }
  // A store answer confirmed the ownership; `at` is when it was asked. Nobody
  // else takes over before `certain_until`.
  void Confirmed(base::Micros at, base::Micros certain_until);

  // --- Facts about jobs ---
  void AddJob(Job&& added, base::Micros now);
  void CancelJob(const std::string& id, base::Micros now);
  // The answer to ReadJob, where nothing of the job is to run any more.
  void JobIsOver(const std::string& id, base::Micros now);
  void Saved(const SaveResult& result, base::Micros now);

  // --- What came of actions ---
  // `asked` is the life that was meant; another may have answered.
  void Listed(const jobs::WorkerIncarnation& asked,
              const Listing& listing,
              base::Micros now);
  void LookFailed(const jobs::WorkerIncarnation& worker,
                  OrderOutcome outcome,
                  base::Micros now);
  // `clock_ms` is the worker's clock, as its answer gave it; 0: not known.
  void Started(const StartRun& order,
               OrderOutcome outcome,
               base::Micros now,
               std::int64_t clock_ms = 0);
  void Stopped(const StopRun& order, OrderOutcome outcome, base::Micros now);
  // The answer to AskAdvice, or nothing if there was none.
  void Advised(const AskAdvice& asked,
               const std::optional<Advice>& advice,
               base::Micros now);
  // An order that grants a lease until `end` is about to be sent.
  void Granted(const jobs::WorkerIncarnation& worker, base::Micros end);
  void LookSent(const LookAt& order, base::Micros now);
  // The look that is sent now grants a lease until `end`.
  void LookGrants(const jobs::WorkerIncarnation& worker, base::Micros end);

  // --- Boxes ---
  // What an earlier owner recorded before it called; told before anything else.
  void InheritBoxCalls(const std::vector<BoxCall>& calls, base::Micros now);
  void SetWave(const Wave& wave,
               const std::vector<std::string>& begun,
               base::Micros now);
  void SetBoxes(const std::vector<BoxInfo>& boxes,
                base::Micros asked,
                base::Micros now);
  void Moved(const MoveBox& order, BoxCallOutcome outcome, base::Micros now);
  void UpkeepBegun(const UpkeepBox& order,
                   BoxCallOutcome outcome,
                   base::Micros now);

  // Lets time pass: leases run out, tasks are placed, looks fall due.
  void Advance(base::Micros now);
  std::vector<Action> TakeActions();

  // --- Queries
  // ----------------------------------------------------------------- Is the
  // order still to be sent? Its run may have been given up meanwhile.
  bool StillWanted(const StartRun& order) const;
  // When a lease granted now is to end, on our clock.
  base::Micros LeaseEnd(base::Micros now) const;
  // A worker's deadline for a lease until `end`, on the worker's clock.
  std::int64_t Deadline(const jobs::WorkerIncarnation& worker,
                        base::Micros end) const;
  const Worker* FindWorker(const jobs::WorkerIncarnation& life) const;
  // The life that is known under the id.
  const Worker* FindWorker(const std::string& id) const;
  const std::map<jobs::WorkerIncarnation, Worker>& all_workers() const {
    return this->workers;
  }
  const std::unordered_map<std::string, Job>& all_jobs() const {
    return this->jobs;
  }
  // Rises when a worker comes, goes, or is listed for the first time.
  std::uint64_t worker_changes() const { return this->worker_change_count; }
  bool wants_boxes() const { return this->fleet.WantsBoxes(); }
  // A call for the box is to be made, or its outcome is not known.
  bool HasOpenBoxCall(const std::string& box) const {
    return this->fleet.HasOpenCall(box);
  }
  // A worker saw a higher epoch: this ownership is over.
  bool fenced() const { return this->is_fenced; }
  // Accepted jobs of the queue none of whose tasks has been started.
  std::map<std::string, int> WaitingJobs() const;
  std::vector<PoolState> PoolStates(base::Micros now) const;
  // How organisations with a quota stand in this shard.
  std::map<std::string, QuotaNeed> QuotaNeeds() const {
    return this->quotas.Needs();
  }
  // Every worker that may hold a lease has been listed by this owner, so that
  // all that runs is known.
  bool KnowsAllRuns(base::Micros now) const;
  // Kinds of boxes, by their workers' labels.
  std::vector<std::string> Kinds() const;

 private:
  // One turn of a pool: its workers, and what was tried in vain.
  struct PoolTurn {
    std::vector<Worker*> candidates;
    // Steps that cannot be placed, and why.
    std::map<std::pair<const Job*, int>, WaitReason> nowhere;
    int misses = 0;
  };

  // A member of a step, and the worker picked for it.
  struct Choice {
    TaskPlace place;
    Worker* worker = nullptr;
  };

  // jobs
  Job* FindJob(const std::string& id);
  void Enqueue(Job& job, const TaskPlace& place, base::Micros now);
  void Release(Job& job, base::Micros now);
  base::Micros LongestChain(const Job& job, std::size_t from) const;
  base::Micros ExpectedRun(const Job& job, const jobs::Step& step) const;
  // From acceptance on, for all of its steps.
  base::Micros ObjectiveOf(const Job& job) const;
  void Changed(Job& job);
  void Finish(Job& job, jobs::JobState state, base::Micros now);
  void StopAll(Job& job, base::Micros now);
  void SaveChanged(base::Micros now);
  void ReleaseDue(base::Micros now);

  // ends
  void TakeEnd(Worker& worker, const ListedEnd& end, base::Micros now);
  void TakeFate(Job& job,
                const jobs::WorkerIncarnation& worker,
                const ListedEnd& end,
                base::Micros now);
  void TaskDone(Job& job, const TaskPlace& place, base::Micros now);
  void TaskFailed(Job& job,
                  const TaskPlace& place,
                  int run,
                  const jobs::WorkerIncarnation& worker,
                  base::Micros now);
  // The run is over and did not finish the task: it is to be placed again.
  void TaskLost(const jobs::TaskId& id, int run, base::Micros now);
  void PaceFillers(Worker& worker);
  void MoveOffBadWorker(Worker& worker, base::Micros now);
  bool IsCrawling(const Job& job,
                  const jobs::TaskId& id,
                  const Run& run,
                  base::Micros now) const;
  void MoveOff(Worker& worker,
               const jobs::TaskId& id,
               const char* why,
               base::Micros now);
  void JudgeWorker(Worker& worker, bool failed, base::Micros now);

  // workers that were lost under tasks
  std::map<jobs::TaskId, jobs::WorkerLoss> LossesUnder(
      const Worker& worker,
      const std::map<jobs::TaskId, Run>& runs,
      LossSign sign);
  void NoteLoss(Job& job,
                const TaskPlace& place,
                const jobs::WorkerIncarnation& life,
                const jobs::WorkerLoss& loss,
                base::Micros now);
  void NoteUnseenLoss(Job& job,
                      const TaskPlace& place,
                      const jobs::Placement& placement,
                      base::Micros now);
  std::vector<TaskPlace> VoidSuspectPlans(Job& job,
                                          const jobs::Progress& stored,
                                          base::Micros now);
  void NoteLastTry(Job& job, const TaskPlace& place, int run);
  void TakeBackLastTry(Job& job, const TaskPlace& place, int run);
  void InheritLosses(Job& job, base::Micros now);
  void SettleLosses(const Worker& worker, base::Micros now);
  void GiveUpCauses(Job& job, base::Micros now);
  Suspicion SuspicionOf(const Job& job,
                        const TaskPlace& place,
                        base::Micros now) const;
  Suspicion SuspicionOfStart(const Job& job,
                             const TaskPlace& place,
                             base::Micros now) const;
  void WatchSuspect(Worker& worker, const jobs::TaskId& id, Run& run);

  // what workers tell of jobs that are not known yet
  struct UnknownJob {
    std::vector<std::pair<jobs::WorkerIncarnation, ListedEnd>> ends;
    std::vector<std::pair<jobs::WorkerIncarnation, jobs::TaskId>> runs;
  };
  UnknownJob& Unknown(const std::string& job);
  void HoldEnd(Worker& worker, const ListedEnd& end);
  void HoldRun(Worker& worker, const ListedRun& listed, base::Micros now);
  void MeetJob(Job& job, base::Micros now);
  void ReleaseEnd(const jobs::WorkerIncarnation& worker,
                  const ListedEnd& end,
                  std::uint64_t change);

  // listings
  Worker* TakeOutcome(const jobs::WorkerIncarnation& life,
                      OrderOutcome outcome,
                      base::Micros now);
  void TakeRunning(Worker& worker, const ListedRun& listed, base::Micros now);
  void NoteSkippedEnd(const Worker& worker, const ListedEnd& end);
  void NoteClock(Worker& worker,
                 const StartRun& order,
                 Run& run,
                 std::int64_t clock_ms,
                 base::Micros now);
  void RestIfStartsAreLost(Worker& worker, base::Micros now);
  void AdoptRun(Worker& worker, const ListedRun& listed, base::Micros now);
  void SettleMissing(Worker& worker, const Listing& listing, base::Micros now);
  void Acknowledge(Worker& worker);

  // lives of workers
  Worker* FindLife(const jobs::WorkerIncarnation& life);
  Worker* CurrentLife(const std::string& id);
  // This life, or a later one that may have what was meant for it.
  Worker* HolderOf(const jobs::WorkerIncarnation& life);
  bool IsKnownToBeOver(const jobs::WorkerIncarnation& life) const;
  Worker* LifeThatAnswered(const jobs::WorkerIncarnation& asked,
                           const jobs::WorkerIncarnation& answered,
                           base::Micros now);
  Worker& Restarted(Worker& earlier, const WorkerInfo& info, base::Micros now);
  void MoveRun(Worker& next,
               const jobs::TaskId& id,
               Run run,
               const std::optional<PossibleLoss>& loss);
  // This life is over: nothing of it runs.
  void WorkerDied(const jobs::WorkerIncarnation& life,
                  LossSign sign,
                  base::Micros now);
  // The same for good: its announcement may still stand, and be read again.
  void LifeIsOver(const jobs::WorkerIncarnation& life,
                  LossSign sign,
                  base::Micros now);
  void LoseRuns(const Worker& worker,
                const std::map<jobs::TaskId, Run>& runs,
                const std::map<jobs::TaskId, jobs::WorkerLoss>& losses,
                LossSign sign,
                base::Micros now);
  void DropRuns(Worker& worker, LossSign sign, base::Micros now);

  // leases and looks
  void ExpireLeases(base::Micros now);
  void DueLooks(base::Micros now);
  void DueStops(base::Micros now);
  void Stop(Worker& worker, const jobs::TaskId& task, base::Micros now);

  // placement
  void Place(base::Micros now);
  void PlacePool(const std::string& service,
                 ReadyTasks& tasks,
                 base::Micros now);
  ReadyTasks::Tried TryTask(const ReadyTask& task,
                            PoolTurn& turn,
                            base::Micros now);
  std::optional<WaitReason> PlaceOne(const ReadyTask& task,
                                     Suspicion suspicion,
                                     const std::vector<Worker*>& candidates,
                                     base::Micros now);
  bool SuitsSomeWorker(const jobs::Step& step) const;
  std::vector<Choice> ChooseFor(const Job& job,
                                const TaskPlace& place,
                                const std::vector<Worker*>& candidates,
                                base::Micros now) const;
  void Plan(Job& job, const Choice& choice, int run, base::Micros now);
  Run RunOf(const Job& job, const jobs::Step& step, int number, RunState state);
  // The placements up to this change are saved: their workers are told.
  void StartSaved(Job& job, base::Micros now);
  void InheritRuns(Job& job, base::Micros now);
  void InheritRun(Job& job,
                  const TaskPlace& place,
                  int number,
                  Worker& worker,
                  base::Micros now);
  void InheritStops(Job& job, base::Micros now);
  bool TakeLatePlacement(Job& job,
                         const TaskPlace& place,
                         const jobs::Placement& placement);
  void VoidPlan(Job& job, const TaskPlace& place);
  // Another owner wrote the job's row.
  void TakeStored(Job& job, const jobs::Progress& stored, base::Micros now);
  bool Usable(const Worker& worker, base::Micros now) const;
  bool HasAdvice(Job& job,
                 const TaskPlace& place,
                 const std::vector<Worker*>& candidates,
                 base::Micros now);
  bool MayHaveBeenRenewed(const Job& job, const TaskPlace& place) const;
  int NextRun(const Job& job, const TaskPlace& place) const;

  // fleet
  void RunFleet(base::Micros now);
  FleetView ViewFleet(base::Micros now);
  std::map<std::string, int> LeastBoxes() const;
  bool IsStuck(const ReadyTask& task, bool has_cores, base::Micros now) const;
  void AddForStuckTasks(base::Micros now,
                        const FleetView& view,
                        std::map<std::string, int>& least);
  int PriorityOf(const jobs::TaskId& task) const;
  void StopForEvacuation(const std::string& box, base::Micros now);
  BoxEvidence EvidenceOf(const std::string& box, base::Micros now) const;
  void BoxTaken(const std::string& box, base::Micros now);
  bool MayInterrupt(const jobs::TaskId& task, base::Micros now) const;
  bool HasPlaceElsewhere(const jobs::TaskId& task, base::Micros now);
  bool IsSeenAtWork(const Task& task, base::Micros now) const;

  Limits limits;
  jobs::Config config;
  std::map<jobs::WorkerIncarnation, Worker> workers;  // one life of each id
  // The latest start of a life that is over, by id, until its announcement is
  // gone.
  std::map<std::string, std::int64_t> ended_lives;
  std::unordered_map<std::string, Job> jobs;
  std::map<std::string, UnknownJob> unknown_jobs;
  std::map<std::string, ReadyTasks> ready;  // by service
  OpenLosses open_losses;
  std::set<std::string> to_save;  // jobs whose progress changed
  std::set<std::string> timed;    // jobs with repeats to come
  RunTimes run_times;
  Demand demand;
  Quotas quotas;
  DueShares due_shares;
  Fleet fleet;
  BoxRequests box_requests;
  std::vector<Action> actions;
  base::Micros confirmed{};
  base::Micros certain_until{};
  base::Micros next_save{};
  base::Micros next_fleet{};
  std::uint64_t ready_number = 0;
  std::uint64_t worker_change_count = 0;
  bool is_fenced = false;
  bool save_now = false;  // a placement or a final state waits to be saved
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_SCHEDULER_H_
