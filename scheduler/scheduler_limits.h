// Bounds and durations under which one ownership of a shard schedules.

#ifndef SCHEDULER_SCHEDULER_LIMITS_H_
#define SCHEDULER_SCHEDULER_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "base/clock.h"
#include "scheduler/fleet.h"
#include "scheduler/job.h"

namespace quartzhoist::scheduler {

struct SchedulerLimits {
  base::Micros lease_duration{};  // granted to a worker at a time
  // Bound on every lease, counted from the last ownership confirmation.
  base::Micros max_lease_after_confirmation{};
  // Longest lease that one command grants, on any clock.
  base::Micros max_grant{};
  // Workers shorten any longer grant to this, on any clock.
  base::Micros max_lease{};
  base::Micros max_stop_time{};  // upper bound for stopping a run
  // Nothing is started on a worker whose announcement is older.
  base::Micros max_announcement_age = base::Micros::max();
  std::uint64_t epoch = 1;  // of this ownership, counted from 1
  int shards = 1;           // the jobs are partitioned into these
  // Encoded progress of a job that a row of the store holds.
  std::size_t max_progress_bytes = kNoRowLimit;
  // Durations of box moves and of box maintenance.
  FleetTimings fleet;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_SCHEDULER_LIMITS_H_
