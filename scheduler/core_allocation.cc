// Allocation of the fleet's cores to pools.

#include <algorithm>
#include <set>

#include "scheduler/fleet.h"

namespace quartzhoist::scheduler {

std::map<std::string, double> AllocateCores(const std::vector<FleetPool>& pools,
                                            double total_cores,
                                            double box_cores) {
  std::map<std::string, double> allocated;
  std::set<int> priorities;
  double remaining = total_cores;
  // Cores of the minimum boxes that are not yet offset against demand.
  std::map<std::string, double> uncommitted;
  for (const FleetPool& pool : pools) {
    const double min_cores = std::min(remaining, pool.min_boxes * box_cores);
    allocated[pool.name] = min_cores;
    uncommitted[pool.name] = min_cores;
    remaining -= min_cores;
    for (const auto& [priority, demand] : pool.demand)
      priorities.insert(priority);
  }
  const auto allocate = [&](int priority, double PoolDemand::*kind) {
    std::map<std::string, double> wanted;
    double total_wanted = 0.0;
    for (const FleetPool& pool : pools) {
      const auto found = pool.demand.find(priority);
      if (found == pool.demand.end())
        continue;
      double& free = uncommitted[pool.name];
      const double covered = std::min(free, found->second.*kind);
      free -= covered;
      wanted[pool.name] = found->second.*kind - covered;
      total_wanted += wanted[pool.name];
    }
    if (total_wanted <= 0.0)
      return;
    const double fraction = std::min(1.0, remaining / total_wanted);
    for (const auto& [pool, cores] : wanted)
      allocated[pool] += fraction * cores;
    // Exactly zero once the cores have run out: a rounding error that is
    // allocated to the next level keeps a box from being reclaimed.
    remaining = fraction < 1.0 ? 0.0 : remaining - total_wanted;
  };
  for (const int priority : priorities) {
    allocate(priority, &PoolDemand::current_cores);
    allocate(priority, &PoolDemand::expected_cores);
  }
  return allocated;
}

}  // namespace quartzhoist::scheduler
