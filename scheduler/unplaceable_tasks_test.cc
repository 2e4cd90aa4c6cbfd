// Tasks that no worker can take now, for any reason, at the head of a pool's
// queue: the tasks behind them start, and a pass costs little.

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "scheduler/scheduler.h"
#include "scheduler/start_constraints.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Only;

// A pool whose workers report after each pass.
struct Pool : testing::SchedulerBench {
  explicit Pool(int workers) : SchedulerBench(1) {
    for (int i = 0; i < workers; ++i)
      this->AddWorker(IdOf(i));
  }

  static std::string IdOf(int number) { return fmt::format("w{:04}", number); }

  void AddWorker(const std::string& id,
                 const std::vector<std::string>& labels = {}) {
    WorkerInfo info = Worker(id);
    info.labels = labels;
    this->scheduler.UpdateWorker(info, this->now);
    this->Report(id, {}, this->now + seconds(4));
  }

  // Runs a pass whose saves, starts and polls all succeed. Each run is reported
  // until it is ended by End().
  std::vector<StartRun> RunPassAndReport() {
    const std::vector<Action> actions = this->RunPass();
    this->Save(Only<SaveProgress>(actions));
    std::vector<StartRun> starts =
        Only<StartRun>(this->scheduler.TakeActions());
    for (const StartRun& start : starts) {
      this->scheduler.StartAnswered(start, CommandOutcome::kDone, this->now,
                                    this->now.count() / 1000);
      this->runs.push_back(start);
    }
    this->ReportAll();
    return starts;
  }

  void ReportAll() {
    std::map<std::string, WorkerReport> reports;
    for (const auto& [incarnation, worker] : this->scheduler.all_workers())
      reports[incarnation.id];
    for (const StartRun& run : this->runs) {
      reports[run.worker.id].running.push_back(
          {.task = run.task, .run = run.run, .checkpoint = "", .percent = 100});
    }
    for (auto& [id, report] : reports) {
      const jobs::WorkerIncarnation asked = this->LifeOf(id);
      report.incarnation = asked;
      report.clock_ms = this->now.count() / 1000;
      report.ended = std::exchange(this->ended[id], {});
      this->scheduler.PollSent({.worker = asked}, this->now);
      this->scheduler.PollGrantsLease(asked, this->now + seconds(4));
      this->scheduler.WorkerReported(asked, report, this->now);
    }
    this->scheduler.WorkersRecorded({});
  }

  // The run is reported as done with the next pass.
  void End(std::size_t number) {
    const StartRun run = this->runs.at(number);
    this->runs.erase(this->runs.begin() + static_cast<std::ptrdiff_t>(number));
    this->ended[run.worker.id].push_back({.sequence = ++this->last_end,
                                          .task = run.task,
                                          .run = run.run,
                                          .reason = RunEndReason::kSucceeded,
                                          .checkpoint = ""});
  }

  // Whether a task of the job starts within the passes.
  bool Starts(const std::string& job, int passes) {
    for (int i = 0; i < passes; ++i) {
      for (const StartRun& start : this->RunPassAndReport()) {
        if (start.task.job == job)
          return true;
      }
    }
    return false;
  }

  std::uint64_t VainVisits() const {
    std::uint64_t visits = 0;
    for (const PoolState& state : this->scheduler.PoolStates(this->now))
      visits += state.placement_effort.vain_visits;
    return visits;
  }

  std::vector<StartRun> runs;
  std::map<std::string, std::vector<ReportedEnd>> ended;
  std::int64_t last_end = 0;
};

jobs::Step SmallStep() {
  jobs::Step step = Pool::OneTask();
  step.task_resources = {.cpu_millis = 10, .memory_mb = 1, .gpus = 0};
  return step;
}

// One task more than there are workers, each on a worker of its own.
jobs::Step StepKeptApart(int workers) {
  jobs::Step step = SmallStep();
  step.tasks = workers + 1;
  step.long_running = true;
  step.max_per_worker = 1;
  return step;
}

constexpr int kWorkers = 6;
constexpr int kUnplaceable = 40;

// Adds jobs that come to a halt, then one small job, and expects that it
// starts.
void ExpectStartBehind(
    const std::function<void(Pool&, const std::string&)>& add) {
  Pool pool(kWorkers);
  pool.AddWorker("labelled", {"label"});
  for (int i = 0; i < kUnplaceable; ++i)
    add(pool, fmt::format("unplaceable{}", i));
  for (int i = 0; i < 4; ++i)
    pool.RunPassAndReport();
  pool.AddJob("behind", SmallStep());
  BOOST_TEST(pool.Starts("behind", 4));
}

