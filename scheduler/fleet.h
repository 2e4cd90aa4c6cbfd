// Plans box moves between pools and maintenance waves. Both are planned
// together so that they never compete for the same box. The planner is pure
// state: it takes views of the fleet and returns actions.

#ifndef SCHEDULER_FLEET_H_
#define SCHEDULER_FLEET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/enum_names.h"
#include "scheduler/actions.h"
#include "scheduler/facts.h"
#include "scheduler/idle_boxes.h"

namespace quartzhoist::scheduler {

struct FleetTimings {
  base::Micros move_duration{};         // from the call until the box serves
  base::Micros maintenance_duration{};  // from the call until the box is back
};

// Result of a platform call that moves a box or starts its maintenance.
enum class BoxCallOutcome {
  kDone,
  kNotSent,    // not carried out, and will not be
  kUnknown,    // no answer: may have been, or may still be, carried out
  kFenced,     // the box has seen a higher epoch
  kBusy,       // the box is not up, or is leaving
  kRefused,    // not part of the wave, or unknown box or pool
  kThrottled,  // over the rate limit shared by all daemons
};

inline constexpr base::EnumNames<BoxCallOutcome, 7> kBoxCallOutcomeNames{{
    {BoxCallOutcome::kDone, "done"},
    {BoxCallOutcome::kNotSent, "not_sent"},
    {BoxCallOutcome::kUnknown, "unknown"},
    {BoxCallOutcome::kFenced, "fenced"},
    {BoxCallOutcome::kBusy, "busy"},
    {BoxCallOutcome::kRefused, "refused"},
    {BoxCallOutcome::kThrottled, "throttled"},
}};

// Planner's view of one box.
struct FleetBox {
  std::string name;
  std::string pool;
  jobs::WorkerIncarnation worker;  // the announced instance; empty: none
  bool available = false;          // can be moved or taken down
  bool in_evacuated_zone = false;  // takes no tasks and stays in its pool
  bool idle = false;               // no runs
  // Runs were presumed over when their lease expired; no answer since.
  bool runs_presumed_over = false;
  // It has runs, all of them placed by earlier owners and not reported.
  bool has_only_inherited_runs = false;
  int long_running_tasks = 0;
  double cores = 0.0;  // capacity
  double busy_cores = 0.0;
};

// CPU demand of the work of one priority.
struct PoolDemand {
  double current_cores = 0.0;   // running and ready tasks
  double expected_cores = 0.0;  // predicted growth on top of that
};

struct FleetPool {
  std::string name;
  bool spare = false;
  std::map<int, PoolDemand> demand;  // by priority, 0 is the most urgent
  // Lower bound for tasks that cores alone do not describe: long-running tasks
  // with a limit per box, and tasks that fit on none of the pool's boxes.
  int min_boxes = 0;
};

// Upper limit of a pool's load; also the load of a pool without any cores.
inline constexpr int kMaxLoadPercent = 1000;

// Reason for which a box takes no further tasks.
enum class LeavingReason {
  kReclaimed,          // emptied for a move to a pool that is short of cores
  kMoving,             // a move is about to be called, or has no outcome yet
  kMoved,              // the move is done; the worker has not announced itself
  kResting,            // a move to the spare pool is called or under way
  kInheritedMove,      // an earlier owner's move, which is not resolved
  kEvacuating,         // emptied for a maintenance wave
  kMaintenanceCalled,  // maintenance called; the outcome is not known
  kInMaintenance,      // down for maintenance
  kInheritedMaintenance,  // an earlier owner's call, which is not resolved
};

inline constexpr base::EnumNames<LeavingReason, 9> kLeavingReasonNames{{
    {LeavingReason::kReclaimed, "reclaimed"},
    {LeavingReason::kMoving, "moving"},
    {LeavingReason::kMoved, "moved"},
    {LeavingReason::kResting, "resting"},
    {LeavingReason::kInheritedMove, "inherited_move"},
    {LeavingReason::kEvacuating, "evacuating"},
    {LeavingReason::kMaintenanceCalled, "maintenance_called"},
    {LeavingReason::kInMaintenance, "in_maintenance"},
    {LeavingReason::kInheritedMaintenance, "inherited_maintenance"},
}};

// Cost of this owner's placement passes over a pool.
struct PlacementEffort {
  // Workers that searches for a place have visited without finding one.
  std::uint64_t vain_visits = 0;
  // Passes that ended before all ready tasks had been tried.
  std::uint64_t spent_passes = 0;
};

// Pool status for operators.
struct PoolState {
  std::string pool;
  int boxes = 0;    // that have a worker
  int usable = 0;   // of them, those that accept further tasks
  int leaving = 0;  // moving, selected to move, or in maintenance
  std::map<LeavingReason, int> leaving_for;
  int idle = 0;
  int pinned = 0;  // hold long-running tasks
  double busy_cores = 0.0;
  // Unused cores of the usable boxes, less those that tasks wait for.
  double free_cores = 0.0;
  // Ready tasks, and the longest wait among them.
  struct Waiting {
    int tasks = 0;
    base::Micros oldest{};
  };
  std::map<WaitReason, Waiting> waiting_for;
  int given_up = 0;  // tasks
  PlacementEffort placement_effort;
  int waiting = 0;  // tasks
  double waiting_cores = 0.0;
  base::Micros oldest{};  // longest wait among them
  // Cores used or waited for, in percent of the cores within reach: those of
  // the pool's boxes plus the unused ones on other pools' movable boxes.
  int load_percent = 0;
};

// Long-running tasks of a pool that wait for capacity, and what keeps the first
// of them in scheduling order off the pool's usable workers.
struct LongRunningWait {
  std::string pool;
  int waiting = 0;      // such tasks
  int interrupted = 0;  // of them, those that have run before
  jobs::TaskId task;    // the first of them
  base::Micros waited{};
  jobs::Resources takes;
  int usable = 0;
  int with_cores = 0;
  int with_memory = 0;
  int fitting = 0;  // have enough of everything; the next ones are among them
  int at_limit = 0;
  int unlabelled = 0;
  int reserved = 0;
};

struct FleetView {
  std::vector<FleetBox> boxes;
  std::vector<FleetPool> pools;
};

// Evacuates a box without a platform call: the scheduler places nothing new on
// it and stops its long-running tasks as their availability limits allow.
struct EvacuateBox {
  std::string box;
};

// Result of the latest attempt to evacuate a box.
enum class EvacuationStep {
  kProceeds,  // runs are being stopped, or all of them end by themselves
  kWaits,     // availability limits put the next stop off
  kBlocked,   // its long-running tasks fit nowhere else
};

using FleetAction = std::variant<MoveBox, MaintainBox, ReportWave, EvacuateBox>;

// Returns the target number of cores per pool. Minimum boxes are served first,
// then demand in order of priority, current before expected demand. Where cores
// run out, the pools of that level share the rest in proportion to demand.
std::map<std::string, double> AllocateCores(const std::vector<FleetPool>& pools,
                                            double total_cores,
                                            double box_cores);

class FleetPlanner {
 public:
  explicit FleetPlanner(
      const FleetTimings& initial,
      IdleBoxPolicy idle_box_policy = IdleBoxPolicy::kRestInLargeFleets);

