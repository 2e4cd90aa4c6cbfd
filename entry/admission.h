// Decides whether a new job is rejected since its shard's owner expects it to
// wait until it would be of no use to its caller. Performs no I/O.

#ifndef ENTRY_ADMISSION_H_
#define ENTRY_ADMISSION_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "base/clock.h"
#include "entry/shard_selector.h"
#include "jobs/job.h"
#include "jobs/queue.h"

namespace quartzhoist::entry {

struct AdmissionRequest {
  base::Micros objective{};  // of the job, from its spec and its queue
  base::Micros chain{};      // longest chain of its steps' estimates
  // Configured priorities that are more urgent than that of the job's queue.
  int priority = 0;
  // Long-running, repeating, or limited to leftover CPU time: never rejected.
  bool is_long_running = false;
  std::string queue;
  std::string organisation;
};

AdmissionRequest MakeAdmissionRequest(const jobs::Config& config,
                                      const jobs::Queue& queue,
                                      const jobs::JobSpec& job,
                                      const std::string& organisation);

// Whether expected waits affect any job under this configuration.
bool IsAdmissionInForce(const jobs::Config& config);

// Consequence of a shard's expected wait for a job.
enum class Timeliness {
  kOnTime,  // done within its objective, or nothing is known of its wait
  kLate,    // done later, but still useful
  kUseless,
};
Timeliness TimelinessIn(const AdmissionRequest& request, const ShardLoad& load);

struct Rejection {
  int status = 0;
  std::chrono::seconds retry_after{};
  std::string reason;
};

class Admission {
 public:
  explicit Admission(std::uint64_t seed);

  // `load` is that of the job's shard. Nothing if the job is to be admitted.
  std::optional<Rejection> Decide(const AdmissionRequest& request,
                                  const ShardLoad& load);

 private:
  std::mt19937_64 random;
};

// Jobs that may be stored: their submission ended with an unknown outcome, or
// their row was found. A row may still appear after a read did not find it.
class UnknownOutcomes {
 public:
  void Add(const std::string& job, base::Micros now);
  // True also for other jobs if there were too many to remember.
  bool MayContain(const std::string& job, base::Micros now);

 private:
  struct Generation {
    std::set<std::string> jobs;
    bool is_full = false;
  };

  void Rotate(base::Micros now);

  std::array<Generation, 2> generations;  // the current one is the first
  base::Micros begun{};                   // the current generation
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_ADMISSION_H_
