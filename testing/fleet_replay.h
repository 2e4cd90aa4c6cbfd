// Replays demand on a fleet planner and a simulated platform, on a clock of its
// own.

#ifndef TESTING_FLEET_REPLAY_H_
#define TESTING_FLEET_REPLAY_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "scheduler/fleet.h"

namespace quartzhoist::testing {

class FleetReplay {
 public:
  // Cores that a pool's tasks take or wait for.
  using Demand = std::function<double(int pool, base::Micros at)>;

  // `boxes` boxes of 16 cores in `pools` pools, without one in the spare pool.
  FleetReplay(int pools, int boxes, bool has_spare_pool, bool idle_boxes_rest);

  // Plans every 250 ms until `end`.
  void RunUntil(base::Micros end, const Demand& demand);
  // The next owner inherits the calls that have no known outcome.
  void TakeOver();
  int CountPaid() const;
  // Every third box holds long-running tasks, whose evacuation takes 3 s; at
  // most four boxes proceed at a time.
  void BeginWave(int max_concurrent, base::Micros duration);
  int CountLeftInWave() const;

  base::Micros now = std::chrono::seconds(100);
  base::Micros list_lag{};        // between a list's request and its arrival
  bool answers_are_lost = false;  // calls are carried out and not answered
  int calls = 0;
  double paid_box_seconds = 0.0;
  // Core-seconds that pools lacked within 2 s after their demand rose.
  double short_core_seconds = 0.0;
  std::vector<std::string> violations;

 private:
  struct Box {
    std::string pool;
    int worker = 0;  // counts the incarnations
    base::Micros up_at{};
    base::Micros announced_at{};  // of the current incarnation
    base::Micros pinned_for{};    // until its long-running tasks have moved
    bool is_maintained = false;
  };

  void DeliverList();
  void Call(const scheduler::MoveBox& call);
  void Call(const scheduler::MaintainBox& call);
  void Evacuate(const scheduler::EvacuateBox& action);
  scheduler::FleetView View(const Demand& demand);
  static bool IsSpare(const Box& box) { return box.pool == "rest"; }

  int pools;
  bool has_spare_pool;
  bool idle_boxes_rest;
  scheduler::FleetPlanner fleet;
  std::map<std::string, Box> boxes;
  std::map<std::string, scheduler::MoveBox> open_calls;
  std::map<int, base::Micros> risen_at;  // by pool
  std::vector<scheduler::BoxInfo> list;
  base::Micros list_asked{};
  std::vector<std::string> idle;  // by the last view
  int proceeding = 0;             // evacuations, in this plan
};

}  // namespace quartzhoist::testing

#endif  // TESTING_FLEET_REPLAY_H_
