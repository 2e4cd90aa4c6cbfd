// Steps of a job as conditional writes on its row. Whoever holds an older
// version loses, so a start and an outcome are each recorded once.

#ifndef PLACEMENT_JOB_STEPS_H_
#define PLACEMENT_JOB_STEPS_H_

#include <string>

#include "placement/job.h"
#include "platform/transaction.h"
#include "table/stored_row.h"

namespace quartzhoist::placement {

std::string JobKey(const std::string& id);
std::string EncodeJob(const Job& job);
// Throws std::runtime_error on anything malformed.
Job DecodeJob(const table::StoredRow& stored);

// Writes `after` on condition that the row still has `epoch`.
platform::Transaction JobStep(const Job& after,
                              table::Version epoch,
                              const std::string& writer);

// A start also writes the box's host row, on condition that nobody wrote it
// since `host_version`: two who place jobs at once cannot overrun a box.
std::string HostKey(const std::string& box);
platform::Transaction StartStep(const Job& after,
                                table::Version epoch,
                                table::Version host_version,
                                const std::string& writer);

}  // namespace quartzhoist::placement

#endif  // PLACEMENT_JOB_STEPS_H_
