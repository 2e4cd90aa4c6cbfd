// Tests that tasks which wait for something other than capacity don't make
// their pool take boxes from other pools. The fleet has 150 boxes in three
// pools.

#include <array>
#include <cstdint>
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

// Why a task can't start though there may be idle boxes.
enum class StuckReason {
  kQuota,    // its organisation is over its quota
  kLabel,    // no worker has its label
  kSize,     // it is larger than any worker
  kAdvice,   // its queue requires advice and there is none
  kGivenUp,  // it is no longer started after its workers crashed
};

constexpr std::array kStuckReasons = {StuckReason::kQuota, StuckReason::kLabel,
                                      StuckReason::kSize, StuckReason::kAdvice,
                                      StuckReason::kGivenUp};

// Progress with three crashes, and two last tries that were lost as well.
jobs::Progress ProgressOfGivenUpTask() {
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

// The pool under test has ten boxes and two others have the rest, all idle.
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
      this->AddWorkerOn("box" + std::to_string(i), pool);
    }
  }

  void AddWorkerOn(const std::string& box, const std::string& pool) {
    WorkerInfo info = Bench::Worker("w" + std::to_string(++this->worker_count));
    info.box = box;
    info.service = pool;
    this->bench.scheduler.UpdateWorker(info, this->bench.now);
    this->Report(info.incarnation.id);
  }

  void Report(const std::string& worker) {
    const base::Micros before = this->bench.now;
    this->bench.Report(worker, {.running = this->running[worker]},
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

  // Adds a job that another box in the pool would not help to start.
  void AddStuckJob(const std::string& pool, StuckReason reason) {
    const std::string id =
        "stuck-" + pool + std::to_string(static_cast<int>(reason));
    jobs::Step step = Bench::OneLongRunningTask();
    jobs::Progress progress;
    if (reason == StuckReason::kLabel)
      step.label = "nowhere";
    if (reason == StuckReason::kSize)
      step.task_resources.memory_mb = 100'000;
    if (reason == StuckReason::kGivenUp)
      progress = ProgressOfGivenUpTask();
    this->AddJobTo(pool, id, step, reason == StuckReason::kQuota ? "full" : "",
                   progress, reason == StuckReason::kAdvice);
  }

  // Runs passes 0.3 s apart. Boxes that are moved are back at once.
  void RunPasses(int passes) {
    for (int i = 0; i < passes; ++i) {
      const std::vector<Action> actions = this->bench.RunPass();
      this->bench.Save(Only<SaveProgress>(actions));
      for (const StartRun& start :
           Only<StartRun>(this->bench.scheduler.TakeActions())) {
        this->bench.scheduler.StartAnswered(start, CommandOutcome::kDone,
                                            this->bench.now);
        this->running[start.worker.id].push_back(
            {.task = start.task, .run = start.run, .percent = 100});
        ++this->starts;
      }
      for (const PollWorker& poll : Only<PollWorker>(actions))
        this->Report(poll.worker.id);
      for (const MoveBox& move : Only<MoveBox>(actions)) {
        this->bench.scheduler.MoveAnswered(move, BoxCallOutcome::kDone,
                                           this->bench.now);
        this->AddWorkerOn(move.box, move.pool);
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
  int worker_count = 0;
  int starts = 0;
  std::map<std::string, std::vector<ReportedRun>> running;  // by worker
  std::map<std::string, int> moved;  // number of boxes by destination pool
};

// A pool whose tasks are of priority 1 and keep all boxes busy, and one without
// boxes whose tasks are of priority 0.
class ReclaimedPool {
 public:
  static constexpr int kBoxCount = 16;

  ReclaimedPool() {
    jobs::Config config;
    config.services = {{.name = "patient"}, {.name = "urgent"}};
    this->bench.scheduler.SetConfig(config, this->bench.now);
    for (int i = 0; i < kBoxCount; ++i)
      this->AddWorkerOn("box" + std::to_string(i), "patient");
  }

  // Adds a job of 400 tasks, which is more than all boxes can run.
  void AddJobTo(const std::string& pool, int priority) {
    jobs::Queue queue;
    queue.name = "queue-" + pool;
    queue.service = pool;
    queue.priority = priority;
    jobs::Step step = Bench::OneTask();
    step.tasks = 400;
    jobs::JobSpec spec;
    spec.steps.push_back(step);
    this->bench.scheduler.AddJob(
        MakeJob("job-" + pool, queue, spec, {}, this->bench.now, {}),
        this->bench.now);
  }

  // Runs one pass. Runs take 0.9 to 2.7 s; moved boxes are back at once.
  void RunPass() {
    const std::vector<Action> actions = this->bench.RunPass();
    this->bench.Save(Only<SaveProgress>(actions));
    for (const StartRun& start :
         Only<StartRun>(this->bench.scheduler.TakeActions())) {
      this->bench.scheduler.StartAnswered(start, CommandOutcome::kDone,
                                          this->bench.now);
      const base::Micros length =
          std::chrono::milliseconds(900 + 300 * (++this->starts % 7));
      this->workers[start.worker.id].runs.push_back(
          {.run = {.task = start.task, .run = start.run, .percent = 100},
           .ends_at = this->bench.now + length});
    }
    for (const MoveBox& move : Only<MoveBox>(actions)) {
      this->bench.scheduler.MoveAnswered(move, BoxCallOutcome::kDone,
                                         this->bench.now);
      this->workers.erase(move.incarnation.id);
      this->AddWorkerOn(move.box, move.pool);
      ++this->moved[move.pool];
    }
    for (auto& [id, worker] : this->workers)
      this->Report(id, worker);
  }

  PoolState Patient() const {
    return this->bench.scheduler.PoolStates(this->bench.now).front();
  }

  std::map<std::string, int> moved;  // number of boxes by destination pool

 private:
  struct SimulatedRun {
    ReportedRun run;
    base::Micros ends_at{};
  };
  struct SimulatedWorker {
    std::vector<SimulatedRun> runs;
    std::int64_t ends = 0;
  };

  void AddWorkerOn(const std::string& box, const std::string& pool) {
    WorkerInfo info = Bench::Worker("w" + std::to_string(++this->worker_count));
    info.box = box;
    info.service = pool;
    this->bench.scheduler.UpdateWorker(info, this->bench.now);
    this->Report(info.incarnation.id, this->workers[info.incarnation.id]);
  }

  void Report(const std::string& id, SimulatedWorker& worker) {
    const base::Micros before = this->bench.now;
    WorkerReport report;
    for (const SimulatedRun& run : worker.runs) {
      if (run.ends_at > before) {
        report.running.push_back(run.run);
        continue;
      }
      report.ended.push_back({.sequence = ++worker.ends,
                              .task = run.run.task,
                              .run = run.run.run,
                              .reason = RunEndReason::kSucceeded,
                              .checkpoint = ""});
    }
    std::erase_if(worker.runs, [before](const SimulatedRun& run) {
      return run.ends_at <= before;
    });
    this->bench.Report(id, report, before + std::chrono::seconds(4));
    this->bench.now = before;
  }

  Bench bench{1};
  int worker_count = 0;
  int starts = 0;
  std::map<std::string, SimulatedWorker> workers;
};

}  // namespace

// Guards against a task over its quota that takes boxes from other pools.
BOOST_AUTO_TEST_CASE(LongRunningTaskOverItsQuotaTakesNoBoxes) {
  ThreePools fleet;
  fleet.AddStuckJob("pool", StuckReason::kQuota);
  fleet.RunPasses(100);
  BOOST_TEST(fleet.starts == 0);
  BOOST_TEST(fleet.moved["pool"] == 0);
}

// Guards against a job over its quota that reserves a box for each task.
BOOST_AUTO_TEST_CASE(LongRunningJobOverItsQuotaReservesNoBoxes) {
  ThreePools fleet;
  jobs::Step step = Bench::OneLongRunningTask();
  step.tasks = 100;
  step.max_per_worker = 1;
  fleet.AddJobTo("pool", "wide", step, "full");
  fleet.RunPasses(100);
  BOOST_TEST(fleet.starts == 0);
  BOOST_TEST(fleet.moved["pool"] == 0);
}

// Guards against a task whose label no worker has and that takes boxes from
// other pools.
BOOST_AUTO_TEST_CASE(LongRunningTaskWithoutSuitableWorkerTakesNoBoxes) {
  ThreePools fleet;
  fleet.AddStuckJob("pool", StuckReason::kLabel);
  fleet.RunPasses(100);
  BOOST_TEST(fleet.starts == 0);
  BOOST_TEST(fleet.moved["pool"] == 0);
}

// Guards against a task larger than any worker that takes boxes from other
// pools.
BOOST_AUTO_TEST_CASE(LongRunningTaskLargerThanAnyWorkerTakesNoBoxes) {
  ThreePools fleet;
  fleet.AddStuckJob("pool", StuckReason::kSize);
  fleet.RunPasses(100);
  BOOST_TEST(fleet.starts == 0);
  BOOST_TEST(fleet.moved["pool"] == 0);
}

// Guards against a task without required advice that takes boxes from other
// pools.
BOOST_AUTO_TEST_CASE(LongRunningTaskWithoutAdviceTakesNoBoxes) {
  ThreePools fleet;
  fleet.AddStuckJob("pool", StuckReason::kAdvice);
  fleet.RunPasses(100);
  BOOST_TEST(fleet.starts == 0);
  BOOST_TEST(fleet.moved["pool"] == 0);
}

// Guards against given-up tasks that count as waiting work and take boxes from
// other pools.
BOOST_AUTO_TEST_CASE(GivenUpTaskTakesNoBoxesAndDoesNotWait) {
  ThreePools fleet;
  fleet.AddStuckJob("pool", StuckReason::kGivenUp);
  fleet.RunPasses(100);
  BOOST_TEST(fleet.starts == 0);
  BOOST_TEST(fleet.moved["pool"] == 0);
  BOOST_TEST(fleet.Pool("pool").waiting == 0);
}

// Guards against a pool that can't get the one box it needs.
BOOST_AUTO_TEST_CASE(StuckLongRunningTaskGetsABox) {
  ThreePools fleet;
  jobs::Step many = Bench::OneLongRunningTask();
  many.tasks = 20;
  many.task_resources = {.cpu_millis = 10, .memory_mb = 2000, .gpus = 0};
  fleet.AddJobTo("pool", "many", many);
  fleet.RunPasses(30);
  BOOST_REQUIRE(fleet.starts == 20);
  jobs::Step large = Bench::OneLongRunningTask();
  large.task_resources.memory_mb = 3000;
  fleet.AddJobTo("pool", "large", large);
  fleet.RunPasses(20);
  BOOST_TEST(fleet.starts == 21);
  BOOST_TEST(fleet.moved["pool"] >= 1);
  BOOST_TEST(fleet.moved["pool"] <= 2);
}

// Guards against a pool whose tasks count as stuck while its boxes empty out
// for a more urgent pool. It then kept all of its boxes until they were full
// again, over and over.
BOOST_AUTO_TEST_CASE(ReclaimedBoxesMoveWithoutBeingFilledAgain) {
  ReclaimedPool fleet;
  fleet.AddJobTo("patient", 1);
  for (int i = 0; i < 10; ++i)
    fleet.RunPass();
  BOOST_REQUIRE(fleet.Patient().usable == ReclaimedPool::kBoxCount);
  BOOST_REQUIRE(fleet.Patient().busy_cores >
                0.7 * 4 * ReclaimedPool::kBoxCount);
  fleet.AddJobTo("urgent", 0);
  // The boxes are selected by the first pass; the longest run takes nine.
  for (int i = 0; i < 11; ++i) {
    fleet.RunPass();
    BOOST_TEST(fleet.Patient().usable == 0);
  }
  BOOST_TEST(fleet.moved["urgent"] == ReclaimedPool::kBoxCount);
  BOOST_TEST(fleet.moved["patient"] == 0);
}

// Guards against pools that starve while other pools have idle boxes. Draws
// work that fits on half of the boxes, and stuck tasks for each reason.
BOOST_AUTO_TEST_CASE(NoPoolStarvesBesideIdleBoxes) {
  const bool holds = rc::check("all work that fits is started", [] {
    ThreePools fleet;
    const std::vector<std::string> pools = {"pool", "second", "third"};
    for (const std::string& pool : pools) {
      for (const StuckReason reason : kStuckReasons) {
        if (*rc::gen::arbitrary<bool>())
          fleet.AddStuckJob(pool, reason);
      }
    }
    // At most 75 of the 150 boxes are needed, whatever pool they are in.
    int tasks = 0;
    for (const std::string& pool : pools) {
      jobs::Step step = Bench::OneLongRunningTask();
      step.tasks = *rc::gen::inRange(1, 26);
      step.task_resources = {.cpu_millis = *rc::gen::inRange(10, 4000),
                             .memory_mb = *rc::gen::inRange(10, 4000),
                             .gpus = 0};
      step.max_per_worker = *rc::gen::inRange(0, 2);
      fleet.AddJobTo(pool, "fits-" + pool, step);
      tasks += static_cast<int>(step.tasks);
    }
    fleet.RunPasses(120);
    RC_ASSERT(fleet.starts == tasks);
    // Stuck tasks may cause a few more moves, but not a steady stream.
    fleet.moved.clear();
    fleet.RunPasses(40);
    int moved = 0;
    for (const auto& [pool, boxes] : fleet.moved)
      moved += boxes;
    RC_ASSERT(moved <= 6);
  });
  BOOST_TEST(holds);
}

}  // namespace quartzhoist::scheduler
