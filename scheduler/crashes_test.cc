// Tasks that crash the workers that start them.

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <vector>

#include "jobs/progress.h"
#include "testing/scheduler_model.h"

namespace quartzhoist::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ModelJob MakeJob(const std::string& id, int tasks) {
  jobs::Step step;
  step.tasks = tasks;
  step.task_resources = {.cpu_millis = 800, .memory_mb = 100, .gpus = 0};
  step.estimate_ms = 1000;
  ModelJob job;
  job.id = id;
  job.spec.text = "text";
  job.spec.steps = {step};
  return job;
}

std::string Joined(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines)
    text += line + "\n";
  return text;
}

}  // namespace

// On real machines one task crashed each worker that started it, 10 ms after
// the start. Whatever ran beside it was lost with the worker and put back into
// the queue together with it, at once and with no trace of the crash; so the
// same company was placed together again as soon as the loss was noted, each
// 3.6 s, under one owner as under the next. Of one owner:
//   19.995 run_started run 1002     20.005 does not answer (unknown)
//   23.602 run_started run 1003     23.614 does not answer (unknown)
//   28.208 run_unsettled run 1004   28.210 does not answer (unknown)
//   31.273 run_started run 1005     31.321 does not answer (not_sent)
//   34.863 run_started run 1006     34.876 does not answer (unknown)
// Between 28.23 and 31.27 s five of the company ran elsewhere, unharmed.
BOOST_AUTO_TEST_CASE(TaskThatCrashesItsWorkersIsGivenUp) {
  ModelJob guilty = MakeJob("guilty", 4);
  guilty.crashing = {{.occurrence = 0, .step = 0, .index = 0}};
  const std::vector<ModelJob> jobs = {guilty, MakeJob("beside", 2),
                                      MakeJob("other", 5)};
  SchedulerModel model(1, {}, 5, jobs);
  model.RunFor(seconds(60));
  BOOST_TEST(Joined(model.broken()) == "");
  BOOST_CHECK(model.StateOf("guilty") == jobs::JobState::kFailed);
  BOOST_CHECK(model.StateOf("beside") == jobs::JobState::kCompleted);
  BOOST_CHECK(model.StateOf("other") == jobs::JobState::kCompleted);
  BOOST_TEST(model.crashed_workers() <= 3);
}

// What one owner knows of crashes, the next one goes by: each of them has seen
// one or two, and none of them three.
BOOST_AUTO_TEST_CASE(CrashesThatEarlierOwnersSawCount) {
  ModelJob guilty = MakeJob("guilty", 1);
  guilty.crashing = {{.occurrence = 0, .step = 0, .index = 0}};
  SchedulerModel model(1, {}, 5, {guilty, MakeJob("other", 5)});
  for (int i = 0; i < 10; ++i) {
    model.RunFor(seconds(4));
    model.TakeOver();
  }
  BOOST_TEST(Joined(model.broken()) == "");
  BOOST_CHECK(model.StateOf("guilty") == jobs::JobState::kFailed);
  BOOST_CHECK(model.StateOf("other") == jobs::JobState::kCompleted);
  BOOST_TEST(model.crashed_workers() <= 3);
}

// Of a lasting job one task may be away at a time. One that crashes its workers
// is not started any more; the others are not stopped for it.
BOOST_AUTO_TEST_CASE(LastingTasksBesideACrashingOneServeOn) {
  ModelJob lasting = MakeJob("lasting", 4);
  lasting.spec.steps[0].long_running = true;
  lasting.spec.steps[0].max_unavailable = 1;
  lasting.crashing = {{.occurrence = 0, .step = 0, .index = 2}};
  SchedulerModel model(1, {}, 6, {lasting});
  model.RunFor(seconds(40));
  model.TakeOver();
  model.RunFor(seconds(10));
  BOOST_TEST(Joined(model.broken()) == "");
  BOOST_TEST(model.RunningTasks("lasting") == 3);
  BOOST_TEST(model.crashed_workers() <= 5);
}

