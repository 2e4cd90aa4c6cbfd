// Which boxes move to another pool and which get their upkeep, by one plan, so
// that the two do not fight over a box. Views go in, steps come out.

#ifndef SCHEDULER_FLEET_H_
#define SCHEDULER_FLEET_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/enum_names.h"
#include "scheduler/actions.h"
#include "scheduler/facts.h"

namespace quartzhoist::scheduler {

struct FleetLimits {
  base::Micros move_time{};    // until a moved box serves its new pool
  base::Micros upkeep_time{};  // until a box is back from its upkeep
};

// How the platform answered a call about a box.
enum class BoxCallOutcome {
  kDone,
  kNotSent,    // nothing happened
  kUnknown,    // no answer: it may have been, or may yet be, carried out
  kFenced,     // a higher epoch has been used for the box
  kBusy,       // the box is not up, or is leaving
  kRefused,    // not of that wave, or no such box or pool
  kThrottled,  // over the rate for all daemons
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

// One box as the plan sees it.
struct FleetBox {
  std::string name;
  std::string pool;
  jobs::WorkerIncarnation worker;  // that announces itself; empty: none
  bool up = false;                 // it may be moved or taken down
  bool idle = false;               // nothing runs on it
  int lasting = 0;                 // lasting tasks on it
  double cores = 0.0;              // of its capacity
  double busy_cores = 0.0;
};

// What work of one priority takes, in cores.
struct PoolNeed {
  double now_cores = 0.0;   // running and waiting
  double soon_cores = 0.0;  // expected beyond that
};

struct FleetPool {
  std::string name;
  bool spare = false;
  std::map<int, PoolNeed> needs;  // by priority, 0 the most urgent
  // Boxes that lasting tasks need, which may share a box with few of their own.
  int least_boxes = 0;
};

// How a pool stands, for people.
struct PoolState {
  std::string pool;
  int boxes = 0;    // with a worker
  int usable = 0;   // of them, that may take something further
  int leaving = 0;  // that move, are to move, or are in their upkeep
  int idle = 0;
  int pinned = 0;  // by lasting tasks
  double busy_cores = 0.0;
  // Ready tasks, and how long the first has waited.
  struct Waiting {
    int tasks = 0;
    base::Micros oldest{};
  };
  std::map<WaitReason, Waiting> waiting_for;
  int given_up = 0;  // tasks
  int waiting = 0;   // tasks
  double waiting_cores = 0.0;
  base::Micros oldest{};  // how long the first of them has waited
  // Cores that its work takes or waits for, of those that it could get: its own
  // boxes' and what others leave unused on boxes that may move.
  int load_percent = 0;
};

struct FleetView {
  std::vector<FleetBox> boxes;
  std::vector<FleetPool> pools;
};

// The plan's step that no platform call carries out: nothing new is placed on
// the box, and what lasts there is moved off as its limits allow.
struct Evacuate {
  std::string box;
};

using FleetStep = std::variant<MoveBox, UpkeepBox, ReportWave, Evacuate>;

// How many cores each pool should have: the boxes its lasting tasks need, then
// urgent work first, what is there before what is expected; where not all fits,
// pools of one level share in proportion.
std::map<std::string, double> AllotCores(const std::vector<FleetPool>& pools,
                                         double total_cores,
                                         double box_cores);

class Fleet {
 public:
  explicit Fleet(const FleetLimits& limits);

  // `begun`: boxes whose upkeep an earlier owner has seen begin.
  void SetWave(const Wave& wave,
               const std::vector<std::string>& begun,
               base::Micros now);
  // A call that an earlier owner recorded: it may have been, or may yet be,
  // carried out.
  void Inherit(const MoveBox& call, base::Micros now);
  void Inherit(const UpkeepBox& call, base::Micros now);
  // A life of the box announces itself, in this pool.
  void BoxSeen(const std::string& box,
               const jobs::WorkerIncarnation& worker,
               const std::string& pool,
               base::Micros now);
  // A worker on the box has answered this owner.
  void BoxAnswered(const std::string& box);
  // The platform's list, asked for at `asked`: it may be as old as that.
  void SetBoxes(const std::vector<BoxInfo>& boxes,
                base::Micros asked,
                base::Micros now);
  void Moved(const MoveBox& order, BoxCallOutcome outcome, base::Micros now);
  void UpkeepBegun(const UpkeepBox& order,
                   BoxCallOutcome outcome,
                   base::Micros now);

  std::vector<FleetStep> Plan(const FleetView& view, base::Micros now);