  // Zones that the operator has evacuated. Their boxes add no capacity and are
  // not moved; their maintenance goes on.
  void SetEvacuatedZones(const std::set<std::string>& zones) {
    this->evacuated_zones = zones;
  }
  bool IsEvacuated(const std::string& zone) const {
    return this->evacuated_zones.contains(zone);
  }
  // `begun`: boxes whose maintenance a previous owner recorded as started.
  void SetWave(const Wave& wave,
               const std::vector<std::string>& begun,
               base::Micros now);
  // Takes over a call that a previous owner recorded; it may have been, or may
  // still be, carried out.
  void Inherit(const MoveBox& call, base::Micros now);
  void Inherit(const MaintainBox& call, base::Micros now);
  // A worker instance on the box announced itself in `pool`.
  void OnBoxAnnounced(const std::string& box,
                      const jobs::WorkerIncarnation& worker,
                      const std::string& pool,
                      base::Micros now);
  // The worker on the box answered a call by this owner.
  void OnBoxAnswered(const std::string& box);
  // The platform's box list, requested at `asked`: it may be that old.
  void SetBoxes(const std::vector<BoxInfo>& boxes,
                base::Micros asked,
                base::Micros now);
  void OnMoveOutcome(const MoveBox& command,
                     BoxCallOutcome outcome,
                     base::Micros now);
  void OnMaintenanceOutcome(const MaintainBox& command,
                            BoxCallOutcome outcome,
                            base::Micros now);
  void OnEvacuationStep(const std::string& box,
                        EvacuationStep step,
                        base::Micros now);

