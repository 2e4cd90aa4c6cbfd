// Assigns tasks to workers in all pools. One daemon at a time owns a shard's
// scheduler; its epoch is the fencing token that workers check. The state held
// here is a cache of the store and of worker reports. The class performs no I/O
// and reads no clock: events are passed in and the actions to perform are
// returned.
//
// A placement is written to the job's row, conditional on the row version,
// before the worker is contacted. Two owners therefore cannot place the same
// task concurrently, and a later owner knows for each task which worker to
// query or whose lease to wait out.

#ifndef SCHEDULER_SCHEDULER_H_
#define SCHEDULER_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "jobs/job.h"
#include "jobs/queue.h"
#include "scheduler/actions.h"
#include "scheduler/advice_calls.h"
#include "scheduler/box_requests.h"
#include "scheduler/demand.h"
#include "scheduler/expected_waits.h"
#include "scheduler/facts.h"
#include "scheduler/fleet.h"
#include "scheduler/guaranteed_rates.h"
#include "scheduler/job.h"
#include "scheduler/open_starts.h"
#include "scheduler/placement_pass.h"
#include "scheduler/quotas.h"
#include "scheduler/ready_tasks.h"
#include "scheduler/reservations.h"
#include "scheduler/run_times.h"
#include "scheduler/save_result.h"
#include "scheduler/scheduler_limits.h"
#include "scheduler/stalled_tasks.h"
#include "scheduler/suspects.h"
#include "scheduler/waiting_tasks.h"
#include "scheduler/worker.h"
#include "scheduler/zone_health.h"

namespace quartzhoist::scheduler {

class Scheduler {
 public:
  explicit Scheduler(const SchedulerLimits& limits);

  // --- Configuration and worker events ---
  void SetConfig(const jobs::Config& config, base::Micros now);
  // No run is started in these zones any more; those that are active go on.
  void SetEvacuatedZones(const std::set<std::string>& zones);
  void UpdateWorker(const WorkerInfo& info, base::Micros now);
  // The worker's registration was removed; its runs may still be active.
  void WorkerDeregistered(const std::string& id, base::Micros now);
  // Adds a worker to which an earlier owner may have granted a lease until
  // `lease_end`. This owner grants it no lease until it has reported and has
  // been recorded again.
  void InheritWorker(const WorkerInfo& info, base::Micros lease_end);
  // The leases that earlier owners granted to the incarnation end by `end`.
  void InheritedLeaseEndsBy(const jobs::WorkerIncarnation& incarnation,
                            base::Micros end);
  // The stored worker list names `incarnations` as held by this owner.
  void WorkersRecorded(
      const std::vector<jobs::WorkerIncarnation>& incarnations);
  // This shard's share of an organisation's quota, in thousandths.
  void SetQuotaShare(const std::string& organisation, int share);
  // The store confirmed the ownership in response to a request sent at `at`. No
  // other owner takes over before `certain_until`.
  void OwnershipConfirmed(base::Micros at, base::Micros certain_until);

  // --- Job events ---
  void AddJob(Job&& added, base::Micros now);
  void CancelJob(const std::string& id, base::Micros now);
  // Response to LoadJob if no task of the job is to run any more.
  void UnknownJobIsOver(const std::string& id, base::Micros now);
  void ProgressSaved(const SaveResult& result, base::Micros now);

  // --- Results of actions ---
  // `asked` is the incarnation that was polled; another one may have answered.
  void WorkerReported(const jobs::WorkerIncarnation& asked,
                      const WorkerReport& report,
                      base::Micros now);
  void PollFailed(const jobs::WorkerIncarnation& worker,
                  CommandOutcome outcome,
                  base::Micros now);
  // `clock_ms` is the worker's clock as read from its response; 0 if unknown.
  void StartAnswered(const StartRun& command,
                     CommandOutcome outcome,
                     base::Micros now,
                     std::int64_t clock_ms = 0);
  void StopAnswered(const StopRun& command,
                    CommandOutcome outcome,
                    base::Micros now);
  // Response to RequestAdvice.
  void AdviceAnswered(const RequestAdvice& asked,
                      const AdviceResult& result,
                      base::Micros now);
  // A command that grants a lease until `end` is about to be sent.
  void LeaseGranted(const jobs::WorkerIncarnation& worker, base::Micros end);
  void PollSent(const PollWorker& command, base::Micros now);
  // The poll that is being sent grants a lease until `end`.
  void PollGrantsLease(const jobs::WorkerIncarnation& worker, base::Micros end);