  // A call for the box is to be made, or its outcome is not known.
  bool HasOpenCall(const std::string& box) const;
  // Nothing further is to be placed on the box.
  bool IsLeaving(const std::string& box) const;
  // The life that was on the box when its move or upkeep was asked for.
  jobs::WorkerIncarnation LifeBefore(const std::string& box) const;
  bool HasOpenWave() const;
  // Some box is away, so that the platform's list of boxes matters now.
  bool WantsBoxes() const;

 private:
  enum class UpkeepState {
    kPending,
    kEmptying,  // nothing further is placed there
    kCalling,   // the platform has been asked; the answer is not known
    kDown,
    kDone,
  };
  struct Upkeep {
    UpkeepState state = UpkeepState::kPending;
    jobs::WorkerIncarnation worker_before;  // that was there
    base::Micros since{};
    base::Micros first_call{};  // it has not begun before
    base::Micros next_call{};
    bool in_flight = false;
    bool may_have_begun = false;  // a call got no answer
    bool is_inherited = false;    // an earlier owner's call, not settled yet
  };
  struct WaveProgress {
    Wave wave;
    std::map<std::string, Upkeep> boxes;
    bool to_report = true;  // something new
    bool completed = false;
    base::Micros since{};
  };
  struct Move {
    std::string pool;
    jobs::WorkerIncarnation worker_before;
    base::Micros since{};
    base::Micros first_call{};  // it has not begun before
    base::Micros next_call{};
    bool in_flight = false;
    bool done = false;          // the platform has said so
    bool arrived = false;       // a life in the new pool was seen before that
    bool is_inherited = false;  // an earlier owner's call, not settled yet
  };
  using BoxesByName = std::map<std::string, const FleetBox*>;

  FleetView WithBoxesAtRest(const FleetView& view) const;
  // A call that got no answer, or that the platform was too busy for, is made
  // again after this.
  static constexpr base::Micros kCallAgain = std::chrono::milliseconds(500);
  static bool MayBeAsked(bool in_flight,
                         base::Micros next_call,
                         base::Micros now) {
    return !in_flight && now >= next_call;
  }

  // A wave as one plan finds it.
  struct WaveTurn {
    int away = 0;
    int pinned_away = 0;  // of them, emptying, with lasting tasks on them
    bool all_done = true;
    std::vector<std::pair<const FleetBox*, Upkeep*>> pending;
  };

  // An inherited call is made again on a box that has been heard and is empty.
  enum class Inherited { kWaits, kMayBeMade, kIsVoid };
  static Inherited JudgeInherited(const BoxesByName& boxes,
                                  const std::string& box);
  static bool TakeUp(Upkeep& upkeep, Inherited inherited);
  ReportWave Report(const WaveProgress& progress) const;
  void CompareWavesWithList(base::Micros asked, base::Micros now);
  // Is, or was lately, the box in the upkeep of another wave?
  bool InUpkeepOfAnother(int wave,
                         const std::string& box,
                         base::Micros asked) const;
  WaveTurn CountWave(WaveProgress& progress,
                     const BoxesByName& boxes,
                     base::Micros now) const;
  static void TakeNext(const Wave& wave, WaveTurn& turn, base::Micros now);
  static void CallOrEmpty(WaveProgress& progress,
                          const BoxesByName& boxes,
                          base::Micros now,
                          std::vector<FleetStep>& steps);
  void PlanWave(WaveProgress& progress,
                const BoxesByName& boxes,
                base::Micros now,
                std::vector<FleetStep>& steps);
  void PlanMoves(const FleetView& view,
                 base::Micros now,
                 std::vector<FleetStep>& steps);
  void RepeatMoves(const BoxesByName& boxes,
                   base::Micros now,
                   std::vector<FleetStep>& steps);
  std::map<std::string, double> CoresHeld(const FleetView& view) const;
  const FleetBox* FindDonor(const FleetView& view,
                            const std::map<std::string, double>& surplus,
                            const FleetPool& to) const;
  void Reclaim(const FleetView& view,
               std::map<std::string, double>& surplus,
               double short_cores);
  bool InUpkeep(const std::string& box) const;

  FleetLimits limits;
  std::map<int, WaveProgress> waves;
  std::map<std::string, Move> moves;  // by box, until it is back
  // Busy boxes that another pool needs more: nothing further is placed there,
  // so that they can move soon. Chosen anew by each plan.
  std::set<std::string> reclaimed;
  std::map<std::string, BoxInfo> listed;  // the platform's list
  bool has_list = false;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_FLEET_H_
