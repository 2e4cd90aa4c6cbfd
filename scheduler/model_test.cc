// Property tests of the scheduler's invariants against a model of the store and
// the workers, with several owners active at once.

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include <array>
#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "testing/model_draws.h"
#include "testing/scheduler_model.h"

namespace quartzhoist::testing {
namespace {

using std::chrono::seconds;

// More tasks than the workers can do in the time of a test.
std::vector<ModelJob> DrawBacklog(int workers) {
  std::vector<ModelJob> jobs(4);
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    jobs[i].id = "job" + std::to_string(i);
    jobs[i].spec.text = "text";
    jobs[i].spec.steps = {MakeStep(20 * workers, DrawBetween(600, 1800))};
  }
  return jobs;
}

ModelFaults DrawFaults() {
  const auto odds = [](int max_per_mille) {
    return *rc::gen::inRange(0, max_per_mille) / 1000.0;
  };
  ModelFaults faults;
  faults.lost_answer = odds(150);
  faults.lost_command = odds(150);
  faults.late_command = odds(100);
  faults.lost_save = odds(200);
  faults.late_save = odds(100);
  faults.crash = odds(100);
  faults.partition = odds(300);
  faults.takeover = odds(200);
  faults.late_job = odds(300);
  faults.store_outage = odds(300);
  faults.owner_pause = odds(100);
  faults.failing_run = odds(200);
  return faults;
}

using FaultTriple = std::array<ModelFault, 3>;

// One fault of a worker, one of the store and one of the owner.
FaultTriple DrawTriple() {
  constexpr std::array kOfWorkers = {ModelFault::kCrash, ModelFault::kRestart,
                                     ModelFault::kPartition,
                                     ModelFault::kCapacityDrop};
  constexpr std::array kOfStore = {ModelFault::kAnnouncementOutage,
                                   ModelFault::kRowOutage};
  constexpr std::array kOfOwners = {ModelFault::kOwnerPause,
                                    ModelFault::kTakeover};
  return {kOfWorkers[static_cast<std::size_t>(DrawBetween(0, 3))],
          kOfStore[static_cast<std::size_t>(DrawBetween(0, 1))],
          kOfOwners[static_cast<std::size_t>(DrawBetween(0, 1))]};
}

void PrintTriples(const std::map<FaultTriple, int>& counts) {
  for (const auto& [triple, count] : counts) {
    fmt::print("  {:>4}", count);
    for (const ModelFault fault : triple)
      fmt::print(" {}", base::NameOf(kModelFaultNames, fault));
    fmt::print("\n");
  }
}

bool IsLongRunning(const ModelJob& job) {
  return job.spec.steps.back().long_running;
}

}  // namespace

BOOST_AUTO_TEST_CASE(JobsCompleteWithoutFaults) {
  std::vector<ModelJob> jobs(2);
  jobs[0].id = "chain";
  jobs[0].spec.steps = {MakeStep(3, 1000), MakeStep(2, 1000)};
  jobs[0].spec.steps[1].depends_on = {0};
  jobs[1].id = "lasting";
  jobs[1].spec.steps = {MakeStep(4, 1000)};
  jobs[1].spec.steps[0].long_running = true;
  SchedulerModel model(1, {}, 4, jobs);
  model.RunFor(seconds(15));
  BOOST_TEST(Joined(model.violations()) == "");
  BOOST_CHECK(model.StateOf("chain") == jobs::JobState::kCompleted);
  BOOST_TEST(model.RunningTasks("lasting") == 4);
  // Without faults each task starts exactly once.
  BOOST_TEST(model.starts() == 3 + 2 + 4);
}

