// Tasks under which workers were lost: how far each is suspected of crashing
// them, and which losses are still open.

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
  kSlight,  // one worker was lost: whatever ran there may be the cause
  kProbe,   // it starts alone, so that nothing else is lost with it
  kHeld,    // it waits until it is known what became of the workers
  kCause,   // it is not started any more
};

// `last_tries`: runs that were placed though three workers had been lost.
// `since_newest`: since the newest of the losses was noted. A lasting task is
// not the cause before its last tries were lost too: it is gone for good from a
// job that goes on.
Suspicion Judge(const jobs::WorkerLosses& losses,
                const jobs::RunNumbers& last_tries,
                base::Micros since_newest,
                bool is_lasting = false);
// Is the next run one of the last tries?
bool IsLastTry(const jobs::WorkerLosses& losses);

// How long a suspected run is watched: one that lives on is not the cause.
inline constexpr base::Micros kProbation = std::chrono::seconds(2);
// A run that was heard of for so long has not ended its worker by its start.
inline constexpr base::Micros kStartProof = std::chrono::seconds(3);
// A task that is to start alone waits this long for a worker that runs nothing.
inline constexpr base::Micros kWaitForIdle = std::chrono::seconds(1);

// Lives that fell silent with tasks on them, and the jobs of these tasks. A
// life that answers again has not crashed; one has where another answers on
// its box.
class OpenLosses {
 public:
  void Add(const jobs::WorkerIncarnation& life,
           const std::string& box,
           const std::string& job);
  // Takes what is open of this life out; the jobs concerned.
  std::set<std::string> Take(const jobs::WorkerIncarnation& life);
  // Other lives than this one that were lost on the box.
  std::vector<jobs::WorkerIncarnation> OthersOn(
      const std::string& box,
      const jobs::WorkerIncarnation& life) const;
  std::size_t size() const { return this->lives.size(); }

 private:
  struct Life {
    std::string box;
    std::set<std::string> jobs;
  };
  std::map<jobs::WorkerIncarnation, Life> lives;
  std::map<std::string, std::set<jobs::WorkerIncarnation>> by_box;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_SUSPECTS_H_
