// A soak of several pools: callers of all queues act at the same time, each
// queue's load comes by turns, and faults hit daemons, workers and the store's
// callers one by one and together.

#ifndef TESTING_FLEET_SOAK_H_
#define TESTING_FLEET_SOAK_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/enum_names.h"
#include "testing/job_cluster.h"
#include "testing/soak_callers.h"
#include "testing/soak_judge.h"

namespace quartzhoist::testing {

enum class FleetFault {
  kStoreRefuses,       // some daemons: 503, and writes in service are cut
  kStoreThrottles,     // some daemons: 429
  kStoreResets,        // some daemons: connections are cut
  kStoreSilent,        // some daemons: no answers
  kStoreLosesAnswers,  // some daemons: writes are done, connections are cut
  kStoreLate,          // some daemons: writes are done later, without answers
  kStoreDown,          // 503 for all
  kStoreSlow,
  kStoreForgets,     // its history
  kBoxesBusy,        // the service of boxes: 503
  kBoxesLose,        // the service of boxes: done, connections are cut
  kWorkersLost,      // some of a pool, without a word
  kWorkersCut,       // some of a pool; their tasks work on
  kOwnerKilled,      // and started again
  kOwnerAndWorkers,  // both lost at once
  kAllKilled,        // all daemons, and started again
  kRestarts,         // daemons are told to stop and started again in turn
  kConfiguration,    // queues are added, and removed at the end
  kWave,             // of upkeep
};

inline constexpr base::EnumNames<FleetFault, 19> kFleetFaultNames{{
    {FleetFault::kStoreRefuses, "store_refuses"},
    {FleetFault::kStoreThrottles, "store_throttles"},
    {FleetFault::kStoreResets, "store_resets"},
    {FleetFault::kStoreSilent, "store_silent"},
    {FleetFault::kStoreLosesAnswers, "store_loses_answers"},
    {FleetFault::kStoreLate, "store_late"},
    {FleetFault::kStoreDown, "store_down"},
    {FleetFault::kStoreSlow, "store_slow"},
    {FleetFault::kStoreForgets, "store_forgets"},
    {FleetFault::kBoxesBusy, "boxes_busy"},
    {FleetFault::kBoxesLose, "boxes_lose"},
    {FleetFault::kWorkersLost, "workers_lost"},
    {FleetFault::kWorkersCut, "workers_cut"},
    {FleetFault::kOwnerKilled, "owner_killed"},
    {FleetFault::kOwnerAndWorkers, "owner_and_workers"},
    {FleetFault::kAllKilled, "all_killed"},
    {FleetFault::kRestarts, "restarts"},
    {FleetFault::kConfiguration, "configuration"},
    {FleetFault::kWave, "wave"},
}};

struct FleetEvent {
  base::Micros at{};
  base::Micros span{};
  FleetFault fault = FleetFault::kStoreRefuses;
  std::uint64_t target = 0;  // selects daemons, boxes or a pool
};

// Seeds take turns: faults all the time; a few at a time; groups of faults that
// overlap, with calm times between them. Draws from `among`, or from all faults
// if that is empty.
std::vector<FleetEvent> DrawFleetSchedule(std::uint64_t seed,
                                          base::Micros length,
                                          std::vector<FleetFault> among = {});
std::string TextOf(const FleetEvent& event);

class FleetSoak {
 public:
  FleetSoak(const std::string& programs,
            const SoakForm& form,
            std::vector<FleetEvent> schedule,
            std::uint64_t seed);

  // Plays the schedule, then waits until all that was accepted is over.
  void Run(base::Micros length);
  std::vector<std::string> Broken() const;
  std::string Summary() const;
  void CopyLogs(const std::string& to) const { this->cluster.CopyLogs(to); }

 private:
  void Tick();
  void Begin(const FleetEvent& event);
  void End(const FleetEvent& event);
  void SetMoods(const FleetEvent& event, StoreStandin::Mood mood);
  void Kill(const std::string& daemon);
  void StartEnded();
  void RestartInTurn(base::Micros now);
  void LoseWorkers(const FleetEvent& event);
  void SetCut(const FleetEvent& event, bool is_cut);
  void PutConfig();
  void PutWave(const FleetEvent& event);
  std::string PoolOf(const FleetEvent& event) const;
  std::vector<std::string> DaemonsOf(const FleetEvent& event) const;
  std::vector<std::string> BoxesOf(const FleetEvent& event) const;

  SoakForm form;
  JobCluster cluster;
  std::vector<FleetEvent> schedule;
  std::vector<FleetEvent> under_way;
  std::size_t next_event = 0;
  base::Micros began{};
  base::Micros last_fault{};
  base::Micros last_look{};
  bool is_healing = false;
  std::uint64_t seed;
  int config_version = 1;  // the cluster's own
  std::vector<std::string> extra_queues;
  int wave_count = 0;
  std::vector<std::string> to_restart;
  base::Micros restart_at{};  // when the one at its end was told to stop
  std::unique_ptr<SoakCallers> callers;
  std::unique_ptr<SoakJudge> judge;
  std::vector<std::string> faults;
};

}  // namespace quartzhoist::testing

#endif  // TESTING_FLEET_SOAK_H_
