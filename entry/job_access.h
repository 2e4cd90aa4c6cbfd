// Decides which callers may read, cancel and resubmit a job.

#ifndef ENTRY_JOB_ACCESS_H_
#define ENTRY_JOB_ACCESS_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "entry/shards.h"
#include "entry/tables.h"
#include "jobs/progress.h"
#include "jobs/queue.h"
#include "platform/store.h"

namespace quartzhoist::entry {

inline constexpr std::size_t kJobIdDigits = 16;  // hexadecimal

bool IsJobId(std::string_view text);

// The id of the job that a request's path names; empty if it names none.
std::string JobIdIn(std::string_view path);

// Organisation that submitted a job, and its queue.
struct JobOrigin {
  // Empty if the job was accepted without one; nothing if it is not known.
  std::optional<std::string> organisation;
  std::string queue;  // empty if it is not known
};
JobOrigin OriginOf(const jobs::Progress& progress);
JobOrigin OriginOf(const AcceptedJob& accepted);

enum class JobAccess {
  kAllowed,
  kDenied,
  kUndecided,  // the job's organisation is not known
};

// `caller` is the organisation of the caller's access key; empty without a key.
JobAccess DecideJobAccess(const jobs::Config& config,
                          const std::string& caller,
                          const JobOrigin& origin);

// Origin of a job as its accepted row names it.
struct AcceptedOrigin {
  bool is_known = false;            // the store has answered
  std::optional<JobOrigin> origin;  // nothing if the row is gone
};
void ReadAcceptedOrigin(
    platform::Store& store,
    const std::string& job,
    const Shard& shard,
    std::function<void(const AcceptedOrigin& accepted)> on_read);

}  // namespace quartzhoist::entry

#endif  // ENTRY_JOB_ACCESS_H_