// Guards against jobs that never start behind standing jobs of which each has a
// task that may run beside none of the others (a worker was lost).
BOOST_AUTO_TEST_CASE(TaskStartsBehindManyTasksThatAreKeptApart) {
  ExpectStartBehind([](Pool& pool, const std::string& job) {
    pool.AddJob(job, StepKeptApart(kWorkers + 1));
  });
}

// The same behind gangs of which some members have room.
BOOST_AUTO_TEST_CASE(TaskStartsBehindManyGangsThatDoNotFitAsAWhole) {
  ExpectStartBehind([](Pool& pool, const std::string& job) {
    jobs::Step gang = Pool::OneTask();
    gang.gang = true;
    gang.tasks = 4 * (kWorkers + 1) + 1;
    pool.AddJob(job, gang);
  });
}

// The same behind tasks whose label only a full worker has.
BOOST_AUTO_TEST_CASE(TaskStartsBehindManyTasksWhoseLabelledWorkersAreFull) {
  ExpectStartBehind([](Pool& pool, const std::string& job) {
    jobs::Step step = Pool::OneLongRunningTask();
    step.label = "label";
    // Alike in no two jobs, so that none tells anything about another.
    step.task_resources.cpu_millis =
        1000 + static_cast<std::int64_t>(job.size() * 7 + job.back());
    step.task_resources.memory_mb = 3000 - step.task_resources.cpu_millis;
    pool.AddJob(job, step);
  });
}

// The same behind tasks of an organisation that has used its quota up.
BOOST_AUTO_TEST_CASE(TaskStartsBehindManyTasksThatWaitForQuota) {
  Pool pool(kWorkers);
  jobs::Config config;
  config.services.push_back({.name = "pool"});
  config.organisations.push_back(
      {.name = "limited", .quota = {.cpu_millis = 1, .memory_mb = 1}});
  pool.scheduler.SetConfig(config, pool.now);
  pool.scheduler.SetQuotaShare("limited", kWholeQuota);
  for (int i = 0; i < kUnplaceable; ++i) {
    jobs::Queue queue;
    queue.name = "queue";
    queue.service = "pool";
    jobs::JobSpec spec;
    spec.steps.push_back(Pool::OneTask());
    Job job =
        MakeJob(fmt::format("limited{}", i), queue, spec, {}, pool.now, {});
    job.organisation = "limited";
    pool.scheduler.AddJob(std::move(job), pool.now);
  }
  pool.RunPassAndReport();
  pool.AddJob("behind", SmallStep());
  BOOST_TEST(pool.Starts("behind", 4));
}

// Visits of workers by passes in which nothing has changed, with `steps` kept
// apart in a pool of `workers`.
std::uint64_t VisitsOfIdlePasses(int workers, int steps) {
  Pool pool(workers);
  for (int i = 0; i < steps; ++i)
    pool.AddJob(fmt::format("apart{}", i), StepKeptApart(workers));
  for (int i = 0; i < 12; ++i)
    pool.RunPassAndReport();
  const std::uint64_t before = pool.VainVisits();
  for (int i = 0; i < 10; ++i)
    pool.RunPassAndReport();
  return pool.VainVisits() - before;
}

// A pass costs nothing for steps that have been searched for, however many
// there are and however large the pool.
BOOST_AUTO_TEST_CASE(PassesDoNotSearchAgainWhileNoWorkerHasChanged) {
  BOOST_TEST(VisitsOfIdlePasses(20, 30) == 0U);
  BOOST_TEST(VisitsOfIdlePasses(40, 30) == 0U);
  BOOST_TEST(VisitsOfIdlePasses(20, 60) == 0U);
}

// Each end of a run costs one visit for each step that waits, whatever the
// pool's size.
BOOST_AUTO_TEST_CASE(EndOfARunCostsAVisitForEachWaitingStep) {
  constexpr int kSteps = 30;
  constexpr int kEnds = 10;
  for (const int workers : {20, 40}) {
    Pool pool(workers);
    for (int i = 0; i < kSteps; ++i)
      pool.AddJob(fmt::format("apart{}", i), StepKeptApart(workers));
    for (int i = 0; i < 12; ++i)
      pool.RunPassAndReport();
    const std::uint64_t before = pool.VainVisits();
    for (int i = 0; i < kEnds; ++i) {
      const std::string small = fmt::format("small{}", i);
      pool.AddJob(small, SmallStep());
      pool.RunPassAndReport();
      for (std::size_t k = 0; k < pool.runs.size(); ++k) {
        if (pool.runs[k].task.job == small) {
          pool.End(k);
          break;
        }
      }
      pool.RunPassAndReport();
    }
    pool.RunPassAndReport();
    BOOST_TEST(pool.VainVisits() - before <=
               static_cast<std::uint64_t>(2 * kEnds * kSteps));
  }
}