// Whatever owners follow one another, stand still or are cut off, whatever
// answers and saves are lost, and though workers crash by themselves as well.
BOOST_AUTO_TEST_CASE(CrashingTasksAreStartedNoMoreThanTheyMay) {
  const bool holds = rc::check("crashing tasks are given up in time", [] {
    const auto odds = [](int most_per_mille) {
      return *rc::gen::inRange(0, most_per_mille) / 1000.0;
    };
    std::vector<ModelJob> jobs;
    const int count = *rc::gen::inRange(2, 6);
    for (int i = 0; i < count; ++i) {
      ModelJob job =
          MakeJob("job" + std::to_string(i), *rc::gen::inRange(1, 6));
      job.crash_after = milliseconds(*rc::gen::element(10, 300, 1500));
      if (i < 2)
        job.crashing = {{.occurrence = 0, .step = 0, .index = 0}};
      job.spec.steps[0].long_running = *rc::gen::inRange(0, 4) == 0;
      jobs.push_back(job);
    }
    ModelFaults faults;
    faults.lost_answer = odds(150);
    faults.lost_order = odds(100);
    faults.late_order = odds(50);
    faults.lost_save = odds(200);
    faults.late_save = odds(100);
    faults.crash = odds(100);
    faults.cut = odds(300);
    faults.takeover = odds(200);
    faults.late_job = odds(300);
    faults.part_away = odds(300);
    faults.freeze = odds(100);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    SchedulerModel model(seed, faults, *rc::gen::inRange(3, 8), jobs);
    model.RunFor(seconds(40));
    model.Heal();
    model.RunFor(seconds(60));
    RC_LOG() << Joined(model.broken()) << model.History();
    RC_ASSERT(model.broken().empty());
    for (const ModelJob& job : jobs) {
      RC_LOG() << job.id << " is "
               << base::NameOf(jobs::kJobStateNames, model.StateOf(job.id))
               << "\n";
      const jobs::Step& step = job.spec.steps[0];
      const auto guilty = static_cast<int>(job.crashing.size());
      const int running = model.RunningTasks(job.id);
      if (step.long_running) {
        RC_ASSERT(running <= step.tasks - guilty);
        RC_ASSERT(running >=
                  step.tasks - guilty - model.TasksThatMayBeGivenUp(job.id));
      } else if (guilty > 0) {
        RC_ASSERT(model.StateOf(job.id) == jobs::JobState::kFailed);
      } else {
        RC_ASSERT(jobs::IsFinal(model.StateOf(job.id)));
      }
    }
  });
  BOOST_TEST(holds);
}

// Jobs that lost workers to others' tasks are completed, whoever owned.
BOOST_AUTO_TEST_CASE(CompanyOfCrashingTasksIsNotGivenUp) {
  const bool holds = rc::check("healthy jobs are completed", [] {
    std::vector<ModelJob> jobs;
    for (int i = 0; i < 8; ++i) {
      ModelJob job =
          MakeJob("job" + std::to_string(i), *rc::gen::inRange(1, 6));
      job.crash_after = milliseconds(*rc::gen::element(10, 300));
      if (i < 3)
        job.crashing = {{.occurrence = 0, .step = 0, .index = 0}};
      jobs.push_back(job);
    }
    ModelFaults faults;
    faults.takeover = *rc::gen::inRange(0, 200) / 1000.0;
    faults.lost_answer = *rc::gen::inRange(0, 100) / 1000.0;
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    SchedulerModel model(seed, faults, *rc::gen::inRange(4, 10), jobs);
    model.RunFor(seconds(30));
    model.Heal();
    model.RunFor(seconds(40));
    RC_LOG() << Joined(model.broken()) << model.History();
    RC_ASSERT(model.broken().empty());
    int guilty = 0;
    for (const ModelJob& job : jobs) {
      guilty += !job.crashing.empty();
      RC_ASSERT(model.StateOf(job.id) == (job.crashing.empty()
                                              ? jobs::JobState::kCompleted
                                              : jobs::JobState::kFailed));
    }
    // What an owner saw of a run that lived on, the next one does not know, and
    // a start without an answer may never have begun: the two starts that are
    // allowed beyond three crashes may be needed.
    const bool is_plain = model.takeovers() == 0 && faults.lost_answer == 0.0;
    const int most = is_plain ? 3 : 5;
    RC_ASSERT(model.crashed_workers() <= most * guilty);
  });
  BOOST_TEST(holds);
}

}  // namespace quartzhoist::testing
