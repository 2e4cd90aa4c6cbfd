// Tests of the growth that is expected from recent arrivals.

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/demand.h"
#include "scheduler/scheduler.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kJobCoreSeconds = 26.0;

BOOST_AUTO_TEST_CASE(SingleJobIsNoGrowthInOneOfSeveralShards) {
  DemandTrend demand(2);
  demand.RecordArrival("q", kJobCoreSeconds, seconds(10));
  BOOST_TEST(demand.ExpectedGrowth("q", milliseconds(10'500)) == 0.0);
}

// A queue's turn begins: forty jobs a second after two.
// A small fleet moves boxes for the first jobs of a rise.
BOOST_AUTO_TEST_CASE(AllArrivalsCountInASingleShard) {
  DemandTrend demand(1);
  demand.RecordArrival("q", kJobCoreSeconds, seconds(10));
  BOOST_TEST(demand.ExpectedGrowth("q", milliseconds(10'500)) ==
             kJobCoreSeconds);
  BOOST_TEST(demand.ExpectedGrowth("q", milliseconds(11'500)) == 0.0);
}

BOOST_AUTO_TEST_CASE(RushOfJobsIsGrowth) {
  DemandTrend demand(32);
  for (int i = 0; i < 2; ++i)
    demand.RecordArrival("q", kJobCoreSeconds, milliseconds(9000 + 400 * i));
  for (int i = 0; i < 40; ++i)
    demand.RecordArrival("q", kJobCoreSeconds, milliseconds(10'000 + 25 * i));
  BOOST_TEST(demand.ExpectedGrowth("q", seconds(11)) > 30 * kJobCoreSeconds);
}

// Guards against jobs that are recorded late, or in another order than they
// arrived in, and pass for arrivals of the last second.
BOOST_AUTO_TEST_CASE(ArrivalsCountWhenTheyArrived) {
  DemandTrend demand(1);
  demand.RecordArrival("q", kJobCoreSeconds, milliseconds(10'500));
  demand.RecordArrival("q", kJobCoreSeconds, milliseconds(9700));
  demand.RecordArrival("q", kJobCoreSeconds, milliseconds(10'600));
  demand.RecordArrival("q", kJobCoreSeconds, seconds(2));
  BOOST_TEST(demand.ExpectedGrowth("q", seconds(11)) == kJobCoreSeconds);
}

// Guards against a takeover that expects the growth of all stored jobs and
// moves the other pools' boxes. The stored jobs need five cores, and more work
// than that if they had arrived within a second.
BOOST_AUTO_TEST_CASE(StoredJobsAreNoGrowthAtATakeover) {
  for (const bool are_new : {false, true}) {
    testing::SchedulerBench bench(2);
    jobs::Config config;
    config.services = {{.name = "pool"}, {.name = "other"}};
    jobs::Queue queue;
    queue.name = "queue";
    queue.service = "pool";
    config.queues = {queue};
    bench.scheduler.SetConfig(config, bench.now);
    for (int i = 0; i < 12; ++i) {
      WorkerInfo worker =
          testing::SchedulerBench::Worker("w" + std::to_string(i));
      worker.service = i < 4 ? "pool" : "other";
      bench.scheduler.UpdateWorker(worker, bench.now);
      bench.Report(worker.incarnation.id, {});
    }
    jobs::Step step = testing::SchedulerBench::OneTask();
    step.task_resources.cpu_millis = 100;
    step.estimate_ms = 60'000;
    jobs::JobSpec spec;
    spec.steps.push_back(step);
    const base::Micros accepted = are_new ? bench.now : bench.now - seconds(30);
    for (int i = 0; i < 50; ++i) {
      bench.scheduler.AddJob(
          MakeJob("job-" + std::to_string(i), queue, spec, {}, accepted, {}),
          bench.now);
    }
    const std::size_t moves = testing::Only<MoveBox>(bench.RunPass()).size();
    BOOST_TEST((moves > 0) == are_new);
  }
}

// Mean growth, over time, that all shards together expect while `jobs_a_second`
// arrive at random at a steady rate, each in a random shard.
double GrowthOfSteadyLoad(int shards, double jobs_a_second) {
  constexpr int kSeconds = 200;
  std::mt19937_64 random(7);
  std::exponential_distribution<double> gap(jobs_a_second);
  std::vector<DemandTrend> demand(static_cast<std::size_t>(shards),
                                  DemandTrend(shards));
  double sum = 0.0;
  int samples = 0;
  double next = gap(random);
  for (int quarter = 8; quarter < 4 * kSeconds; ++quarter) {
    const base::Micros now = milliseconds(250 * quarter);
    for (; next < base::Seconds(now); next += gap(random)) {
      const auto at = base::Micros(static_cast<std::int64_t>(next * 1e6));
      demand[random() % demand.size()].RecordArrival("q", kJobCoreSeconds, at);
    }
    for (const DemandTrend& shard : demand)
      sum += shard.ExpectedGrowth("q", now);
    ++samples;
  }
  return sum / samples;
}

// The load of one queue of the whole fleet, split over 8 to 64 shards. Growth
// that is none moves boxes from pool to pool: without the standard error the
// shards together expect 0.28 of all work on 8 shards, and 0.67 of it on 64.
BOOST_AUTO_TEST_CASE(SteadyLoadIsNoGrowthHoweverManyShardsShareIt) {
  constexpr double kJobsASecond = 32.0;
  const double work = kJobsASecond * kJobCoreSeconds;
  for (const int shards : {8, 16, 32, 64})
    BOOST_TEST(GrowthOfSteadyLoad(shards, kJobsASecond) < 0.1 * work);
}

}  // namespace
}  // namespace quartzhoist::scheduler
