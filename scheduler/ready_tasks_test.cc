// Placement order of ready tasks, and simulations of it under load.

#include <algorithm>
#include <deque>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/ready_tasks.h"
#include "testing/pool_simulation.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Pool = testing::PoolSimulation;
using AttemptResult = ReadyTasks::AttemptResult;

ReadyTask Waiting(Job& job,
                  SchedulingClass scheduling_class,
                  std::uint64_t number) {
  return {.scheduling_class = scheduling_class,
          .soft_deadline = seconds(1),
          .firm_deadline = seconds(5),
          .sequence = number,
          .job = &job,
          .position = {}};
}

// When one organisation exceeds its rate, the jobs of others within theirs go
// first, also late ones. The excess comes next, before expired jobs.
BOOST_AUTO_TEST_CASE(JobsOverTheirRateComeAfterJobsWithinTheirRate) {
  std::deque<Job> jobs(4);
  ReadyTasks tasks;
  tasks.Insert(Waiting(jobs[0], SchedulingClass::kOverRate, 1));
  tasks.Insert(Waiting(jobs[1], SchedulingClass::kExpired, 2));
  tasks.Insert(Waiting(jobs[2], SchedulingClass::kLate, 3));
  tasks.Insert(Waiting(jobs[3], SchedulingClass::kNotStarted, 4));
  std::vector<const Job*> tried;
  const auto position = [&](const ReadyTask& task) {
    tried.push_back(task.job);
    return AttemptResult::kPlaced;
  };
  tasks.TryInOrder(milliseconds(10), position);
  const std::vector<const Job*> expected{&jobs[3], &jobs[2], &jobs[0],
                                         &jobs[1]};
  BOOST_TEST(tried == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(OverRateJobsExpire) {
  std::deque<Job> jobs(2);
  ReadyTasks tasks;
  tasks.Insert(Waiting(jobs[0], SchedulingClass::kOverRate, 1));
  tasks.Insert(Waiting(jobs[1], SchedulingClass::kExpired, 2));
  const auto stays = [](const ReadyTask&) { return AttemptResult::kKept; };
  tasks.TryInOrder(seconds(6), stays);
  BOOST_CHECK(
      std::all_of(tasks.begin(), tasks.end(), [](const ReadyTask& task) {
        return task.scheduling_class == SchedulingClass::kExpired;
      }));
}

// A steady load below capacity, and a short burst that queueing absorbs: nearly
// all jobs are on time.
BOOST_AUTO_TEST_CASE(LoadWithinCapacityIsOnTime) {
  Pool calm;
  calm.ApplyLoad(0.8, seconds(10));
  calm.ApplyLoad(0.0, seconds(4));
  BOOST_TEST(calm.OnTimeShare() > 0.99);
  Pool burst;
  burst.ApplyLoad(0.5, seconds(2));
  burst.ApplyLoad(1.8, milliseconds(700));
  burst.ApplyLoad(0.5, seconds(4));
  burst.ApplyLoad(0.0, seconds(4));
  BOOST_TEST(burst.OnTimeShare() > 0.95);
}

// A demand peak of 6 s at 2.5 times the pool's capacity.
BOOST_AUTO_TEST_CASE(DemandPeakKeepsManyOnTime) {
  Pool pool;
  pool.ApplyLoad(0.2, seconds(2));
  pool.ApplyLoad(2.5, seconds(6));
  pool.ApplyLoad(0.2, seconds(10));
  pool.ApplyLoad(0.0, seconds(4));
  BOOST_TEST_MESSAGE("on time " << pool.OnTimeShare() << ", useful "
                                << pool.UsefulShare());
  BOOST_TEST(pool.OnTimeShare() > 0.45);
  BOOST_TEST(pool.UsefulShare() > 0.58);
}

// At slightly more than the pool's capacity the backlog is worked off while it
// is still useful.
BOOST_AUTO_TEST_CASE(MildOverloadKeepsAllJobsUseful) {
  for (const double load : {1.15, 1.3}) {
    Pool pool;
    pool.ApplyLoad(0.2, seconds(2));
    pool.ApplyLoad(load, seconds(6));
    pool.ApplyLoad(0.2, seconds(10));
    pool.ApplyLoad(0.0, seconds(4));
    BOOST_TEST(pool.UsefulShare() > 0.99);
  }
}

// The same demand peak while 10% of the runs fail.
BOOST_AUTO_TEST_CASE(DemandPeakWithFailingRunsKeepsHalfUseful) {
  Pool pool;
  pool.run_fails = std::bernoulli_distribution(0.1);
  pool.ApplyLoad(0.2, seconds(2));
  pool.ApplyLoad(2.5, seconds(6));
  pool.ApplyLoad(0.2, seconds(10));
  pool.ApplyLoad(0.0, seconds(4));
  BOOST_TEST(pool.UsefulShare() > 0.52);
}

std::vector<std::string> Order(ReadyTasks& tasks, base::Micros now) {
  std::vector<std::string> ids;
  tasks.TryInOrder(now, [&](const ReadyTask& task) {
    ids.push_back(task.job->id);
    return AttemptResult::kKept;
  });
  return ids;
}

BOOST_AUTO_TEST_CASE(LateTasksWaitForTasksOnTime) {
  std::deque<Job> jobs(6);
  const base::Micros now = seconds(50);
  auto insert = [&, number = 0](ReadyTasks& tasks, const char* id, int priority,
                                SchedulingClass scheduling_class,
                                base::Micros soft_deadline) mutable {
    Job& job = jobs[static_cast<std::size_t>(number)];
    job.id = id;
    tasks.Insert({.priority = priority,
                  .scheduling_class = scheduling_class,
                  .soft_deadline = now + soft_deadline,
                  .firm_deadline = now + soft_deadline + seconds(3),
                  .sequence = static_cast<std::uint64_t>(++number),
                  .job = &job,
                  .position = {}});
  };
  ReadyTasks tasks;
  insert(tasks, "less urgent", 1, SchedulingClass::kNotStarted, seconds(1));
  insert(tasks, "expired", 0, SchedulingClass::kStarted, -seconds(4));
  insert(tasks, "late", 0, SchedulingClass::kStarted, -seconds(1));
  insert(tasks, "long-running", 0, SchedulingClass::kLongRunning, -seconds(9));
  insert(tasks, "on time", 0, SchedulingClass::kStarted, seconds(1));
  insert(tasks, "interrupted", 0, SchedulingClass::kInterrupted, seconds(0));
  const std::vector<std::string> wanted{"interrupted", "long-running",
                                        "on time",     "late",
                                        "expired",     "less urgent"};
  BOOST_TEST(Order(tasks, now) == wanted, boost::test_tools::per_element());
}

// The remaining tasks of a started job go before jobs that have not started,
// also before one with an earlier deadline.
BOOST_AUTO_TEST_CASE(StartedJobsAreFinishedFirst) {
  Pool pool;
  pool.Submit();
  pool.RunPass();
  BOOST_TEST(pool.tasks.empty());
  Job first;
  first.id = "first";
  Job second;
  second.id = "second";
  ReadyTasks tasks;
  const base::Micros now = seconds(9);
  for (Job* job : {&first, &second}) {
    for (int i = 0; i < 2; ++i) {
      tasks.Insert({.soft_deadline = now + seconds(job == &first ? 2 : 1),
                    .firm_deadline = now + seconds(8),
                    .sequence = static_cast<std::uint64_t>(i + 1),
                    .job = job,
                    .position = {.index = i}});
    }
  }
  // Place one task of the job with the later deadline.
  tasks.TryInOrder(now, [&](const ReadyTask& task) {
    return task.job == &first && task.position.index == 0
               ? AttemptResult::kPlaced
               : AttemptResult::kKept;
  });
  const std::vector<std::string> wanted{"first", "second", "second"};
  BOOST_TEST(Order(tasks, now) == wanted, boost::test_tools::per_element());
}

}  // namespace
}  // namespace quartzhoist::scheduler