  // --- Boxes ---
  // Box calls that an earlier owner recorded before making them. Must be the
  // first event that is passed in.
  void InheritBoxCalls(const std::vector<BoxCall>& calls, base::Micros now);
  void SetWave(const Wave& wave,
               const std::vector<std::string>& begun,
               base::Micros now);
  void SetBoxes(const std::vector<BoxInfo>& boxes,
                base::Micros asked,
                base::Micros now);
  void MoveAnswered(const MoveBox& command,
                    BoxCallOutcome outcome,
                    base::Micros now);
  void MaintenanceAnswered(const MaintainBox& command,
                           BoxCallOutcome outcome,
                           base::Micros now);

  // Advances to `now`: expires leases, places tasks and issues due polls.
  void Advance(base::Micros now);
  std::vector<Action> TakeActions();

  // --- Queries ---
  // Whether the start may still be sent: its run may have been given up, the
  // worker have shrunk, begun to drain or become unsuitable for the task, or
  // its zone been evacuated.
  bool IsStartStillValid(const StartRun& command, base::Micros now) const;
  // End of a lease granted at `now`, on the local clock.
  base::Micros LeaseEnd(base::Micros now) const;
  // Deadline on the worker's clock for a lease until `end` on the local clock.
  std::int64_t LeaseDeadline(const jobs::WorkerIncarnation& worker,
                             base::Micros end) const;
  const Worker* FindWorker(const jobs::WorkerIncarnation& incarnation) const;
  // The known incarnation of the worker `id`, or null.
  const Worker* FindWorker(const std::string& id) const;
  const std::map<jobs::WorkerIncarnation, Worker>& all_workers() const {
    return this->workers;
  }
  const std::unordered_map<std::string, Job>& all_jobs() const {
    return this->jobs;
  }
  // Incremented when a worker is added, removed, or reports for the first time.
  std::uint64_t worker_changes() const { return this->worker_change_count; }
  bool needs_box_list() const { return this->fleet.NeedsBoxList(); }
  // A call for the box is pending, or its outcome is unknown.
  bool HasOpenBoxCall(const std::string& box) const;
  // A higher epoch was seen at a worker or in a row: this ownership is over.
  bool fenced() const { return this->is_fenced; }
  // Number of accepted jobs without a started task, by queue.
  std::map<std::string, int> WaitingJobs() const;
  std::vector<PoolState> PoolStates(base::Micros now) const;
  // For each pool with a long-running task that has waited for capacity for
  // more than 2 s.
  std::vector<LongRunningWait> LongRunningWaits(base::Micros now) const;
  // The tasks that have waited longest, over some seconds, longest first; at
  // most `most`.
  std::vector<WaitingTask> LongestWaits(std::size_t most,
                                        base::Micros now) const;
  // Number of long-running tasks that are stalled.
  int CountStalledTasks() const { return this->stalled_tasks.count(); }
  // By queue of the configuration; queues without a figure are left out.
  std::map<std::string, ExpectedWait> ExpectedWaits(base::Micros now) const;
  // Whether this owner has been scheduling for long enough that its waits and
  // the organisations over their rate may be reported.
  bool KnowsLoad(base::Micros now) const;
  // The expected waits that are long enough to be reported; empty while they
  // may not be.
  std::map<std::string, ExpectedWait> ReportableWaits(base::Micros now) const;
  const AdviceCalls& advice() const { return this->advice_calls; }
  // Cores by pool, by the last plan of boxes.
  const std::map<std::string, double>& AllocatedCores() const;
  // Organisations that submit more than their guaranteed rate, in the order in
  // which they exceeded it, latest first.
  std::vector<std::string> OrganisationsOverRate(base::Micros now) const;
  // The job's tasks that are not over, at most `most`; nothing if the job is
  // not known.
  std::optional<ExplainedTasks> ExplainJob(const std::string& id,
                                           std::size_t most,
                                           base::Micros now) const;
  // Quota needs in this shard of the organisations that have a quota.
  std::map<std::string, QuotaNeed> QuotaNeeds() const;
  // Every worker that may hold a lease has reported to this owner, so that all
  // active runs are known.
  bool KnowsAllRuns(base::Micros now) const;
  // Distinct box kinds, as given by the workers' labels.
  std::vector<std::string> BoxKinds() const;

