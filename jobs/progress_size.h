// Bounds on the bytes that a job's stored progress takes.

#ifndef JOBS_PROGRESS_SIZE_H_
#define JOBS_PROGRESS_SIZE_H_

#include <cstddef>

#include "jobs/job.h"
#include "jobs/progress.h"

namespace quartzhoist::jobs {

// Bytes that a placed run adds to the encoded progress at most: its placement,
// and then its failures or the loss of its worker. Holds for workers and boxes
// with names of up to 16 bytes, and for up to 9,999 owners of the shard.
inline constexpr std::size_t kMaxPlacementBytes = 57;
inline constexpr std::size_t kMaxOutcomeBytes = 84;
inline constexpr std::size_t kMaxRunBytes =
    kMaxPlacementBytes + kMaxOutcomeBytes;

// The part of the encoded progress that tells which tasks are done: now, and
// once all of them are.
std::size_t DoneBytes(const Progress& progress);
std::size_t MaxDoneBytes(const JobSpec& spec);

// Bytes that the job's progress needs to get it done: all marks of done tasks,
// and the runs that must be placed at the same time.
std::size_t NeededBytes(const JobSpec& spec);

}  // namespace quartzhoist::jobs

#endif  // JOBS_PROGRESS_SIZE_H_
