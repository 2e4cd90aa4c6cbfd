// Explains to operators why a job's tasks wait. Performs no I/O.

#ifndef ENTRY_EXPLAIN_H_
#define ENTRY_EXPLAIN_H_

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
// Explanations of a daemon: they must take nothing from scheduling on a small
// box.
inline constexpr std::size_t kMaxExplanationsPerSecond = 4;

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

}  // namespace quartzhoist::entry

#endif  // ENTRY_EXPLAIN_H_
