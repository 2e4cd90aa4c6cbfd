// Tests of when the waiting tasks of an explained job are expected to start.

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/scheduler.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using testing::SchedulerBench;

// A worker of four cores, filled by a job with four tasks of one core and one
// second. The four tasks of its next step are not released yet.
struct StartBench {
  StartBench() {
    jobs::Config config;
    config.services.push_back({.name = "pool"});
    config.organisations = {
        {.name = "poor",
         .keys = {},
         .quota = {.cpu_millis = 1, .memory_mb = 1, .gpus = 0}}};
    this->bench.scheduler.SetConfig(config, this->bench.now);
    this->bench.scheduler.UpdateWorker(SchedulerBench::Worker("w"),
                                       this->bench.now);
    this->bench.Report("w", {});
    jobs::Step later = Tasks(4);
    later.depends_on = {0};
    this->Add("running", {Tasks(4), later});
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
           int priority = 0,
           const std::string& organisation = "") {
    jobs::Queue queue;
    queue.name = "queue" + std::to_string(priority);
    queue.service = "pool";
    queue.priority = priority;
    queue.target_latency = seconds(4);
    jobs::JobSpec spec;
    spec.steps = steps;
    Job job = MakeJob(id, queue, spec, {}, this->bench.now, {});
    job.organisation = organisation;
    this->bench.scheduler.AddJob(std::move(job), this->bench.now);
  }

  // In ms, of the job's waiting tasks; -1 without a figure.
  std::vector<std::int64_t> Starts(const std::string& job) const {
    const ExplainedTasks explained =
        this->bench.scheduler.ExplainJob(job, 9, this->bench.now).value();
    std::vector<std::int64_t> starts;
    for (const ExplainedTask& task : explained.tasks) {
      if (task.state == TaskState::kReady)
        starts.push_back(
            base::Millis(task.expected_start.value_or(milliseconds(-1))));
    }
    return starts;
  }

  SchedulerBench bench{1};
};

using Starts = std::vector<std::int64_t>;

// Guards against a figure for a new job in place of one for this task: only
// what is placed before it counts.
BOOST_AUTO_TEST_CASE(OnlyWorkAheadOfATaskDelaysItsExpectedStart) {
  StartBench starts;
  jobs::Step gang = StartBench::Tasks(4);
  gang.gang = true;
  starts.Add("gang", {gang});
  starts.Add("first", {StartBench::Tasks(2)});
  starts.Add("second", {StartBench::Tasks(1)});
  starts.Add("urgent", {StartBench::Tasks(1)}, -1);
  starts.Add("patient", {StartBench::Tasks(1)}, 1);
  starts.bench.RunPass();
  BOOST_TEST(starts.Starts("urgent") == Starts({0}),
             boost::test_tools::per_element());
  // The urgent task, and the later step of the job that runs.
  BOOST_TEST(starts.Starts("gang") == Starts({1250, 1250, 1250, 1250}),
             boost::test_tools::per_element());
  const Starts first = starts.Starts("first");
  BOOST_REQUIRE(first.size() >= 2U);
  BOOST_TEST(first[0] == 2250);
  BOOST_TEST(first[1] == 2500);
  BOOST_TEST(starts.Starts("second").at(0) > first[1]);
  BOOST_TEST(starts.Starts("patient").at(0) > starts.Starts("second").at(0));
}

// Guards against a promise to a task that waits for something else than cores,
// or in a pool that gets none.
BOOST_AUTO_TEST_CASE(UnknownStartIsLeftOut) {
  StartBench starts;
  starts.Add("poor", {StartBench::Tasks(1)}, 0, "poor");
  jobs::Step large = StartBench::Tasks(1);
  large.task_resources.memory_mb = 100'000;
  starts.Add("large", {large});
  starts.Add("waiting", {StartBench::Tasks(1)});
  starts.bench.RunPass();
  BOOST_TEST(starts.Starts("poor") == Starts({-1}),
             boost::test_tools::per_element());
  BOOST_TEST(starts.Starts("large") == Starts({-1}),
             boost::test_tools::per_element());
  BOOST_TEST(starts.Starts("waiting").at(0) >= 0);
  SchedulerBench empty(1);
  empty.AddJob("job");
  BOOST_TEST(!empty.scheduler.ExplainJob("job", 1, empty.now)
                  .value()
                  .tasks.at(0)
                  .expected_start);
}

}  // namespace
}  // namespace quartzhoist::scheduler
