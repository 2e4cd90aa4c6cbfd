// In which order waiting tasks are tried, under the loads that it is made for.

#include <algorithm>
#include <deque>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/ready_tasks.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Tried = ReadyTasks::Tried;

ReadyTask Waiting(Job& job, Prospect prospect, std::uint64_t number) {
  return {.prospect = prospect,
          .in_time = seconds(1),
          .of_use = seconds(5),
          .number = number,
          .job = &job,
          .place = {}};
}

// One organisation floods a pool: what others are due goes first, late jobs
// too, and the flood is served from what is left, before what is of no use.
BOOST_AUTO_TEST_CASE(WhatIsBeyondItsDueComesAfterWhatOthersAreDue) {
  std::deque<Job> jobs(4);
  ReadyTasks tasks;
  tasks.Insert(Waiting(jobs[0], Prospect::kBeyond, 1));
  tasks.Insert(Waiting(jobs[1], Prospect::kHopeless, 2));
  tasks.Insert(Waiting(jobs[2], Prospect::kLate, 3));
  tasks.Insert(Waiting(jobs[3], Prospect::kWaiting, 4));
  std::vector<const Job*> tried;
  const auto place = [&](const ReadyTask& task) {
    tried.push_back(task.job);
    return Tried::kPlaced;
  };
  tasks.Try(milliseconds(10), place);
  const std::vector<const Job*> expected{&jobs[3], &jobs[2], &jobs[0],
                                         &jobs[1]};
  BOOST_TEST(tried == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(FloodThatIsTooLateIsOfNoUse) {
  std::deque<Job> jobs(2);
  ReadyTasks tasks;
  tasks.Insert(Waiting(jobs[0], Prospect::kBeyond, 1));
  tasks.Insert(Waiting(jobs[1], Prospect::kHopeless, 2));
  const auto stays = [](const ReadyTask&) { return Tried::kStays; };
  tasks.Try(seconds(6), stays);
  BOOST_CHECK(
      std::all_of(tasks.begin(), tasks.end(), [](const ReadyTask& task) {
        return task.prospect == Prospect::kHopeless;
      }));
}

// A pool of equal slots, and jobs of a step of four tasks that take 0.64 s in
// the mean; in time is 1.62 s after the job was handed in, of use 4.9 s.
struct Pool {
  static constexpr int kSlots = 100;
  static constexpr int kTasks = 4;
  static constexpr base::Micros kMeanRun = milliseconds(640);
  static constexpr base::Micros kInTime = milliseconds(1624);
  static constexpr base::Micros kTick = milliseconds(10);

  // So many times what the pool can do is handed in, for so long.
  void Load(double times, base::Micros span) {
    const base::Micros until = this->now + span;
    const double jobs_a_second = times * kSlots / kTasks / 0.64;
    while (this->now < until) {
      this->owed += jobs_a_second * base::Seconds(kTick);
      for (; this->owed >= 1.0; this->owed -= 1.0)
        this->HandIn();
      this->Turn();
    }
  }

  void HandIn() {
    Job& job = this->jobs.emplace_back();
    job.id = std::to_string(this->jobs.size());
    job.accepted_at = this->now;
    job.occurrences.resize(1);
    job.occurrences[0].steps.resize(1);
    job.occurrences[0].steps[0].tasks.resize(kTasks);
    for (int i = 0; i < kTasks; ++i) {
      this->tasks.Insert({.in_time = this->now + kInTime - kMeanRun,
                          .of_use = this->now + 3 * kInTime - kMeanRun,
                          .number = ++this->number,
                          .job = &job,
                          .place = {.index = i}});
    }
  }

  // A task that failed waits anew, as the rest of a job that has begun.
  void FailsOnce(Job& job) {
    this->tasks.Insert({.prospect = Prospect::kBegun,
                        .in_time = job.accepted_at + kInTime - kMeanRun,
                        .of_use = job.accepted_at + 3 * kInTime - kMeanRun,
                        .number = ++this->number,
                        .job = &job,
                        .place = {}});
  }

  void Turn() {
    this->now += kTick;
    while (!this->running.empty() && this->running.top().first <= this->now) {
      Job& job = *this->running.top().second;
      const base::Micros ended = this->running.top().first;
      this->running.pop();
      if (this->fails(this->random)) {
        this->FailsOnce(job);
        continue;
      }
      StepState& step = job.occurrences[0].steps[0];
      if (++step.tasks_done < kTasks)
        continue;
      this->in_time += ended - job.accepted_at <= kInTime;
      this->of_use += ended - job.accepted_at <= 3 * kInTime;
    }
    this->tasks.Try(this->now, [this](const ReadyTask& task) {
      if (this->running.size() == kSlots)
        return Tried::kStop;
      const base::Micros run(static_cast<std::int64_t>(
          static_cast<double>(kMeanRun.count()) * this->spread(this->random)));
      this->running.emplace(this->now + run, task.job);
      return Tried::kPlaced;
    });
  }

  double InTimeShare() const {
    return static_cast<double>(this->in_time) /
           static_cast<double>(this->jobs.size());
  }
  double OfUseShare() const {
    return static_cast<double>(this->of_use) /
           static_cast<double>(this->jobs.size());
  }

  using Running = std::pair<base::Micros, Job*>;  // until when
  base::Micros now = seconds(100);
  ReadyTasks tasks;
  std::deque<Job> jobs;
  std::priority_queue<Running, std::vector<Running>, std::greater<>> running;
  double owed = 0.0;
  std::uint64_t number = 0;
  int in_time = 0;
  int of_use = 0;
  std::mt19937_64 random{7};
  std::uniform_real_distribution<double> spread{0.6, 1.4};
  std::bernoulli_distribution fails{0.0};
};

// A calm load, and a short rush that waiting can even out: nobody is left
// behind.
BOOST_AUTO_TEST_CASE(LoadThatFitsIsInTime) {
  Pool calm;
  calm.Load(0.8, seconds(10));
  calm.Load(0.0, seconds(4));
  BOOST_TEST(calm.InTimeShare() > 0.99);
  Pool rushed;
  rushed.Load(0.5, seconds(2));
  rushed.Load(1.8, milliseconds(700));
  rushed.Load(0.5, seconds(4));
  rushed.Load(0.0, seconds(4));
  BOOST_TEST(rushed.InTimeShare() > 0.95);
}

// A height of demand: for 6 s 2.5 times what the pool can do.
BOOST_AUTO_TEST_CASE(HeightOfDemandKeepsManyInTime) {
  Pool pool;
  pool.Load(0.2, seconds(2));
  pool.Load(2.5, seconds(6));
  pool.Load(0.2, seconds(10));
  pool.Load(0.0, seconds(4));
  BOOST_TEST_MESSAGE("in time " << pool.InTimeShare() << ", of use "
                                << pool.OfUseShare());
  BOOST_TEST(pool.InTimeShare() > 0.45);
  BOOST_TEST(pool.OfUseShare() > 0.58);
}

// A little more than the pool can do: what waits can be worked off while it is
// of use, and is.
BOOST_AUTO_TEST_CASE(MildOverloadLosesNobody) {
  for (const double times : {1.15, 1.3}) {
    Pool pool;
    pool.Load(0.2, seconds(2));
    pool.Load(times, seconds(6));
    pool.Load(0.2, seconds(10));
    pool.Load(0.0, seconds(4));
    BOOST_TEST(pool.OfUseShare() > 0.99);
  }
}

// The height of demand while a tenth of the runs fail.
BOOST_AUTO_TEST_CASE(HeightOfDemandIsOfUseThoughRunsFail) {
  Pool pool;
  pool.fails = std::bernoulli_distribution(0.1);
  pool.Load(0.2, seconds(2));
  pool.Load(2.5, seconds(6));
  pool.Load(0.2, seconds(10));
  pool.Load(0.0, seconds(4));
  BOOST_TEST(pool.OfUseShare() > 0.52);
}

std::vector<std::string> Order(ReadyTasks& tasks, base::Micros now) {
  std::vector<std::string> ids;
  tasks.Try(now, [&](const ReadyTask& task) {
    ids.push_back(task.job->id);
    return Tried::kStays;
  });
  return ids;
}

BOOST_AUTO_TEST_CASE(WhatIsLateWaitsForWhatIsNot) {
  std::deque<Job> jobs(5);
  const base::Micros now = seconds(50);
  auto insert = [&, number = 0](ReadyTasks& tasks, const char* id, int priority,
                                Prospect prospect,
                                base::Micros in_time) mutable {
    Job& job = jobs[static_cast<std::size_t>(number)];
    job.id = id;
    tasks.Insert({.priority = priority,
                  .prospect = prospect,
                  .in_time = now + in_time,
                  .of_use = now + in_time + seconds(3),
                  .number = static_cast<std::uint64_t>(++number),
                  .job = &job,
                  .place = {}});
  };
  ReadyTasks tasks;
  insert(tasks, "less urgent", 1, Prospect::kWaiting, seconds(1));
  insert(tasks, "hopeless", 0, Prospect::kBegun, -seconds(4));
  insert(tasks, "late", 0, Prospect::kBegun, -seconds(1));
  insert(tasks, "lasting", 0, Prospect::kLasting, -seconds(9));
  insert(tasks, "in time", 0, Prospect::kBegun, seconds(1));
  const std::vector<std::string> wanted{"lasting", "in time", "late",
                                        "hopeless", "less urgent"};
  BOOST_TEST(Order(tasks, now) == wanted, boost::test_tools::per_element());
}

// The rest of a job that has begun goes before newer jobs.
BOOST_AUTO_TEST_CASE(BegunJobsAreFinishedFirst) {
  Pool pool;
  pool.HandIn();
  pool.Turn();
  BOOST_TEST(pool.tasks.empty());
  Job first;
  first.id = "first";
  Job second;
  second.id = "second";
  ReadyTasks tasks;
  const base::Micros now = seconds(9);
  for (Job* job : {&first, &second}) {
    for (int i = 0; i < 2; ++i) {
      tasks.Insert({.in_time = now + seconds(job == &first ? 2 : 1),
                    .of_use = now + seconds(8),
                    .number = static_cast<std::uint64_t>(i + 1),
                    .job = job,
                    .place = {.index = i}});
    }
  }
  // One task of the later one is placed.
  tasks.Try(now, [&](const ReadyTask& task) {
    return task.job == &first && task.place.index == 0 ? Tried::kPlaced
                                                       : Tried::kStays;
  });
  const std::vector<std::string> wanted{"first", "second", "second"};
  BOOST_TEST(Order(tasks, now) == wanted, boost::test_tools::per_element());
}

}  // namespace
}  // namespace quartzhoist::scheduler
