// Tests of the allocation of cores to pools.

#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "scheduler/fleet.h"

namespace quartzhoist::scheduler {
namespace {

RC_BOOST_PROP(AllocationFitsTotalAndFavoursUrgentDemand, ()) {
  std::vector<FleetPool> pools;
  const int count = *rc::gen::inRange(1, 6);
  double urgent = 0.0;
  for (int i = 0; i < count; ++i) {
    FleetPool pool{.name = std::to_string(i), .spare = false, .demand = {}};
    pool.demand[0] = {.current_cores = *rc::gen::inRange(0, 300) * 1.0,
                      .expected_cores = *rc::gen::inRange(0, 300) * 1.0};
    pool.demand[1] = {.current_cores = *rc::gen::inRange(0, 300) * 1.0,
                      .expected_cores = *rc::gen::inRange(0, 300) * 1.0};
    urgent += pool.demand[0].current_cores;
    pools.push_back(pool);
  }
  const double total = *rc::gen::inRange(0, 1500);
  const auto allocated = AllocateCores(pools, total, 16.0);
  double sum = 0.0;
  for (const FleetPool& pool : pools) {
    sum += allocated.at(pool.name);
    // Current urgent demand is covered in full if the total allows it.
    if (urgent <= total)
      RC_ASSERT(allocated.at(pool.name) >=
                pool.demand.at(0).current_cores - 1e-6);
  }
  RC_ASSERT(sum <= total + 1e-6);
}

}  // namespace
}  // namespace quartzhoist::scheduler