 private:
  // jobs
  Job* FindJob(const std::string& id);
  void Enqueue(Job& job, const TaskPosition& position, base::Micros now);
  void Release(Job& job, base::Micros now);
  // See jobs::LongestChain().
  base::Micros LongestChain(const Job& job, std::size_t from) const;
  base::Micros ExpectedRun(const Job& job, const jobs::Step& step) const;
  // Latency objective of the whole job, counted from its acceptance.
  base::Micros ObjectiveOf(const Job& job) const;
  void MarkChanged(Job& job);
  void FinishJob(Job& job, jobs::JobState state, base::Micros now);
  void FailJob(Job& job,
               const jobs::TaskKey& task,
               FailureCause cause,
               base::Micros now);
  void ReportSavedFailure(Job& job);
  void StopAllRuns(Job& job, base::Micros now);
  void SaveChangedJobs(base::Micros now);

  // rows that hold the progress of a job
  std::size_t RowLimitOf(const Job& job) const;
  // Whether the job's row can name a further run of the task.
  bool HasRowRoom(Job& job, const TaskPosition& position, base::Micros now);
  std::string EncodeRow(Job& job, base::Micros now);
  void ShrinkRow(Job& job, base::Micros now);
  int WithdrawUnsavedPlans(Job& job, base::Micros now);

  // repeats
  void ReleaseDueRepeats(base::Micros now);

  // run ends
  void ProcessRunEnd(Worker& worker, const ReportedEnd& end, base::Micros now);
  void ApplyRunEnd(Job& job,
                   const jobs::WorkerIncarnation& worker,
                   const ReportedEnd& end,
                   base::Micros now);
  void MarkTaskDone(Job& job, const TaskPosition& position, base::Micros now);
  void RecordTaskFailure(Job& job,
                         const TaskPosition& position,
                         int run,
                         const jobs::WorkerIncarnation& worker,
                         base::Micros now);
  // The run is over without completing its task, which is queued again.
  void HandleLostRun(const jobs::TaskId& id, int run, base::Micros now);
  bool WaitForOtherRun(Job& job, const TaskPosition& position);
  void ThrottleFillers(Worker& worker);
  void MigrateOffUnhealthyWorker(Worker& worker, base::Micros now);
  void MigrateTask(Worker& worker,
                   const jobs::TaskId& id,
                   const char* why,
                   base::Micros now);
  void UpdateFailureRate(Worker& worker, bool failed, base::Micros now);

  // worker losses and the tasks suspected of causing them
  std::map<jobs::TaskId, jobs::WorkerLoss> CollectLosses(
      const Worker& worker,
      const std::map<jobs::TaskId, Run>& runs,
      LossReason reason);
  void RecordLoss(Job& job,
                  const TaskPosition& position,
                  const jobs::WorkerIncarnation& incarnation,
                  const jobs::WorkerLoss& loss,
                  base::Micros now);
  void RecordUnobservedLoss(Job& job,
                            const TaskPosition& position,
                            const jobs::Placement& placement,
                            base::Micros now);
  std::vector<TaskPosition> CancelSuspectPlans(Job& job,
                                               const jobs::Progress& stored,
                                               base::Micros now);
  void InheritLosses(Job& job, base::Micros now);
  void ResolveLosses(const Worker& worker, base::Micros now);
  void GiveUpCrashingTasks(Job& job, base::Micros now);
  void UpdateSuspicion(Worker& worker, const jobs::TaskId& id, Run& run);

