// Long-running tasks across owners that are replaced or restarted, against the
// model of the store and the workers.

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <vector>

#include "testing/model_draws.h"
#include "testing/scheduler_model.h"

namespace quartzhoist::testing {
namespace {

using std::chrono::seconds;

// Its tasks take little, so that two workers have room for all of them.
ModelJob LastingJob(int tasks) {
  ModelJob job;
  job.id = "lasting";
  job.spec.steps = {MakeStep(tasks, 0)};
  MakeLongRunning(job.spec.steps[0]);
  return job;
}

}  // namespace

// Guards against takeovers in short succession that restart the wait for a dead
// worker's lease each time, so that its tasks never start elsewhere.
BOOST_AUTO_TEST_CASE(TakeoversDoNotDelayTasksOfDeadWorkers) {
  SchedulerModel model(1, {}, 3, {LastingJob(2)});
  model.RunFor(seconds(3));
  BOOST_REQUIRE(model.RunningTasks("lasting") == 2);
  model.SilenceWorkersOf("lasting");
  for (int i = 0; i < 5; ++i) {
    model.TakeOver();
    model.RunFor(seconds(4));
  }
  BOOST_TEST(Joined(model.violations()) == "");
  BOOST_TEST(model.RunningTasks("lasting") == 2);
}

// Guards against tasks of a worker lost together with its owner that wait for
// the longest lease an owner without the store may grant, although the owner's
// daemon is back: its process granted nothing after its end.
BOOST_AUTO_TEST_CASE(TasksLostWithARestartedOwnerWaitForOneLease) {
  SchedulerModel model(1, {}, 3, {LastingJob(2)});
  model.RunFor(seconds(3));
  BOOST_REQUIRE(model.RunningTasks("lasting") == 2);
  model.SilenceWorkersOf("lasting");
  model.RestartOwner(std::chrono::milliseconds(500));
  model.RunFor(seconds(7));
  BOOST_TEST(Joined(model.violations()) == "");
  BOOST_TEST(model.RunningTasks("lasting") == 2);
}

// Guards against a task that is started while it runs beyond a cut: the second
// owner only carried the first one's grants there, and its end was taken for
// their bound.
BOOST_AUTO_TEST_CASE(EndOfASecondOwnerDoesNotBoundGrantsOfTheFirst) {
  SchedulerModel model(1, {}, 4, {LastingJob(2)});
  model.RunFor(seconds(3));
  BOOST_REQUIRE(model.RunningTasks("lasting") == 2);
  model.TakeOver();
  model.CutOwnerFromWorkersOf("lasting");
  model.RunFor(seconds(1));
  model.RestartOwner(std::chrono::milliseconds(300));
  model.CutOwnerFromWorkersOf("lasting");
  model.RunFor(seconds(12));
  BOOST_TEST(Joined(model.violations()) == "");
  BOOST_TEST(model.RunningTasks("lasting") == 2);
}

// Owners are replaced and restarted in a row, and each may be cut off from the
// workers with long-running tasks, which earlier owners still reach.
BOOST_AUTO_TEST_CASE(LongRunningTasksRunOnceAcrossRestartedOwners) {
  const bool holds = rc::check("a long-running task runs once", [] {
    const ModelJob job = LastingJob(*rc::gen::inRange(1, 5));
    std::vector<ModelJob> jobs = DrawJobs(2);
    jobs.push_back(job);
    ModelFaults faults;
    faults.partition = *rc::gen::inRange(0, 1000) / 1000.0;
    faults.crash = *rc::gen::inRange(0, 100) / 1000.0;
    faults.restart = *rc::gen::inRange(0, 200) / 1000.0;
    faults.lost_answer = *rc::gen::inRange(0, 150) / 1000.0;
    faults.lost_save = *rc::gen::inRange(0, 200) / 1000.0;
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    SchedulerModel model(seed, faults, *rc::gen::inRange(3, 7), jobs);
    model.RunFor(DrawMillis(500, 4000));
    for (int i = 0; i < 4; ++i) {
      if (DrawBetween(0, 1) == 1)
        model.TakeOver();
      else
        model.RestartOwner(DrawMillis(300, 1500));
      if (DrawBetween(0, 1) == 1)
        model.CutOwnerFromWorkersOf(job.id);
      model.RunFor(DrawMillis(200, 5000));
    }
    model.RunFor(seconds(12));
    model.Heal();
    model.RunFor(seconds(40));
    RC_LOG() << Joined(model.violations()) << model.History();
    RC_ASSERT(model.violations().empty());
    const int missing = job.spec.steps[0].tasks - model.RunningTasks(job.id);
    RC_ASSERT(missing >= 0);
    RC_ASSERT(missing <= model.TasksThatMayBeGivenUp(job.id));
  });
  BOOST_TEST(holds);
}

}  // namespace quartzhoist::testing
