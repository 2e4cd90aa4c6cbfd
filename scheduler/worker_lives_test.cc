// Workers that start again under the id that they had.

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <vector>

#include "testing/scheduler_bench.h"
#include "testing/scheduler_model.h"

namespace quartzhoist::testing {
namespace {

using scheduler::Listing;
using scheduler::LookAt;
using scheduler::RunEnd;
using scheduler::SaveProgress;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Bench = SchedulerBench;

constexpr std::int64_t kFirstBorn = 1'000;
constexpr std::int64_t kNextBorn = 60'000;

jobs::Step MakeStep(int tasks, std::int64_t cpu) {
  jobs::Step step;
  step.tasks = tasks;
  step.each = {.cpu_millis = cpu, .memory_mb = 300, .gpus = 0};
  step.estimate_ms = 1000;
  return step;
}

// Jobs of one or two steps, and of lasting tasks.
std::vector<ModelJob> DrawJobs(int count) {
  std::vector<ModelJob> jobs;
  for (int i = 0; i < count; ++i) {
    ModelJob job;
    job.id = "job" + std::to_string(i);
    job.attempts = *rc::gen::inRange(1, 4);
    job.spec.text = "text";
    job.spec.steps.push_back(
        MakeStep(*rc::gen::inRange(1, 6), *rc::gen::inRange(300, 1500)));
    const int kind = *rc::gen::inRange(0, 4);
    if (kind == 0) {
      job.spec.steps.back().lasting = true;
      job.spec.steps.back().each = {
          .cpu_millis = 50, .memory_mb = 50, .gpus = 0};
    } else if (kind == 1) {
      job.spec.steps.push_back(MakeStep(*rc::gen::inRange(1, 4), 1000));
      job.spec.steps.back().after = {0};
    }
    jobs.push_back(job);
  }
  return jobs;
}

std::string Joined(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines)
    text += line + "\n";
  return text;
}

}  // namespace

// Guards against ends of a worker's next life that pass for ends already read.
BOOST_AUTO_TEST_CASE(EndsAfterARestartUnderTheSameIdAreRead) {
  Bench bench(1);
  bench.scheduler.PutWorker(Bench::Worker("w"), bench.now);
  bench.List("w", {.born_ms = kFirstBorn});
  bench.AddJob("before");
  const scheduler::StartRun before = bench.NextStart();
  bench.scheduler.Granted("w", bench.now + milliseconds(2500));
  bench.scheduler.Started(before, scheduler::OrderOutcome::kDone, bench.now);
  bench.List("w", {.born_ms = kFirstBorn,
                   .ended = {{.number = 5,
                              .task = before.task,
                              .run = before.run,
                              .how = RunEnd::kDone}}});
  bench.Save(Only<SaveProgress>(bench.Turn()));
  bench.Turn();
  // It starts again, numbers its ends from 1 and hears no older number.
  bench.List("w", {.born_ms = kNextBorn});
  bench.AddJob("after");
  const scheduler::StartRun after = bench.NextStart();
  BOOST_REQUIRE(after.task == FirstTask("after"));
  bench.scheduler.Granted("w", bench.now + milliseconds(2500));
  bench.scheduler.Started(after, scheduler::OrderOutcome::kDone, bench.now);
  for (const LookAt& look : Only<LookAt>(bench.Turn()))
    BOOST_TEST(look.acknowledged == 0);
  bench.List("w", {.born_ms = kNextBorn,
                   .ended = {{.number = 1,
                              .task = after.task,
                              .run = after.run,
                              .how = RunEnd::kDone}}});
  const auto saves = Only<SaveProgress>(bench.Turn());
  BOOST_REQUIRE(saves.size() == 1U);
  BOOST_CHECK(jobs::DecodeProgress(saves[0].text)->state ==
              jobs::JobState::kCompleted);
}

// Guards against repeats when workers keep their id and lose all else, at any
// point between a call and its answer.
BOOST_AUTO_TEST_CASE(EndsOfWorkersThatKeepTheirIdAreNotLost) {
  const bool holds = rc::check("tasks on restarting workers run once", [] {
    const std::vector<ModelJob> jobs = DrawJobs(*rc::gen::inRange(2, 7));
    ModelFaults faults;
    faults.restart = *rc::gen::inRange(100, 2000) / 1000.0;
    faults.failing_run = *rc::gen::inRange(0, 300) / 1000.0;
    faults.lost_answer = *rc::gen::inRange(0, 100) / 1000.0;
    faults.lost_order = *rc::gen::inRange(0, 100) / 1000.0;
    faults.lost_save = *rc::gen::inRange(0, 200) / 1000.0;
    faults.late_save = *rc::gen::inRange(0, 100) / 1000.0;
    faults.cut = *rc::gen::inRange(0, 300) / 1000.0;
    faults.takeover = *rc::gen::inRange(0, 200) / 1000.0;
    faults.freeze = *rc::gen::inRange(0, 100) / 1000.0;
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    SchedulerModel model(seed, faults, *rc::gen::inRange(2, 6), jobs);
    model.RunFor(seconds(25));
    model.Heal();
    model.RunFor(seconds(45));
    RC_LOG() << Joined(model.broken()) << model.History();
    RC_ASSERT(model.broken().empty());
    for (const ModelJob& job : jobs) {
      RC_LOG() << job.id << " is "
               << base::NameOf(jobs::kJobStateNames, model.StateOf(job.id));
      if (job.spec.steps.back().lasting) {
        const int missing =
            job.spec.steps.back().tasks - model.RunningTasks(job.id);
        RC_ASSERT(missing >= 0);
        RC_ASSERT(missing <= model.TasksThatMayBeGivenUp(job.id));
      } else {
        RC_ASSERT(jobs::IsFinal(model.StateOf(job.id)));
      }
    }
  });
  BOOST_TEST(holds);
}

}  // namespace quartzhoist::testing