  // reports about jobs that have not been loaded
  UnknownJob& UnknownJobFor(const std::string& job);
  void BufferRunEnd(Worker& worker, const ReportedEnd& end);
  void BufferRun(Worker& worker, const ReportedRun& reported, base::Micros now);
  void ApplyBufferedReports(Job& job, base::Micros now);
  void ReleaseBufferedEnd(const jobs::WorkerIncarnation& worker,
                          const ReportedEnd& end,
                          std::uint64_t change);

  // worker reports
  Worker* ApplyCommandOutcome(const jobs::WorkerIncarnation& incarnation,
                              CommandOutcome outcome,
                              base::Micros now);
  void ProcessReportedRun(Worker& worker,
                          const ReportedRun& reported,
                          base::Micros now);
  void BoundInheritedLease(Worker& worker,
                           std::int64_t clock_ms,
                           base::Micros now) const;
  void DropSupersededRun(Worker& worker, const jobs::TaskId& id);
  void AdoptRun(Worker& worker, const ReportedRun& reported, base::Micros now);
  void RecordStop(Job& job, Worker& worker, const jobs::TaskId& id);
  void ResolveMissingRuns(Worker& worker,
                          const WorkerReport& report,
                          base::Micros now);
  void AdvanceRecordedEnds(Worker& worker);

  // worker incarnations
  Worker* FindIncarnation(const jobs::WorkerIncarnation& incarnation);
  Worker* CurrentIncarnation(const std::string& id);
  // This incarnation, or a later one that may have runs meant for it.
  Worker* FindHolder(const jobs::WorkerIncarnation& incarnation);
  bool HasEnded(const jobs::WorkerIncarnation& incarnation) const;
  Worker* FindResponder(const jobs::WorkerIncarnation& asked,
                        const jobs::WorkerIncarnation& answered,
                        base::Micros now);
  Worker& ReplaceRestarted(Worker& earlier,
                           const WorkerInfo& info,
                           base::Micros now);
  void TransferRun(Worker& next,
                   const jobs::TaskId& id,
                   Run run,
                   const std::optional<PossibleLoss>& loss);
  // Removes a worker incarnation of which no run is active any more.
  void RemoveWorker(const jobs::WorkerIncarnation& incarnation,
                    LossReason reason,
                    base::Micros now);
  // As RemoveWorker, and ignores the incarnation if its registration is still
  // stored and is read again.
  void EndIncarnation(const jobs::WorkerIncarnation& incarnation,
                      LossReason reason,
                      base::Micros now);
  void HandleLostRuns(const Worker& worker,
                      const std::map<jobs::TaskId, Run>& runs,
                      const std::map<jobs::TaskId, jobs::WorkerLoss>& losses,
                      LossReason reason,
                      base::Micros now);
  void DropAllRuns(Worker& worker, LossReason reason, base::Micros now);

  // starts that got no answer and may still be carried out
  // Keeps a placement in the job's row that may still be carried out and is
  // about to be replaced there.
  void KeepReplacedStart(Job& job, const TaskPosition& position);
  void StopOpenStarts(Worker& next, base::Micros now);
  void StopOpenStart(Worker& next,
                     const jobs::TaskId& id,
                     int number,
                     base::Micros now);
  void ExpireOpenStarts(base::Micros now);

  // leases and polls
  void ExpireLeases(base::Micros now);
  void IssueDuePolls(base::Micros now);
  void IssueDueStops(base::Micros now);
  void Stop(Worker& worker, const jobs::TaskId& task, base::Micros now);
  bool IsRecorded(const jobs::TaskId& task, const Run& run);
  void StopOnceRecorded(const Worker& worker, const jobs::TaskId& task);
  // Issues the stops whose records have been saved.
  void StopSavedRuns(Job& job, base::Micros now);

