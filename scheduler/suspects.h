// Detection of tasks that crash their workers: the suspicion that follows from
// a task's losses, and the losses of which it isn't known yet whether the
// worker crashed.

#ifndef SCHEDULER_SUSPECTS_H_
#define SCHEDULER_SUSPECTS_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "jobs/progress.h"

namespace quartzhoist::scheduler {

enum class Suspicion {
  kNone,
  kLow,       // one worker was lost; any task that ran there may be the cause
  kProbe,     // start alone, so that a crash affects no other task
  kDeferred,  // don't start yet: it may become known whether the workers
  // crashed, or a last try of a long-running task is delayed
  kGiveUp,  // don't start any more
};

// `last_tries`: the runs placed after three workers had been lost.
// `since_last_loss`: time since the newest loss was recorded.
// A long-running task is given up only after its last tries were lost as well,
// because it is then missing for good from a job that keeps running.
Suspicion AssessSuspicion(const jobs::WorkerLosses& losses,
                          const jobs::RunNumbers& last_tries,
                          base::Micros since_last_loss,
                          bool is_long_running = false);
// True if the next run counts as one of the last tries.
bool IsLastTry(const jobs::WorkerLosses& losses);

// A suspected run that has been running for this long is no longer suspected.
inline constexpr base::Micros kSuspectWatchTime = std::chrono::seconds(2);
// A run that has been running for this long did not crash its worker by
// starting.
inline constexpr base::Micros kStartupCrashWindow = std::chrono::seconds(3);
// Time that a task which must start alone waits for an idle worker.
inline constexpr base::Micros kIdleWorkerWait = std::chrono::seconds(1);

// Worker incarnations that became unresponsive while tasks ran on them, and the
// jobs of these tasks. An incarnation that answers again has not crashed; if
// another incarnation answers on its box, it has.
class UnresolvedLosses {
 public:
  void Add(const jobs::WorkerIncarnation& incarnation,
           const std::string& box,
           const std::string& job);
  // Removes the entry of this incarnation and returns the jobs in it.
  std::set<std::string> Remove(const jobs::WorkerIncarnation& incarnation);
  // Returns the incarnations in this collection on the box, except
  // `incarnation`.
  std::vector<jobs::WorkerIncarnation> OtherIncarnationsOn(
      const std::string& box,
      const jobs::WorkerIncarnation& incarnation) const;
  std::size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    std::string box;
    std::set<std::string> jobs;
  };
  std::map<jobs::WorkerIncarnation, Entry> entries;
  std::map<std::string, std::set<jobs::WorkerIncarnation>> by_box;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_SUSPECTS_H_
