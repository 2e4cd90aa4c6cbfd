// A fault soak: real daemons on the platform's stand-ins, callers that hand in
// jobs, and a seeded schedule of faults that come in series and overlap. It
// judges what callers and workers see.

#ifndef TESTING_SOAK_H_
#define TESTING_SOAK_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/enum_names.h"
#include "testing/job_cluster.h"

namespace quartzhoist::testing {

enum class SoakFault {
  kStoreBusy,      // 503: nothing is done
  kStoreLoses,     // writes are done, their answers lost
  kStoreSilent,    // no answer, nothing is done
  kStoreCuts,      // connections are cut, nothing is done
  kStoreForgets,   // its history
  kDaemonCut,      // from the store
  kDaemonSilence,  // its open connections to the store, for good
  kDaemonKilled,   // and started again
  kDaemonStopped,  // told to stop, and started again
  kDaemonPaused,
  kDaemonReloads,   // its settings
  kWorkerCrashes,   // another life comes under a new id
  kWorkerRestarts,  // another life comes under the same id
};

inline constexpr base::EnumNames<SoakFault, 13> kSoakFaultNames{{
    {SoakFault::kStoreBusy, "store_busy"},
    {SoakFault::kStoreLoses, "store_loses"},
    {SoakFault::kStoreSilent, "store_silent"},
    {SoakFault::kStoreCuts, "store_cuts"},
    {SoakFault::kStoreForgets, "store_forgets"},
    {SoakFault::kDaemonCut, "daemon_cut"},
    {SoakFault::kDaemonSilence, "daemon_silence"},
    {SoakFault::kDaemonKilled, "daemon_killed"},
    {SoakFault::kDaemonStopped, "daemon_stopped"},
    {SoakFault::kDaemonPaused, "daemon_paused"},
    {SoakFault::kDaemonReloads, "daemon_reloads"},
    {SoakFault::kWorkerCrashes, "worker_crashes"},
    {SoakFault::kWorkerRestarts, "worker_restarts"},
}};

struct SoakEvent {
  base::Micros at{};    // from the beginning
  base::Micros span{};  // until it is over; 0: at once
  SoakFault fault = SoakFault::kStoreBusy;
  int target = 0;  // which daemon or box
};

std::vector<SoakEvent> DrawSchedule(std::uint64_t seed, base::Micros length);
std::string TextOf(const SoakEvent& event);

class Soak {
 public:
  Soak(const std::string& programs, std::vector<SoakEvent> schedule);

  // Plays the schedule, then waits until all that was accepted is over.
  void Run(base::Micros length);

  // Broken guarantees, as text.
  const std::vector<std::string>& broken() const { return this->faults; }
  int accepted() const { return static_cast<int>(this->accepted_jobs.size()); }
  // Answers that said that the job never runs.
  int refused() const { return this->refusal_count; }
  // The refusals of jobs that could not be done in time.
  int rejected() const { return this->rejection_count; }

 private:
  void Tick();
  void Begin(const SoakEvent& event);
  void End(const SoakEvent& event);
  void StartAgain(const std::string& id);
  struct Caller {
    std::string job;
    std::string queue;
    int tasks = 0;  // of each of its two steps
  };

  void HandIn();
  void Submit(const Caller& caller);
  // Submits the refused jobs whose callers are to return now.
  void ReturnCallers();
  void Heal();
  bool AllOver();
  void JudgeStates();

  JobCluster cluster;
  std::vector<SoakEvent> schedule;
  std::vector<SoakEvent> under_way;
  std::size_t next_event = 0;
  base::Micros began{};
  bool is_healing = false;
  int job_count = 0;
  std::mt19937_64 random{1};  // of the callers
  std::set<std::string> accepted_jobs;
  std::set<std::string> refused_jobs;  // at their latest try
  std::vector<std::pair<base::Micros, Caller>> returning;  // and when
  int refusal_count = 0;
  int rejection_count = 0;
  std::map<std::string, std::string> final_states;
  std::vector<std::string> faults;
};

}  // namespace quartzhoist::testing

#endif  // TESTING_SOAK_H_