  std::vector<FleetAction> Plan(const FleetView& view, base::Micros now);

  // The boxes that were moved to the spare pool since the last report; empty if
  // there are none, or if the last one was made less than a second ago.
  std::optional<BoxesRested> TakeRestReport(base::Micros now);

  // True while a call for the box is due or has no known outcome.
  bool HasPendingCall(const std::string& box) const;
  // True while nothing more may be placed on the box.
  bool IsLeaving(const std::string& box) const;
  // Why nothing more may be placed on the box; empty if it may.
  std::optional<LeavingReason> LeavingReasonOf(const std::string& box) const;
  // True while a wave evacuates the box.
  bool IsEvacuating(const std::string& box) const;
  // True while a wave cannot evacuate the box, and its end is far enough for
  // the box to take long-running tasks that fit nowhere else.
  bool MayTakeWorkInWave(const std::string& box, base::Micros now) const;
  // Cores that the last plan allocates to each pool.
  const std::map<std::string, double>& AllocatedCores() const {
    return this->allocated_cores;
  }
  // The worker instance on the box when its move or maintenance was requested.
  jobs::WorkerIncarnation WorkerBeforeCall(const std::string& box) const;
  bool HasOpenWave() const;
  // True while moves or waves are open, or no list has been read yet.
  bool NeedsBoxList() const;

 private:
  enum class MaintenanceState {
    kPending,
    kEvacuating,  // nothing new is placed there
    kRequested,   // called; the outcome is not known
    kDown,
    kDone,
  };
  struct Maintenance {
    MaintenanceState state = MaintenanceState::kPending;
    jobs::WorkerIncarnation worker_before_call;
    base::Micros since{};
    base::Micros first_call_at{};  // it has not begun before
    base::Micros next_call_at{};
    bool in_flight = false;
    bool may_have_begun = false;  // a call got no answer
    bool is_inherited = false;    // a previous owner's call, unresolved
    bool is_listed_up = false;    // of an inherited call: it had no effect
    // When the evacuation counts as stalled; empty while it proceeds.
    std::optional<base::Micros> stalls_at;
    base::Micros released_at{};  // when it last gave its slot back; 0: never
  };
  struct WaveProgress {
    Wave wave;
    std::map<std::string, Maintenance> boxes;
    bool needs_report = true;
    bool completed = false;
    base::Micros since{};
  };
  struct Move {
    std::string pool;
    jobs::WorkerIncarnation worker_before_call;
    base::Micros since{};
    base::Micros first_call_at{};  // it has not begun before
    base::Micros next_call_at{};
    bool in_flight = false;
    bool done = false;            // confirmed by the platform
    bool arrived = false;         // announced in the new pool before that
    bool may_have_begun = false;  // a call got no answer
    bool is_inherited = false;    // a previous owner's call, unresolved
    bool is_listed_up = false;    // of an inherited call: it had no effect
  };
  using BoxesByName = std::map<std::string, const FleetBox*>;
  // The fleet's cores in one planning round. Moves are applied to it.
  struct CoreBalance {
    std::map<std::string, double> held;     // by pool, at the beginning
    std::map<std::string, double> surplus;  // beyond each pool's allocation
    // The same with the growth counted at kSpareGrowthFraction.
    std::map<std::string, double> need_surplus;
    std::set<std::string> served;  // pools that were given a box
    double pool_cores = 0.0;       // not in spare pools; with boxes that move
    double need_cores = 0.0;       // of all pools that are not spare
    double box_cores = 0.0;        // of the largest box
    // No pool that lacks cores found a donor any more.
    bool donors_exhausted = false;
  };

  FleetView WithSpareBoxes(const FleetView& view) const;
  // Delay before repeating a call that got no answer or was turned down.
  static constexpr base::Micros kCallRetryDelay =
      std::chrono::milliseconds(500);
  static bool MayCall(bool in_flight,
                      base::Micros next_call_at,
                      base::Micros now) {
    return !in_flight && now >= next_call_at;
  }

  // State of a wave at the start of a planning round.
  struct WaveCounts {
    int away = 0;
    int pinned_evacuating = 0;  // of them, evacuating long-running tasks
    bool all_done = true;
    std::vector<std::pair<const FleetBox*, Maintenance*>> pending;
  };