  // placement
  void PlaceTasks(base::Micros now);
  // By pool; of those with ready tasks.
  std::unordered_map<std::string_view, PlacementPass> BeginPasses(
      base::Micros now);
  void PlacePool(const std::string& service,
                 ReadyTasks& tasks,
                 PlacementPass& pass,
                 base::Micros now);
  ReadyTasks::AttemptResult TryPlace(const ReadyTask& task,
                                     PlacementPass& pass,
                                     base::Micros now);
  std::optional<WaitReason> PlaceTask(const ReadyTask& task,
                                      Suspicion suspicion,
                                      PlacementPass& pass,
                                      base::Micros now);
  void ReserveIfStarved(const ReadyTask& task,
                        PlacementPass& pass,
                        base::Micros now);
  WaitReason ReasonForNoWorker(Job& job,
                               const TaskPosition& position,
                               base::Micros now) const;
  bool HasSuitableWorker(const jobs::Step& step) const;
  std::vector<Assignment> FindWorkers(Job& job,
                                      const TaskPosition& position,
                                      Suspicion suspicion,
                                      PlacementPass& pass,
                                      base::Micros now);
  std::vector<Assignment> FindWorkerForTask(Job& job,
                                            const TaskPosition& position,
                                            SearchKind kind,
                                            PlacementPass& pass,
                                            base::Micros now);
  std::vector<Assignment> FindWorkersForGang(Job& job,
                                             const TaskPosition& position,
                                             SearchKind kind,
                                             PlacementPass& pass,
                                             base::Micros now);
  std::vector<Assignment> FindAdvisedWorkers(Job& job,
                                             const TaskPosition& position,
                                             PlacementPass& pass,
                                             base::Micros now);
  std::int64_t CountRoomForMembers(const Job& job,
                                   const TaskPosition& position,
                                   const std::vector<Worker*>& visited) const;
  Worker* ReservedCandidate(const Job& job, const TaskPosition& position);
  std::vector<Assignment> ChooseWorkers(const Job& job,
                                        const TaskPosition& position,
                                        const std::vector<Worker*>& candidates,
                                        base::Micros now) const;
  void PlanRun(Job& job,
               const Assignment& assignment,
               int run,
               base::Micros now);
  Run MakeRun(const Job& job,
              const jobs::Step& step,
              int number,
              RunState state);
  // Issues the starts whose placements have been saved.
  void StartSavedPlacements(Job& job, base::Micros now);
  void InheritRuns(Job& job, base::Micros now);
  void InheritRun(Job& job,
                  const TaskPosition& position,
                  int number,
                  Worker& worker,
                  base::Micros now);
  void InheritStops(Job& job, base::Micros now);
  bool InheritStop(Job& job,
                   const TaskPosition& position,
                   const jobs::Placement& placement,
                   base::Micros now);
  void HoldForOtherRun(Job& job,
                       const TaskPosition& position,
                       base::Micros now);
  bool ApplyLatePlacement(Job& job,
                          const TaskPosition& position,
                          const jobs::Placement& placement,
                          base::Micros now);
  void StopReplacedRun(Job& job,
                       const TaskPosition& position,
                       base::Micros now);
  void CancelPlan(Job& job, const TaskPosition& position);
  // Takes over progress that another owner wrote to the job's row.
  void MergeStoredProgress(Job& job,
                           const jobs::Progress& stored,
                           base::Micros now);
  bool IsUsable(const Worker& worker, base::Micros now) const;
  // As IsUsable, also while the worker's box is leaving.
  bool IsOperational(const Worker& worker, base::Micros now) const;
  bool HasCurrentAnnouncement(const Worker& worker, base::Micros now) const;
  // The candidates of the present pass that have a ticket for the step.
  std::vector<Worker*> CandidatesWithTickets(const Job& job,
                                             const TaskPosition& position,
                                             base::Micros now);
  void RequestAdviceFor(Job& job,
                        const TaskPosition& position,
                        PlacementPass& pass,
                        base::Micros now);
  std::vector<AdviceCandidate> AdviceCandidatesFor(const Job& job,
                                                   const TaskPosition& position,
                                                   PlacementPass& pass) const;
  // Whether the candidates, allowed or not, have room for a task of the step,
  // or for all members of its gang.
  bool HasRoomForStep(const Job& job,
                      const TaskPosition& position,
                      const PlacementPass& pass,
                      const std::vector<AdviceCandidate>& candidates) const;
  int NextRunNumber(const Job& job, const TaskPosition& position) const;

