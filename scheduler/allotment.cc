// Allocation of the fleet's cores to pools.

#include <algorithm>
#include <set>

#include "scheduler/fleet.h"

namespace quartzhoist::scheduler {

std::map<std::string, double> AllocateCores(const std::vector<FleetPool>& pools,
                                            double total_cores,
                                            double box_cores) {
  std::map<std::string, double> allotted;
  std::set<int> priorities;
  double left = total_cores;
  // Cores of the minimum boxes that are not yet offset against demand.
  std::map<std::string, double> unused;
  for (const FleetPool& pool : pools) {
    const double least = std::min(left, pool.min_boxes * box_cores);
    allotted[pool.name] = least;
    unused[pool.name] = least;
    left -= least;
    for (const auto& [priority, need] : pool.demand)
      priorities.insert(priority);
  }
  const auto share = [&](int priority, double PoolDemand::*what) {
    std::map<std::string, double> wanted;
    double all_wanted = 0.0;
    for (const FleetPool& pool : pools) {
      const auto need = pool.demand.find(priority);
      if (need == pool.demand.end())
        continue;
      double& free = unused[pool.name];
      const double covered = std::min(free, need->second.*what);
      free -= covered;
      wanted[pool.name] = need->second.*what - covered;
      all_wanted += wanted[pool.name];
    }
    if (all_wanted <= 0.0)
      return;
    const double part = std::min(1.0, left / all_wanted);
    for (const auto& [pool, cores] : wanted)
      allotted[pool] += part * cores;
    left -= part * all_wanted;
  };
  for (const int priority : priorities) {
    share(priority, &PoolDemand::current_cores);
    share(priority, &PoolDemand::expected_cores);
  }
  return allotted;
}

}  // namespace quartzhoist::scheduler
