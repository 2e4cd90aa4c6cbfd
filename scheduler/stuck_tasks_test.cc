// Tasks that wait for something else than room, and the boxes that their pool
// draws meanwhile: 150 boxes in three pools.

#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/scheduler.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using testing::Only;
using Bench = testing::SchedulerBench;

constexpr int kBoxes = 150;

// The pool of the tasks has ten boxes, two others have the rest, all idle.
struct ThreePools {
  ThreePools() {
    jobs::Config config;
    for (const char* name : {"pool", "second", "third"})
      config.services.push_back({.name = name});
    jobs::Organisation full;
    full.name = "full";
    full.quota = {.cpu_millis = 1000, .memory_mb = 1000, .gpus = 0};
    config.organisations = {full};
    this->bench.scheduler.SetConfig(config, this->bench.now);
    this->bench.scheduler.SetQuotaShare("full", 0);
    for (int i = 0; i < kBoxes; ++i) {
      const char* pool = i < 10 ? "pool" : i < 80 ? "second" : "third";
      this->Come("box" + std::to_string(i), pool);
    }
  }

  void Come(const std::string& box, const std::string& pool) {
    WorkerInfo info = Bench::Worker("w" + std::to_string(++this->lives));
    info.box = box;
    info.service = pool;
    this->bench.scheduler.PutWorker(info, this->bench.now);
    this->List(info.life.id);
  }

  void List(const std::string& worker) {
    const base::Micros before = this->bench.now;
    this->bench.List(worker, {.running = this->running[worker]},
                     before + std::chrono::seconds(4));
    this->bench.now = before;
  }

  void AddJob(const jobs::Step& step,
              const std::string& organisation = {},
              const jobs::Progress& progress = {},
              bool needs_advice = false) {
    jobs::Queue queue;
    queue.name = "queue";
    queue.service = "pool";
    queue.advice.required = needs_advice;
    jobs::JobSpec spec;
    spec.steps.push_back(step);
    Job job =
        MakeJob("job", queue, spec, progress, this->bench.now, base::Micros());
    job.organisation = organisation;
    this->bench.scheduler.AddJob(std::move(job), this->bench.now);
  }

  // Plays turns of 0.3 s; boxes that are moved are back at once.
  void Play(int turns) {
    for (int i = 0; i < turns; ++i) {
      const std::vector<Action> actions = this->bench.Turn();
      this->bench.Save(Only<SaveProgress>(actions));
      for (const StartRun& start :
           Only<StartRun>(this->bench.scheduler.TakeActions())) {
        this->bench.scheduler.Started(start, OrderOutcome::kDone,
                                      this->bench.now);
        this->running[start.worker.id].push_back(
            {.task = start.task, .run = start.run, .percent = 100});
        ++this->starts;
      }
      for (const LookAt& look : Only<LookAt>(actions))
        this->List(look.worker.id);
      for (const MoveBox& move : Only<MoveBox>(actions)) {
        this->bench.scheduler.Moved(move, BoxCallOutcome::kDone,
                                    this->bench.now);
        this->Come(move.box, move.pool);
        this->moved[move.pool] += 1;
      }
    }
  }

  PoolState Pool(const std::string& name) const {
    for (const PoolState& state :
         this->bench.scheduler.PoolStates(this->bench.now)) {
      if (state.pool == name)
        return state;
    }
    return {};
  }

  Bench bench{1};
  int lives = 0;
  int starts = 0;
  std::map<std::string, std::vector<ListedRun>> running;  // by worker
  std::map<std::string, int> moved;  // boxes, by the pool they went to
};

jobs::WorkerLoss Crash(int run, const std::string& box) {
  return {.run = run,
          .box = box,
          .has_crashed = true,
          .was_alone = true,
          .was_seen = true};
}

}  // namespace

// Guards against a full quota that takes everybody's boxes.
BOOST_AUTO_TEST_CASE(LastingTaskOverItsQuotaTakesNoBoxes) {
  ThreePools fleet;
  fleet.AddJob(Bench::OneLastingTask(), "full");
  fleet.Play(100);
  BOOST_TEST(fleet.starts == 0);
  BOOST_TEST(fleet.moved["pool"] == 0);
}

// Guards against a label that no worker has and that takes everybody's boxes.
BOOST_AUTO_TEST_CASE(LastingTaskThatNoWorkerSuitsTakesNoBoxes) {
  ThreePools fleet;
  jobs::Step step = Bench::OneLastingTask();
  step.label = "nowhere";
  fleet.AddJob(step);
  fleet.Play(100);
  BOOST_TEST(fleet.starts == 0);
  BOOST_TEST(fleet.moved["pool"] == 0);
}

// Guards against a task larger than any worker that takes everybody's boxes.
BOOST_AUTO_TEST_CASE(LastingTaskLargerThanAnyWorkerTakesNoBoxes) {
  ThreePools fleet;
  jobs::Step step = Bench::OneLastingTask();
  step.each.memory_mb = 100'000;
  fleet.AddJob(step);
  fleet.Play(100);
  BOOST_TEST(fleet.starts == 0);
  BOOST_TEST(fleet.moved["pool"] == 0);
}

// Guards against missing advice that takes everybody's boxes.
BOOST_AUTO_TEST_CASE(LastingTaskWithoutAdviceTakesNoBoxes) {
  ThreePools fleet;
  fleet.AddJob(Bench::OneLastingTask(), {}, {}, true);
  fleet.Play(100);
  BOOST_TEST(fleet.starts == 0);
  BOOST_TEST(fleet.moved["pool"] == 0);
}

// Guards against given-up tasks that count as work and take everybody's boxes.
BOOST_AUTO_TEST_CASE(GivenUpTaskTakesNoBoxesAndDoesNotWait) {
  ThreePools fleet;
  jobs::Progress progress;
  const jobs::TaskKey task{.step = {}, .index = 0};
  for (int i = 1; i <= 3; ++i)
    progress.MarkLost(task, {.id = "x" + std::to_string(i)},
                      Crash(i, "b" + std::to_string(i)));
  progress.last_tries[task] = {4, 5};
  fleet.AddJob(Bench::OneLastingTask(), {}, progress);
  fleet.Play(100);
  BOOST_TEST(fleet.starts == 0);
  BOOST_TEST(fleet.moved["pool"] == 0);
  BOOST_TEST(fleet.Pool("pool").waiting == 0);
}

// Guards against a pool that cannot get the one box that would help.
BOOST_AUTO_TEST_CASE(LastingTaskThatABoxWouldHoldGetsOne) {
  ThreePools fleet;
  jobs::Step many = Bench::OneLastingTask();
  many.tasks = 20;
  many.each = {.cpu_millis = 10, .memory_mb = 2000, .gpus = 0};
  fleet.AddJob(many);
  fleet.Play(30);
  BOOST_REQUIRE(fleet.starts == 20);
  jobs::Queue queue;
  queue.name = "queue";
  queue.service = "pool";
  jobs::JobSpec spec;
  spec.steps.push_back(Bench::OneLastingTask());
  spec.steps[0].each.memory_mb = 3000;
  fleet.bench.scheduler.AddJob(
      MakeJob("large", queue, spec, {}, fleet.bench.now, base::Micros()),
      fleet.bench.now);
  fleet.Play(20);
  BOOST_TEST(fleet.starts == 21);
  BOOST_TEST(fleet.moved["pool"] >= 1);
  BOOST_TEST(fleet.moved["pool"] <= 2);
}

}  // namespace quartzhoist::scheduler
