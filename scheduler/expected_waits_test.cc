// Tests of the expected waits, computed from pools' work and from a scheduler's
// tasks, workers and plan of boxes.

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/expected_waits.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::seconds;
using testing::SchedulerBench;

jobs::Queue QueueOf(int priority) {
  jobs::Queue queue;
  queue.name = "queue" + std::to_string(priority);
  queue.service = "pool";
  queue.priority = priority;
  queue.target_latency = seconds(4);
  return queue;
}

bool HasFigure(const PoolWork& pool) {
  return !ComputeExpectedWaits({QueueOf(0)}, {{"pool", pool}}).empty();
}

void ExpectWait(const PoolWork& pool,
                int priority,
                base::Micros within_rate,
                base::Micros over_rate) {
  const ExpectedWait wait =
      ComputeExpectedWaits({QueueOf(priority)}, {{"pool", pool}})
          .at(QueueOf(priority).name);
  BOOST_TEST(wait.within_rate.count() == within_rate.count());
  BOOST_TEST(wait.over_rate.count() == over_rate.count());
}

// A task counts for a new job only if it would be placed before it. Otherwise
// jobs would be rejected for work that never delays them.
BOOST_AUTO_TEST_CASE(OnlyWorkPlacedBeforeANewJobIsAhead) {
  PoolWork pool;
  pool.usable_cores = 10.0;
  pool.Add(0, SchedulingClass::kLate, {.core_seconds = 10.0});
  pool.Add(1, SchedulingClass::kStarted, {.core_seconds = 20.0});
  pool.Add(1, SchedulingClass::kNotStarted, {.core_seconds = 40.0});
  pool.Add(1, SchedulingClass::kLate, {.core_seconds = 80.0});
  pool.Add(1, SchedulingClass::kOverRate, {.core_seconds = 160.0});
  pool.Add(1, SchedulingClass::kExpired, {.core_seconds = 320.0});
  pool.Add(2, SchedulingClass::kStarted, {.core_seconds = 640.0});
  ExpectWait(pool, 0, seconds(0), seconds(1));
  ExpectWait(pool, 1, seconds(7), seconds(31));
  ExpectWait(pool, 2, seconds(95), seconds(95));
}

// Boxes that a pool is about to get do its work too, and tasks that fit its
// free cores are about to be placed: without that, a pool that has just become
// busy would reject jobs. Cores of long-running tasks do no other work.
BOOST_AUTO_TEST_CASE(RateIsOfTheCoresThatThePoolIsAboutToGet) {
  PoolWork pool;
  BOOST_TEST(!HasFigure(pool));
  pool.usable_cores = 10.0;
  pool.Add(0, SchedulingClass::kStarted,
           {.core_seconds = 60.0, .ready_cores = 12.0});
  pool.allocated_cores = 30.0;
  ExpectWait(pool, 0, seconds(2), seconds(2));
  pool.long_running_cores = 10.0;
  ExpectWait(pool, 0, seconds(3), seconds(3));
  pool.free_cores = 13.0;
  ExpectWait(pool, 0, seconds(0), seconds(0));
  pool.allocated_cores = 0.0;
  BOOST_TEST(!HasFigure(pool));
}

// A worker of four cores, filled by the first step of a job.
struct WaitBench {
  explicit WaitBench(const std::vector<jobs::Step>& steps) {
    jobs::Config config;
    config.services.push_back({.name = "pool"});
    config.queues = {QueueOf(0), QueueOf(1)};
    config.organisations = {
        {.name = "poor",
         .keys = {},
         .quota = {.cpu_millis = 1, .memory_mb = 1, .gpus = 0}}};
    this->bench.scheduler.SetConfig(config, this->bench.now);
    this->bench.scheduler.UpdateWorker(SchedulerBench::Worker("w"),
                                       this->bench.now);
    this->bench.Report("w", {});
    this->Add("running", steps);
    this->bench.RunPass();
    BOOST_REQUIRE(this->bench.scheduler.FindWorker("w")->runs.size() == 4U);
  }

  static jobs::Step Tasks(int count) {
    jobs::Step step = SchedulerBench::OneTask();
    step.tasks = count;
    return step;
  }

  void Add(const std::string& id,
           const std::vector<jobs::Step>& steps,
           const std::string& organisation = "") {
    jobs::JobSpec spec;
    spec.steps = steps;
    Job job = MakeJob(id, QueueOf(0), spec, {}, this->bench.now, {});
    job.organisation = organisation;
    this->bench.scheduler.AddJob(std::move(job), this->bench.now);
  }

  std::int64_t WaitMillis(int priority = 0) const {
    return base::Millis(this->bench.scheduler.ExpectedWaits(this->bench.now)
                            .at(QueueOf(priority).name)
                            .within_rate);
  }

  SchedulerBench bench{1};
};

// The later steps of a job that runs are placed before new jobs, and are not
// ready yet; those of a job that has not begun may come after them. A gang is
// queued by one of its tasks and takes the cores of all.
BOOST_AUTO_TEST_CASE(LaterStepsOfBegunJobsAndGangsAreAhead) {
  jobs::Step later = WaitBench::Tasks(8);
  later.depends_on = {0};
  WaitBench waits({WaitBench::Tasks(4), later});
  BOOST_TEST(waits.WaitMillis() == 2000);
  jobs::Step gang = WaitBench::Tasks(4);
  gang.gang = true;
  waits.Add("other", {gang, later});
  BOOST_TEST(waits.WaitMillis() == 3000);
  // After their objective of 6 s both jobs come after new ones.
  waits.bench.now += seconds(7);
  BOOST_TEST(waits.WaitMillis(0) == 0);
  BOOST_TEST(waits.WaitMillis(1) == 3000);
}

// Guards against rejections of other organisations' jobs for tasks that wait
// for their quota, are long-running, fill gaps or fit on no worker.
BOOST_AUTO_TEST_CASE(TasksThatTakeNoCoresFromNewJobsAreNotAhead) {
  WaitBench waits({WaitBench::Tasks(4)});
  jobs::Step large = WaitBench::Tasks(100);
  large.task_resources.memory_mb = 100'000;
  jobs::Step filling = WaitBench::Tasks(100);
  filling.fills = true;
  filling.task_resources.memory_mb = 3900;
  waits.Add("poor", {WaitBench::Tasks(100)}, "poor");
  waits.Add("large", {large});
  waits.Add("filling", {filling});
  waits.Add("long-running", {SchedulerBench::OneLongRunningTask()});
  BOOST_TEST(waits.WaitMillis() > 0);
  waits.bench.RunPass();
  BOOST_TEST(waits.WaitMillis() == 0);
}

}  // namespace
}  // namespace quartzhoist::scheduler
