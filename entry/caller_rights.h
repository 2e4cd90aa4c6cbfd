// Who a caller is, by its access key, and what its organisation may hand in.

#ifndef ENTRY_CALLER_RIGHTS_H_
#define ENTRY_CALLER_RIGHTS_H_

#include <optional>
#include <string>

#include "http/message.h"
#include "jobs/job.h"
#include "jobs/queue.h"

namespace quartzhoist::entry {

// The caller's organisation; empty where none is asked for and none named.
// Nothing if the queue asks for a key that the configuration knows, and none
// came.
std::optional<std::string> AuthenticateCaller(const jobs::Config& config,
                                              const jobs::Queue& queue,
                                              const http::Headers& headers);

// Does the job hold a gang that needs more than the organisation's quota?
bool GangExceedsQuota(const jobs::Config& config,
                      const std::string& organisation,
                      const jobs::JobSpec& spec);

}  // namespace quartzhoist::entry

#endif  // ENTRY_CALLER_RIGHTS_H_
