// Authentication of callers by access key, and the check of submitted jobs
// against the organisation's quota.

#ifndef ENTRY_CALLER_RIGHTS_H_
#define ENTRY_CALLER_RIGHTS_H_

#include <optional>
#include <string>

#include "http/message.h"
#include "jobs/job.h"
#include "jobs/queue.h"

namespace quartzhoist::entry {

// The organisation whose access key the request carries; empty if the queue
// requires no key and the request has no known one. Nothing if the queue
// requires a key and the request has no known one.
std::optional<std::string> AuthenticateCaller(const jobs::Config& config,
                                              const jobs::Queue& queue,
                                              const http::Headers& headers);

// Whether the job contains a gang that needs more than the organisation's
// quota.
bool GangExceedsQuota(const jobs::Config& config,
                      const std::string& organisation,
                      const jobs::JobSpec& spec);

}  // namespace quartzhoist::entry

#endif  // ENTRY_CALLER_RIGHTS_H_