// Many steps that have not been searched for, in the largest pool: each pass
// goes on behind those of the one before, so that all are tried.
BOOST_AUTO_TEST_CASE(SpentPassesGoOnBehindWhatTheyHaveTried) {
  constexpr int kManyWorkers = 400;
  Pool pool(kManyWorkers);
  for (int i = 0; i < 60; ++i) {
    jobs::Step step = StepKeptApart(kManyWorkers);
    step.tasks = 2;
    step.label = "";
    step.task_resources.cpu_millis = 4001 + i;  // more than any worker has
    step.task_resources.memory_mb = 1000 - i;
    pool.AddJob(fmt::format("large{}", i), step);
  }
  pool.AddJob("behind", SmallStep());
  const bool started = pool.Starts("behind", 60);
  BOOST_TEST(started);
}

// --- No task waits for capacity that is there ---

bool HasRoomFor(const Worker& worker,
                const Job& job,
                const TaskPosition& position) {
  return IsSuitable(worker, job, position) &&
         jobs::Fits(ReservedBy(StepOf(job, position)), worker.free_capacity());
}

// Checks each waiting task against each worker, without any memory.
void CheckThatNoTaskIsPassedOver(const Pool& pool) {
  for (const auto& [id, job] : pool.scheduler.all_jobs()) {
    const StepState& step = job.occurrences.front().steps.front();
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
      if (step.tasks[i].state != TaskState::kReady)
        continue;
      const TaskPosition position{
          .occurrence = 0, .step = 0, .index = static_cast<int>(i)};
      std::int64_t room = 0;
      for (const auto& [incarnation, worker] : pool.scheduler.all_workers()) {
        if (!HasRoomFor(worker, job, position) || worker.info.draining)
          continue;
        room += StepOf(job, position).gang
                    ? jobs::CountFitting(ReservedBy(StepOf(job, position)),
                                         worker.free_capacity(), 100)
                    : 1;
      }
      const std::int64_t needed =
          StepOf(job, position).gang
              ? static_cast<std::int64_t>(step.tasks.size())
              : 1;
      RC_ASSERT(room < needed);
    }
  }
}

jobs::Step DrawStep() {
  jobs::Step step = Pool::OneTask();
  step.tasks = *rc::gen::inRange(1, 6);
  step.task_resources = {
      .cpu_millis = 500 * *rc::gen::inRange<std::int64_t>(1, 8),
      .memory_mb = 500 * *rc::gen::inRange<std::int64_t>(1, 8),
      .gpus = 0};
  const int shape = *rc::gen::inRange(0, 4);
  step.gang = shape == 0;
  step.max_per_worker = shape == 1 ? 1 : 0;
  if (shape == 2)
    step.label = "label";
  return step;
}

// Guards against a change of a worker that goes unnoticed, so that a task which
// it would let start waits on.
BOOST_AUTO_TEST_CASE(NoTaskWaitsForCapacityThatIsThere) {
  const bool holds = rc::check([] {
    Pool pool(2);
    pool.AddWorker("labelled", {"label"});
    int jobs = 0;
    int workers = 0;
    const int rounds = *rc::gen::inRange(5, 40);
    for (int round = 0; round < rounds; ++round) {
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
        case 1:
        case 2:
          pool.AddJob(fmt::format("job{}", ++jobs), DrawStep());
          break;
        case 3:
        case 4:
        case 5:
          if (!pool.runs.empty())
            pool.End(*rc::gen::inRange<std::size_t>(0, pool.runs.size()));
          break;
        case 6: {
          // The worker's capacity or label changes.
          WorkerInfo info = Pool::Worker(Pool::IdOf(0));
          info.capacity.cpu_millis =
              1000 * *rc::gen::inRange<std::int64_t>(4, 9);
          if (*rc::gen::arbitrary<bool>())
            info.labels = {"label"};
          pool.scheduler.UpdateWorker(info, pool.now);
          break;
        }
        case 7:
          if (workers < 3)
            pool.AddWorker(fmt::format("new{}", ++workers));
          break;
        default:
          break;
      }
      pool.RunPassAndReport();
    }
    // The next pass sees the changes of the last round.
    pool.RunPassAndReport();
    pool.RunPassAndReport();
    CheckThatNoTaskIsPassedOver(pool);
  });
  BOOST_TEST(holds);
}

}  // namespace
}  // namespace quartzhoist::scheduler