  // An inherited call is repeated once its box is available and idle, or a list
  // shows the box up although the call is over (`is_listed_up`).
  enum class InheritedCall { kUnresolved, kRetry, kObsolete };
  static InheritedCall ClassifyInherited(const BoxesByName& boxes,
                                         const std::string& box,
                                         bool is_listed_up);
  // Whether a list requested at `asked` shows the box up, after the time limit
  // of a call that was inherited at `since`.
  bool IsListedUpAfter(const std::string& box,
                       base::Micros since,
                       base::Micros asked) const;
  void ReconcileInheritedMoves(base::Micros asked);
  static bool ResolveInherited(Maintenance& maintenance,
                               InheritedCall inherited);
  static bool IsStalled(const Maintenance& maintenance, base::Micros now);
  ReportWave MakeReport(const WaveProgress& progress) const;
  void ReconcileWaves(base::Micros asked, base::Micros now);
  // Whether the box is, or recently was, in maintenance for another wave.
  bool IsInMaintenanceForOtherWave(int wave,
                                   const std::string& box,
                                   base::Micros asked) const;
  WaveCounts CountWave(WaveProgress& progress,
                       const BoxesByName& boxes,
                       base::Micros now) const;
  static void ReleaseStalled(WaveProgress& progress,
                             WaveCounts& counts,
                             base::Micros now);
  static void SelectNext(const Wave& wave,
                         WaveCounts& counts,
                         base::Micros now);
  static void RequestOrEvacuate(WaveProgress& progress,
                                const BoxesByName& boxes,
                                base::Micros now,
                                std::vector<FleetAction>& actions);
  void PlanWave(WaveProgress& progress,
                const BoxesByName& boxes,
                base::Micros now,
                std::vector<FleetAction>& actions);
  void PlanMoves(const FleetView& view,
                 base::Micros now,
                 std::vector<FleetAction>& actions);
  void RetryMoves(const BoxesByName& boxes,
                  base::Micros now,
                  std::vector<FleetAction>& actions);
  std::map<std::string, double> CoresByPool(const FleetView& view) const;
  std::map<std::string, double> CoresWithMoves(const FleetView& view) const;
  // Whether idle boxes return to the spare pool.
  bool BoxesMayRest() const;
  bool IsSparePool(const std::string& pool) const;
  void SetListedMoving(const std::string& box, const std::string& pool);
  // Whether the box is neither moving nor in maintenance nor evacuated.
  bool MayMove(const FleetBox& box) const;
  CoreBalance BalanceCores(const FleetView& view,
                           const std::vector<FleetPool>& requesting);
  void ServeShortages(const FleetView& view,
                      const std::vector<FleetPool>& requesting,
                      CoreBalance& balance,
                      base::Micros now,
                      std::vector<FleetAction>& actions);
  bool MayUseSpareBox(const CoreBalance& balance,
                      const FleetPool& to,
                      base::Micros now) const;
  void RestIdleBoxes(const FleetView& view,
                     const CoreBalance& balance,
                     base::Micros now,
                     std::vector<FleetAction>& actions);
  void BeginMove(const FleetBox& box,
                 const std::string& pool,
                 base::Micros now,
                 std::vector<FleetAction>& actions);
  const FleetBox* FindDonor(const FleetView& view,
                            const std::map<std::string, double>& surplus,
                            const FleetPool& to,
                            bool may_use_spare) const;
  void SelectReclaimed(const FleetView& view,
                       std::map<std::string, double>& surplus,
                       double short_cores);
  bool IsInMaintenance(const std::string& box) const;
  // Whether an open wave has yet to complete the box's maintenance.
  bool IsDueInWave(const std::string& box) const;

  FleetTimings timings;
  IdleBoxPolicy idle_box_policy;
  IdleBoxes idle_boxes;
  std::vector<std::string> spare_pools;  // by the last plan
  double pool_cores = 0.0;               // by the last plan
  int rested = 0;                        // boxes, since the last report
  base::Micros next_rest_report{};
  std::set<std::string> evacuated_zones;
  std::map<int, WaveProgress> waves;
  std::map<std::string, Move> moves;  // by box, until it serves the new pool
  // Busy boxes that a pool short of cores needs more. Nothing new is placed on
  // them so that they become idle and can move. Recomputed by each plan.
  std::set<std::string> reclaimed;
  // By pool, by the last plan.
  std::map<std::string, double> allocated_cores;
  std::map<std::string, BoxInfo> listed;  // the platform's latest list
  bool has_list = false;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_FLEET_H_
