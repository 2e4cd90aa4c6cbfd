// Tasks that wait for something else than room, and the boxes that their pool
// draws meanwhile: 150 boxes in three pools.

#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "scheduler/scheduler.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using testing::Only;
using Bench = testing::SchedulerBench;

constexpr int kBoxes = 150;

// Three crashes, and two last tries that were lost too.
jobs::Progress LostForGood() {
  jobs::Progress progress;
  const jobs::TaskKey task{.step = {}, .index = 0};
  for (int i = 1; i <= 3; ++i) {
    progress.MarkLost(task, {.id = "x" + std::to_string(i)},
                      {.run = i,
                       .box = "b" + std::to_string(i),
                       .has_crashed = true,
                       .was_sole_suspect = true,
                       .start_confirmed = true});
  }
  progress.last_tries[task] = {4, 5};
  return progress;
}

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

  void AddJobTo(const std::string& pool,
                const std::string& id,
                const jobs::Step& step,
                const std::string& organisation = {},
                const jobs::Progress& progress = {},
                bool needs_advice = false) {
    jobs::Queue queue;
    queue.name = "queue-" + pool;
    queue.service = pool;
    queue.advice.required = needs_advice;
    jobs::JobSpec spec;
    spec.steps.push_back(step);
    Job job =
        MakeJob(id, queue, spec, progress, this->bench.now, base::Micros());
    job.organisation = organisation;
    this->bench.scheduler.AddJob(std::move(job), this->bench.now);
  }

  // One that no box helps: over its quota, without a worker that suits it, too
  // large, without advice, given up.
  void AddStuckJob(const std::string& pool, int reason) {
    const std::string id = "stuck-" + pool + std::to_string(reason);
    jobs::Step step = Bench::OneLastingTask();
    jobs::Progress progress;
    if (reason == 1)
      step.label = "nowhere";
    if (reason == 2)
      step.task_resources.memory_mb = 100'000;
    if (reason == 4)
      progress = LostForGood();
    this->AddJobTo(pool, id, step, reason == 0 ? "full" : "", progress,
                   reason == 3);
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

}  // namespace

// Guards against a full quota that takes everybody's boxes.
BOOST_AUTO_TEST_CASE(LastingTaskOverItsQuotaTakesNoBoxes) {
  ThreePools fleet;
  fleet.AddStuckJob("pool", 0);
  fleet.Play(100);
  BOOST_TEST(fleet.starts == 0);
  BOOST_TEST(fleet.moved["pool"] == 0);
}

// Guards against a job over its quota that reserves a box for each of its
// tasks.
BOOST_AUTO_TEST_CASE(LastingJobOverItsQuotaReservesNoBoxes) {
  ThreePools fleet;
  jobs::Step step = Bench::OneLastingTask();
  step.tasks = 100;
  step.max_per_worker = 1;
  fleet.AddJobTo("pool", "wide", step, "full");
  fleet.Play(100);
  BOOST_TEST(fleet.starts == 0);
  BOOST_TEST(fleet.moved["pool"] == 0);
}

// Guards against a label that no worker has and that takes everybody's boxes.
BOOST_AUTO_TEST_CASE(LastingTaskThatNoWorkerSuitsTakesNoBoxes) {
  ThreePools fleet;
  fleet.AddStuckJob("pool", 1);
  fleet.Play(100);
  BOOST_TEST(fleet.starts == 0);
  BOOST_TEST(fleet.moved["pool"] == 0);
}

// Guards against a task larger than any worker that takes everybody's boxes.
BOOST_AUTO_TEST_CASE(LastingTaskLargerThanAnyWorkerTakesNoBoxes) {
  ThreePools fleet;
  fleet.AddStuckJob("pool", 2);
  fleet.Play(100);
  BOOST_TEST(fleet.starts == 0);
  BOOST_TEST(fleet.moved["pool"] == 0);
}

// Guards against missing advice that takes everybody's boxes.
BOOST_AUTO_TEST_CASE(LastingTaskWithoutAdviceTakesNoBoxes) {
  ThreePools fleet;
  fleet.AddStuckJob("pool", 3);
  fleet.Play(100);
  BOOST_TEST(fleet.starts == 0);
  BOOST_TEST(fleet.moved["pool"] == 0);
}

// Guards against given-up tasks that count as work and take everybody's boxes.
BOOST_AUTO_TEST_CASE(GivenUpTaskTakesNoBoxesAndDoesNotWait) {
  ThreePools fleet;
  fleet.AddStuckJob("pool", 4);
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
  many.task_resources = {.cpu_millis = 10, .memory_mb = 2000, .gpus = 0};
  fleet.AddJobTo("pool", "many", many);
  fleet.Play(30);
  BOOST_REQUIRE(fleet.starts == 20);
  jobs::Step large = Bench::OneLastingTask();
  large.task_resources.memory_mb = 3000;
  fleet.AddJobTo("pool", "large", large);
  fleet.Play(20);
  BOOST_TEST(fleet.starts == 21);
  BOOST_TEST(fleet.moved["pool"] >= 1);
  BOOST_TEST(fleet.moved["pool"] <= 2);
}

// Guards against pools that starve beside idle boxes of others: drawn fleets,
// work that fits, and tasks that wait for each other reason.
BOOST_AUTO_TEST_CASE(NoPoolStarvesBesideIdleBoxes) {
  const bool holds = rc::check("all work that fits is started", [] {
    ThreePools fleet;
    const std::vector<std::string> pools = {"pool", "second", "third"};
    for (const std::string& pool : pools) {
      for (int reason = 0; reason < 5; ++reason) {
        if (*rc::gen::arbitrary<bool>())
          fleet.AddStuckJob(pool, reason);
      }
    }
    // At most 75 boxes of 150 are needed, wherever they are.
    int tasks = 0;
    for (const std::string& pool : pools) {
      jobs::Step step = Bench::OneLastingTask();
      step.tasks = *rc::gen::inRange(1, 26);
      step.task_resources = {.cpu_millis = *rc::gen::inRange(10, 4000),
                             .memory_mb = *rc::gen::inRange(10, 4000),
                             .gpus = 0};
      step.max_per_worker = *rc::gen::inRange(0, 2);
      fleet.AddJobTo(pool, "fits-" + pool, step);
      tasks += static_cast<int>(step.tasks);
    }
    fleet.Play(120);
    RC_ASSERT(fleet.starts == tasks);
    // What waits for something else draws a box now and then, no more.
    fleet.moved.clear();
    fleet.Play(40);
    int moved = 0;
    for (const auto& [pool, boxes] : fleet.moved)
      moved += boxes;
    RC_ASSERT(moved <= 6);
  });
  BOOST_TEST(holds);
}

}  // namespace quartzhoist::scheduler
