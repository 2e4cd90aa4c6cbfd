// Explains to operators why a job's tasks wait. Performs no I/O.

#ifndef ENTRY_EXPLAIN_H_
#define ENTRY_EXPLAIN_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "entry/job_access.h"
#include "jobs/progress.h"
#include "jobs/queue.h"
#include "scheduler/job.h"
#include "scheduler/waiting_tasks.h"

namespace quartzhoist::entry {

inline constexpr std::size_t kMaxExplainedTasks = 50;

// A job as the owner of its shard sees it.
struct OwnedJob {
  const scheduler::Job* job = nullptr;
  scheduler::ExplainedTasks tasks;  // at most kMaxExplainedTasks
  int shard = 0;
  base::Micros age{};
};
// A job as the store's rows describe it to a daemon that does not own its
// shard.
struct StoredJob {
  std::string job;
  int shard = 0;
  jobs::Progress progress;
  std::string queue;            // empty if no row names it
  std::optional<int> priority;  // of the queue
  std::string owner;            // daemon that holds the shard; empty: none
  base::Micros age{};
};
// The answers, as JSON.
std::string ExplainOwnedJob(const OwnedJob& owned);
std::string ExplainStoredJob(const StoredJob& stored);

// Whether the holder of a key of the organisation `caller` may have the job
// explained. Stricter than DecideJobAccess(): a queue that is open to callers
// is not open to whoever reaches the metrics address.
JobAccess DecideExplainAccess(const jobs::Config& config,
                              const std::string& caller,
                              const JobOrigin& origin);

// Limits the explanations that a daemon gives per second, so that they take
// nothing from scheduling on a small box.
class ExplainLimit {
 public:
  // False if the limit is reached; the request is then not counted.
  bool Take(base::Micros now);

 private:
  static constexpr std::size_t kPerSecond = 4;

  // Times of the latest requests, in a ring that begins at `oldest`.
  std::array<std::optional<base::Micros>, kPerSecond> taken;
  std::size_t oldest = 0;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_EXPLAIN_H_
