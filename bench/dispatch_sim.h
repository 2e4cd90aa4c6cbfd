// Requests against a pool of targets in simulated time, through the dispatcher
// or a plain baseline. No network, no processes.

#ifndef BENCH_DISPATCH_SIM_H_
#define BENCH_DISPATCH_SIM_H_

#include <cstdint>

#include "base/enum_names.h"
#include "bench/signature.h"

namespace quartzhoist::bench {

enum class Routing { kDispatcher, kLeastLoaded, kRoundRobin };

inline constexpr base::EnumNames<Routing, 3> kRoutingNames{{
    {Routing::kDispatcher, "dispatcher"},
    {Routing::kLeastLoaded, "least loaded"},
    {Routing::kRoundRobin, "round robin"},
}};

struct TrafficShape {
  double load = 1;     // arrivals over what the targets can run
  double failing = 0;  // share of targets that fail everything at once
  int targets = 10;
  int slots = 8;
  double seconds = 30;
  double urgent_share = 0.5;
};

struct TrafficResult {
  double goodput = 0;          // answered in time, over what could have been
  double urgent_answered = 0;  // share of the urgent
  double urgent_p99_ms = 0;    // of the urgent answered
  double patient_answered = 0;
  double extra_tries = 0;      // tries beyond the first, a request
  double refused_at_once = 0;  // share refused within 1 ms of arrival
};

TrafficResult SimulateTraffic(const TrafficShape& shape,
                              Routing routing,
                              std::uint64_t seed,
                              Signature& signature);

}  // namespace quartzhoist::bench

#endif  // BENCH_DISPATCH_SIM_H_
