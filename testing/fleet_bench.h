// Views and timings for tests of the fleet planner.

#ifndef TESTING_FLEET_BENCH_H_
#define TESTING_FLEET_BENCH_H_

#include <chrono>
#include <string>

#include "scheduler/fleet.h"

namespace quartzhoist::testing {

inline constexpr scheduler::FleetTimings kFleetTimings{
    .move_duration = std::chrono::milliseconds(1500),
    .maintenance_duration = std::chrono::milliseconds(2000)};

// A box of 16 cores that runs nothing and may be moved.
inline scheduler::FleetBox IdleBox(const std::string& name,
                                   const std::string& pool) {
  return {.name = name,
          .pool = pool,
          .worker = {.id = name + "-life"},
          .available = true,
          .idle = true,
          .long_running_tasks = 0,
          .cores = 16.0,
          .busy_cores = 0.0};
}

}  // namespace quartzhoist::testing

#endif  // TESTING_FLEET_BENCH_H_
