// Measures the decisions against baselines, in simulated time, from a fixed
// seed, and prints their signature.

#include <algorithm>
#include <vector>

#include <fmt/format.h>

#include "bench/dispatch_sim.h"
#include "bench/fleet_sim.h"
#include "testing/program.h"
#include "waves/planner.h"

namespace {

using namespace quartzhoist;
using namespace quartzhoist::bench;

constexpr std::uint64_t kSeed = 20261202;

struct Scenario {
  const char* name;
  FailurePlan failures;
};

const std::vector<Scenario> kScenarios{
    {"no failures", {}},
    {"a rack fails", {.rack = true}},
    {"a zone fails", {.zone = true}},
    {"boxes fail", {.single_boxes = 6}},
};

// One box at a time takes days at the large size, and a lower pace shows its
// effect without failures: the long runs are left out.
bool IsShown(const FleetShape& shape, const Scenario& scenario, Policy policy) {
  const bool fails = scenario.failures.rack || scenario.failures.zone ||
                     scenario.failures.single_boxes > 0;
  if (shape.boxes < 1000)
    return true;
  return policy != Policy::kOneAtATime && (!fails || scenario.failures.zone);
}

void PrintWaves(Signature& signature) {
  fmt::print(
      "\nMaintenance roll-out. bound: ceil(boxes / may be away) x mean time "
      "away;\ndrawn: the same from the times drawn; spare: most boxes away at "
      "once, all pools;\nidle: box-hours serving beyond need; lowest: least "
      "share of any service,\nfailures included; broken: departures that went "
      "below need\n");
  fmt::print(
      "{:<10} {:<13} {:<14} {:>4} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} "
      "{:>6} {:>7} {:>6}\n",
      "fleet", "failures", "policy", "pace", "hours", "bound", "/bound",
      "/drawn", "spare", "idle", "moves", "lowest", "broken");
  const std::vector<FleetShape> shapes{
      {.name = "3 zones", .pools = 5, .boxes = 50, .zones = 3},
      {.name = "4 zones", .pools = 5, .boxes = 50, .zones = 4},
      {.name = "two years", .pools = 251, .boxes = 7400, .zones = 9},
  };
  for (const FleetShape& base : shapes) {
    for (const Scenario& scenario : kScenarios) {
      for (const auto& [policy, policy_name] : kPolicyNames) {
        if (!IsShown(base, scenario, policy))
          continue;
        const std::vector<int> paces =
            policy == Policy::kRolling && base.boxes < 1000
                ? std::vector<int>{100, 0}
                : std::vector<int>{100};
        for (const int pace : paces) {
          FleetShape shape = base;
          shape.pace = pace;
          const RollOut out =
              Simulate(shape, policy, scenario.failures, kSeed, signature);
          fmt::print(
              "{:<10} {:<13} {:<14} {:>4} {:>6.2f} {:>6.2f} {:>6.2f} "
              "{:>6.2f} {:>6} {:>7.1f} {:>6} {:>6.0f}% {:>6}{}\n",
              shape.name, scenario.name, policy_name, pace, out.hours,
              out.bound_hours, out.hours / out.bound_hours,
              out.hours / out.drawn_bound_hours, out.spare_boxes,
              out.idle_box_hours, out.moves, out.lowest_share * 100, out.broken,
              out.finished ? "" : "  NOT FINISHED");
        }
      }
    }
  }
}

void PrintTraffic(Signature& signature) {
  fmt::print(
      "\nDispatch under overload (10 targets x 8 slots, 20 ms mean, "
      "urgent 500 ms, patient 5 s)\n");
  fmt::print("{:>5} {:>8} {:<13} {:>8} {:>8} {:>8} {:>8} {:>7} {:>9}\n", "load",
             "failing", "routing", "goodput", "urgent", "p99 ms", "patient",
             "extra", "at once");
  for (const double load : {0.7, 2.0, 10.0}) {
    for (const double failing : {0.0, 0.1}) {
      for (const auto& [routing, name] : kRoutingNames) {
        const TrafficResult out = SimulateTraffic(
            {.load = load, .failing = failing}, routing, kSeed, signature);
        fmt::print(
            "{:>5} {:>7.0f}% {:<13} {:>7.1f}% {:>7.1f}% {:>8.1f} "
            "{:>7.1f}% {:>7.3f} {:>8.1f}%\n",
            load, failing * 100, name, out.goodput * 100,
            out.urgent_answered * 100, out.urgent_p99_ms,
            out.patient_answered * 100, out.extra_tries,
            out.refused_at_once * 100);
      }
    }
  }
}

// The median time of one call, in microseconds.
template <typename Call>
double MedianMicros(int runs, Call call) {
  std::vector<double> times;
  for (int i = 0; i < runs; ++i) {
    const auto begin = std::chrono::steady_clock::now();
    call();
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - begin;
    times.push_back(took.count());
  }
  std::nth_element(times.begin(), times.begin() + runs / 2, times.end());
  return times[static_cast<std::size_t>(runs / 2)];
}

void PrintPlanCost() {
  fmt::print("\nOne plan (microseconds, median; not part of the signature)\n");
  fmt::print("{:>6} {:>6} {:>12} {:>12} {:>12}\n", "boxes", "pools", "index",
             "all pools", "one pool");
  const std::vector<FleetShape> sizes{{.pools = 10, .boxes = 50},
                                      {.pools = 10, .boxes = 500},
                                      {.pools = 50, .boxes = 1500},
                                      {.pools = 125, .boxes = 3700},
                                      {.pools = 251, .boxes = 7400}};
  for (const FleetShape& shape : sizes) {
    const table::SnapshotPtr snapshot = MakeFleet(shape);
    waves::Facts facts;
    for (const auto& [name, box] : snapshot->boxes())
      facts[name] = {};
    const double index =
        MedianMicros(31, [&] { const waves::Fleet fleet(snapshot, facts); });
    const waves::Fleet fleet(snapshot, facts);
    const double all = MedianMicros(31, [&] { waves::PlanAll(fleet); });
    const double one = MedianMicros(31, [&] { waves::PlanPool(fleet, "p0"); });
    fmt::print("{:>6} {:>6} {:>12.1f} {:>12.1f} {:>12.1f}\n", shape.boxes,
               shape.pools, index, all, one);
  }
}

void Run(bool only_traffic) {
  Signature signature;
  if (!only_traffic)
    PrintWaves(signature);
  PrintTraffic(signature);
  if (!only_traffic)
    PrintPlanCost();
  fmt::print("\nsignature {:016x}\n", signature.value());
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("quartzhoist-bench", "Measures the decisions");
  options.add_options()("traffic", "Only the dispatcher (another signature)");
  return testing::RunProgram(std::move(options), argc, argv,
                             [](const cxxopts::ParseResult& given) {
                               Run(given.count("traffic") > 0);
                               return 0;
                             });
}