  // expected waits
  BegunOccurrences OccurrencesWithRuns() const;
  void AddWorkerCapacities(std::map<std::string, PoolWork>& pools,
                           base::Micros now) const;
  void AddWorkOfBegunJobs(std::map<std::string, PoolWork>& pools,
                          const BegunOccurrences& begun,
                          base::Micros now) const;
  Work WorkOf(const Job& job, const jobs::Step& step) const;

  // operators' view
  // Empty if a run of the task is known to be at work, or the wait is short.
  std::optional<WaitingTask> DescribeWait(const Job& job,
                                          const TaskPosition& position,
                                          base::Micros now) const;
  void CollectWaits(const Job& job,
                    base::Micros now,
                    std::vector<WaitingTask>& waits) const;
  void ReportStalledTasks(base::Micros now);
  bool CanTellWhatIsAtWork(base::Micros now) const;
  ExplainedTask ExplainTask(const Job& job,
                            const TaskPosition& position,
                            base::Micros now) const;
  bool FitsInEvacuatedZone(const Job& job, const TaskPosition& position) const;
  void AddQueuePositions(const Job& job,
                         std::vector<ExplainedTask>& tasks) const;
  void AddExpectedStarts(const Job& job,
                         std::vector<ExplainedTask>& tasks,
                         base::Micros now) const;

  // fleet
  void RunFleet(base::Micros now);
  FleetView BuildFleetView(base::Micros now);
  std::map<std::string, int> MinBoxes() const;
  void AddBoxesForStuckTasks(base::Micros now,
                             const FleetView& view,
                             std::map<std::string, int>& min_boxes);
  std::vector<WorkerRoom> RoomBesideInterrupted(base::Micros now) const;
  bool TakeRoomElsewhere(const jobs::TaskId& task,
                         std::vector<WorkerRoom>& room) const;
  // Stops the long-running tasks of the box that may be moved now.
  EvacuationStep StopForEvacuation(const std::string& box,
                                   std::vector<WorkerRoom>& room,
                                   base::Micros now);
  BoxCallContext BoxCallContextOf(const std::string& box,
                                  base::Micros now) const;
  void ReclaimBox(const std::string& box, base::Micros now);
  bool MayInterrupt(const jobs::TaskId& task, base::Micros now) const;
  bool IsKnownToServe(const Task& task, base::Micros now) const;

  SchedulerLimits limits;
  jobs::Config config;
  std::map<jobs::WorkerIncarnation, Worker> workers;  // one incarnation per id
  // Start time of the latest ended incarnation, by worker id, until its
  // registration is removed.
  std::map<std::string, std::int64_t> ended_incarnations;
  std::unordered_map<std::string, Job> jobs;
  std::map<std::string, UnknownJob> unknown_jobs;
  std::map<std::string, ReadyTasks> ready;  // by service
  UnresolvedLosses unresolved_losses;
  OpenStarts open_starts;
  std::set<std::string> jobs_to_save;    // jobs with unsaved progress
  std::set<std::string> repeating_jobs;  // jobs with future repeats
  RunTimes run_times;
  DemandTrend demand;
  Quotas quotas;
  GuaranteedRates guaranteed_rates;
  FleetPlanner fleet;
  BoxRequests box_requests;
  Reservations reservations;
  AdviceCalls advice_calls;
  ZoneHealth zone_health;
  StalledTasks stalled_tasks;
  std::vector<Action> actions;
  std::optional<base::Micros> first_pass_at;  // empty before Advance()
  base::Micros confirmed_at{};
  base::Micros ownership_until{};
  base::Micros next_save{};
  base::Micros next_fleet_plan{};
  std::uint64_t last_ready_number = 0;
  std::uint64_t placement_passes = 0;                       // so far
  std::map<std::string, PlacementEffort> placement_effort;  // by pool
  std::uint64_t worker_change_count = 0;
  bool is_fenced = false;
  bool save_immediately = false;  // a placement or a final state is unsaved
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_SCHEDULER_H_