// Guards against a second start of a finished task: an owner that doesn't know
// of its takeover saves an end, and acknowledges it to the worker, after the
// new owner has read the row. Parts of the store are unavailable meanwhile.
BOOST_AUTO_TEST_CASE(TaskSavedAsDoneByEarlierOwnerIsNotRestarted) {
  const bool holds = rc::check("a finished task is not started again", [] {
    std::vector<ModelJob> jobs = DrawJobs(4);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    ModelFaults faults;
    faults.store_outage = 0.5;
    // A new owner reaches some workers late, while the earlier owner still
    // sends them commands.
    faults.partition = 2.0;
    SchedulerModel model(seed, faults, 5, jobs);
    for (int i = 0; i < 5; ++i) {
      model.RunFor(std::chrono::milliseconds(*rc::gen::inRange(20, 2500)));
      model.TakeOver();
    }
    model.Heal();
    model.RunFor(seconds(20));
    RC_LOG() << Joined(model.violations()) << model.History();
    RC_ASSERT(model.violations().empty());
  });
  BOOST_TEST(holds);
}

// Guards against a second start of a job that a new owner learns of from its
// worker before the store delivers it.
BOOST_AUTO_TEST_CASE(JobsReportedBeforeLoadingRunOnce) {
  const bool holds = rc::check("a job that is delivered late runs once", [] {
    std::vector<ModelJob> jobs = DrawJobs(3);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    ModelFaults faults;
    faults.late_job = 0.5;
    SchedulerModel model(seed, faults, 4, jobs);
    for (int i = 0; i < 6; ++i) {
      model.RunFor(std::chrono::milliseconds(*rc::gen::inRange(20, 2500)));
      model.TakeOver();
    }
    model.RunFor(seconds(15));
    RC_LOG() << Joined(model.violations()) << model.History();
    RC_ASSERT(model.violations().empty());
    for (const ModelJob& job : jobs) {
      if (!IsLongRunning(job))
        RC_ASSERT(jobs::IsFinal(model.StateOf(job.id)));
    }
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(GuaranteesHoldUnderFaults) {
  const bool holds = rc::check(
      "no task runs twice, too early, too often or beyond its worker's "
      "capacity, and every job ends after the faults",
      [] {
        const std::vector<ModelJob> jobs = DrawJobs(*rc::gen::inRange(1, 5));
        const int workers = *rc::gen::inRange(2, 6);
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        SchedulerModel model(seed, DrawFaults(), workers, jobs);
        model.RunFor(seconds(25));
        model.Heal();
        model.RunFor(seconds(45));
        RC_LOG() << Joined(model.violations()) << model.History();
        RC_ASSERT(model.violations().empty());
        for (const ModelJob& job : jobs) {
          RC_LOG() << job.id << " is "
                   << base::NameOf(jobs::kJobStateNames, model.StateOf(job.id))
                   << " after " << model.takeovers() << " takeovers\n";
          if (IsLongRunning(job)) {
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

BOOST_AUTO_TEST_CASE(CancelledJobsStayStopped) {
  const bool holds =
      rc::check("a cancelled job runs no more tasks, whatever the faults", [] {
        std::vector<ModelJob> jobs = DrawJobs(2);
        for (ModelJob& job : jobs) {
          if (job.spec.steps.size() == 1)
            MakeLongRunning(job.spec.steps.front());
        }
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        SchedulerModel model(seed, DrawFaults(), 3, jobs);
        model.RunFor(seconds(5));
        model.Cancel(jobs[0].id);
        model.RunFor(seconds(5));
        model.Heal();
        model.RunFor(seconds(25));
        RC_LOG() << Joined(model.violations()) << model.History();
        RC_ASSERT(model.violations().empty());
        RC_ASSERT(model.RunningTasks(jobs[0].id) == 0);
        RC_ASSERT(jobs::IsFinal(model.StateOf(jobs[0].id)));
      });
  BOOST_TEST(holds);
}

// Owners are paused between a decision and its call, replaced, and resumed.
// Calls are lost, delayed and repeated, and a box accepts an earlier owner's
// calls until the next owner has called it. During a maintenance wave, and
// while another pool takes boxes, no more boxes and tasks are away than the
// wave and the long-running job allow.
BOOST_AUTO_TEST_CASE(PausedOwnersKeepDisruptionWithinLimits) {
  const bool holds = rc::check("boxes and tasks away stay within limits", [] {
    ModelJob long_running;
    long_running.id = "lasting";
    long_running.spec.steps = {MakeStep(*rc::gen::inRange(2, 5), 500)};
    MakeLongRunning(long_running.spec.steps[0]);
    long_running.spec.steps[0].max_per_worker = 1;
    long_running.spec.steps[0].max_unavailable = 1;
    std::vector<ModelJob> jobs = {long_running};
    for (int i = 0; i < 3; ++i) {
      ModelJob job;
      job.id = "urgent" + std::to_string(i);
      job.service = i == 1 ? "pool" : "other";
      job.spec.steps = {MakeStep(*rc::gen::inRange(2, 12), 2000)};
      for (int s = 1; s < 6; ++s) {
        job.spec.steps.push_back(MakeStep(*rc::gen::inRange(1, 12), 2000));
        job.spec.steps.back().depends_on = {s - 1};
      }
      jobs.push_back(job);
    }
    ModelFaults faults;
    faults.takeover = 0.25;
    faults.owner_pause = 0.4;
    faults.pause_before_call = *rc::gen::inRange(0, 300) / 1000.0;
    faults.late_call = *rc::gen::inRange(0, 150) / 1000.0;
    faults.lost_answer = *rc::gen::inRange(0, 150) / 1000.0;
    faults.partition = *rc::gen::inRange(0, 500) / 1000.0;
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    SchedulerModel model(seed, faults, *rc::gen::inRange(5, 9), jobs);
    model.RunFor(seconds(2));
    model.BeginWave(*rc::gen::inRange(1, 4));
    model.RunFor(seconds(25));
    model.Heal();
    model.RunFor(seconds(60));
    RC_LOG() << Joined(model.violations()) << model.History();
    RC_ASSERT(model.violations().empty());
    RC_ASSERT(model.MaintainedBoxes() > 0);
    RC_ASSERT(model.RunningTasks(long_running.id) ==
              long_running.spec.steps[0].tasks);
  });
  BOOST_TEST(holds);
}

// Worker capacity drops up to twice a second and recovers, while owners change
// and commands are under way. Commands that a worker carries out seconds late
// are excluded, because the platform's pages set no time bound for them.
BOOST_AUTO_TEST_CASE(NoStartExceedsReducedCapacity) {
  const bool holds = rc::check("no start exceeds a reduced capacity", [] {
    std::vector<ModelJob> jobs = DrawJobs(*rc::gen::inRange(2, 8));
    ModelFaults faults;
    faults.capacity_drop = *rc::gen::inRange(100, 2000) / 1000.0;
    faults.takeover = *rc::gen::inRange(0, 200) / 1000.0;
    faults.owner_pause = *rc::gen::inRange(0, 100) / 1000.0;
    faults.lost_answer = *rc::gen::inRange(0, 150) / 1000.0;
    faults.lost_command = *rc::gen::inRange(0, 100) / 1000.0;
    faults.lost_save = *rc::gen::inRange(0, 200) / 1000.0;
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    SchedulerModel model(seed, faults, *rc::gen::inRange(2, 6), jobs);
    model.RunFor(seconds(25));
    model.Heal();
    model.RunFor(seconds(45));
    RC_LOG() << Joined(model.violations()) << model.History();
    RC_ASSERT(model.violations().empty());
    for (const ModelJob& job : jobs) {
      if (!IsLongRunning(job))
        RC_ASSERT(jobs::IsFinal(model.StateOf(job.id)));
    }
  });
  BOOST_TEST(holds);
}

// Store outages, capacity drops, owner pauses and takeovers begin within one
// second of each other, so that owners know capacities from before the outage.
BOOST_AUTO_TEST_CASE(WorkersThatShrinkDuringStoreOutageAreNotOverloaded) {
  const bool holds = rc::check("no start exceeds a shrunk capacity", [] {
    const int workers = DrawBetween(2, 4);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    SchedulerModel model(seed, {}, workers, DrawBacklog(workers));
    for (int i = 0; i < 2; ++i) {
      model.RunFor(DrawMillis(1000, 2500));
      model.BeginAnnouncementOutage(DrawMillis(0, 1000), DrawMillis(1000, 6000),
                                    *rc::gen::arbitrary<bool>());
      model.DropCapacities(DrawMillis(0, 1000), DrawMillis(4000, 9000),
                           DrawBetween(1, workers));
      if (*rc::gen::arbitrary<bool>())
        model.PauseOwner(DrawMillis(0, 1000), DrawMillis(1000, 6000));
      if (*rc::gen::arbitrary<bool>())
        model.BeginTakeover(DrawMillis(0, 1000));
      model.RunFor(seconds(10));
    }
    RC_LOG() << Joined(model.violations()) << model.History();
    RC_ASSERT(model.violations().empty());
  });
  BOOST_TEST(holds);
}

// Faults of a worker, the store and the owner begin within one second of each
// other, also around the steps of a takeover: a new owner reads the store 1.3 s
// after the last confirmation, polls, and places within 200 ms.
BOOST_AUTO_TEST_CASE(GuaranteesHoldWhenFaultsBeginTogether) {
  std::map<FaultTriple, int> counts;
  const bool holds = rc::check("faults that begin together", [&counts] {
    const int workers = DrawBetween(2, 4);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    ModelFaults faults;
    faults.lost_answer = DrawBetween(0, 200) / 1000.0;
    faults.lost_command = DrawBetween(0, 100) / 1000.0;
    faults.partition = DrawBetween(0, 500) / 1000.0;
    faults.restart = DrawBetween(0, 500) / 1000.0;
    faults.failing_run = DrawBetween(0, 200) / 1000.0;
    const bool has_late_commands = DrawBetween(0, 1) == 1;
    faults.late_command = has_late_commands ? 0.2 : 0.0;
    faults.lost_save = DrawBetween(0, 100) / 1000.0;
    std::vector<ModelJob> jobs = DrawBacklog(workers);
    jobs.back().spec.steps.back().tasks = std::int64_t{2} * workers;
    MakeLongRunning(jobs.back().spec.steps.back());
    SchedulerModel model(seed, faults, workers, jobs);
    for (int i = 0; i < 4; ++i) {
      model.RunFor(DrawMillis(500, 2500));
      if (DrawBetween(0, 1) == 1) {
        model.BeginTakeover({});
        model.RunFor(DrawMillis(1200, 1500));
      }
      const FaultTriple triple = DrawTriple();
      ++counts[triple];
      for (const ModelFault fault : triple)
        model.BeginAfter(DrawMillis(0, 1000), fault);
      model.RunFor(DrawMillis(1500, 5000));
    }
    model.Heal();
    model.RunFor(seconds(10));
    RC_LOG() << Joined(model.violations()) << model.History();
    // The platform sets no bound for commands that are carried out late.
    for (const std::string& violation : model.violations())
      RC_ASSERT(has_late_commands &&
                violation.find("does not fit") != std::string::npos);
  });
  PrintTriples(counts);
  BOOST_TEST(holds);
}

// Guards against runs that a cancelled job starts late: a worker carries out a
// start 2 to 6 s after it was sent, the owner that sent it has been replaced,
// or both. Each run must be stopped within 5 s of the last late start.
BOOST_AUTO_TEST_CASE(CancelledJobsStopDespiteLateStartsAndTakeover) {
  for (const double late : {0.0, 0.7}) {
    for (const bool is_replaced : {false, true}) {
      const bool holds = rc::check(
          "late starts of a cancelled job are stopped in time",
          [late, is_replaced] {
            ModelJob job;
            job.id = "cancelled";
            job.spec.steps = {MakeStep(*rc::gen::inRange(1, 6), 1000)};
            MakeLongRunning(job.spec.steps[0]);
            ModelFaults faults;
            faults.late_command = late;
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            SchedulerModel model(seed, faults, 4, {job});
            model.RunFor(
                std::chrono::milliseconds(*rc::gen::inRange(20, 4000)));
            model.Cancel(job.id);
            if (is_replaced)
              model.TakeOver();
            // No start is sent for the job any more; the last late one is
            // carried out within 6 s.
            model.RunFor(seconds(6));
            model.RunFor(seconds(5));
            RC_LOG() << Joined(model.violations()) << model.History();
            RC_ASSERT(model.violations().empty());
            RC_ASSERT(model.RunningTasks(job.id) == 0);
          });
      BOOST_TEST(holds);
    }
  }
}

}  // namespace quartzhoist::testing
