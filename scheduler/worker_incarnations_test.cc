// Tests of workers that restart under the same id.

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "testing/scheduler_bench.h"
#include "testing/scheduler_model.h"

namespace quartzhoist::testing {
namespace {

using scheduler::PollWorker;
using scheduler::RunEndReason;
using scheduler::SaveProgress;
using scheduler::WorkerReport;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Bench = SchedulerBench;

constexpr std::int64_t kFirstBorn = 1'000;
constexpr std::int64_t kNextBorn = 60'000;

jobs::Step MakeStep(int tasks, std::int64_t cpu) {
  jobs::Step step;
  step.tasks = tasks;
  step.task_resources = {.cpu_millis = cpu, .memory_mb = 300, .gpus = 0};
  step.estimate_ms = 1000;
  return step;
}

// Generates jobs of one or two steps, some of them with long-running tasks.
std::vector<ModelJob> GenerateJobs(int count) {
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
      job.spec.steps.back().long_running = true;
      job.spec.steps.back().task_resources = {
          .cpu_millis = 50, .memory_mb = 50, .gpus = 0};
    } else if (kind == 1) {
      job.spec.steps.push_back(MakeStep(*rc::gen::inRange(1, 4), 1000));
      job.spec.steps.back().depends_on = {0};
    }
    jobs.push_back(job);
  }
  return jobs;
}

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines)
    text += line + "\n";
  return text;
}

bool IsLongRunning(const ModelJob& job) {
  return job.spec.steps.back().long_running;
}

// Runs the model for 25 s with generated faults and worker restarts, then for
// 45 s without faults.
std::unique_ptr<SchedulerModel> RunModelWithRestarts(
    const std::vector<ModelJob>& jobs) {
  const auto probability = [](int most_per_mille) {
    return *rc::gen::inRange(0, most_per_mille) / 1000.0;
  };
  ModelFaults faults;
  faults.restart = *rc::gen::inRange(100, 2000) / 1000.0;
  faults.failing_run = probability(300);
  faults.lost_answer = probability(100);
  faults.lost_command = probability(100);
  faults.late_command = probability(100);
  faults.lost_save = probability(200);
  faults.late_save = probability(100);
  faults.partition = probability(300);
  faults.takeover = probability(200);
  faults.owner_pause = probability(100);
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  auto model = std::make_unique<SchedulerModel>(seed, faults,
                                                *rc::gen::inRange(2, 6), jobs);
  model->RunFor(seconds(25));
  model->Heal();
  model->RunFor(seconds(45));
  RC_LOG() << JoinLines(model->violations()) << model->History();
  return model;
}

}  // namespace

// Each incarnation numbers its ends from 1. Guards against skipping ends of the
// next incarnation as already read because their numbers are lower.
BOOST_AUTO_TEST_CASE(EndsAfterRestartUnderSameIdAreProcessed) {
  Bench bench(1);
  scheduler::WorkerInfo first = Bench::Worker("w");
  first.incarnation.start_ms = kFirstBorn;
  bench.scheduler.UpdateWorker(first, bench.now);
  bench.Report("w", {.incarnation = {.id = "w", .start_ms = kFirstBorn}});
  bench.AddJob("before");
  const scheduler::StartRun before = bench.NextStart();
  bench.scheduler.LeaseGranted(bench.LifeOf("w"),
                               bench.now + milliseconds(2500));
  bench.scheduler.StartAnswered(before, scheduler::CommandOutcome::kDone,
                                bench.now);
  bench.Report("w", {.incarnation = {.id = "w", .start_ms = kFirstBorn},
                     .ended = {{.sequence = 5,
                                .task = before.task,
                                .run = before.run,
                                .reason = RunEndReason::kSucceeded}}});
  bench.Save(Only<SaveProgress>(bench.RunPass()));
  bench.RunPass();
  // The worker restarts, numbers its ends from 1 again, and must not receive an
  // acknowledgement for the earlier incarnation.
  scheduler::WorkerInfo next = Bench::Worker("w");
  next.incarnation.start_ms = kNextBorn;
  bench.scheduler.UpdateWorker(next, bench.now);
  bench.Report("w", {.incarnation = {.id = "w", .start_ms = kNextBorn}});
  bench.AddJob("after");
  const scheduler::StartRun after = bench.NextStart();
  BOOST_REQUIRE(after.task == FirstTask("after"));
  bench.scheduler.LeaseGranted(bench.LifeOf("w"),
                               bench.now + milliseconds(2500));
  bench.scheduler.StartAnswered(after, scheduler::CommandOutcome::kDone,
                                bench.now);
  for (const PollWorker& poll : Only<PollWorker>(bench.RunPass()))
    BOOST_TEST(poll.acknowledged == 0);
  bench.Report("w", {.incarnation = {.id = "w", .start_ms = kNextBorn},
                     .ended = {{.sequence = 1,
                                .task = after.task,
                                .run = after.run,
                                .reason = RunEndReason::kSucceeded}}});
  const auto saves = Only<SaveProgress>(bench.RunPass());
  BOOST_REQUIRE(saves.size() == 1U);
  BOOST_CHECK(jobs::DecodeProgress(saves[0].text)->state ==
              jobs::JobState::kCompleted);
}

// Guards against an acknowledgement that reaches a later incarnation, which
// would take it for its own ends and discard them. While a start is not
// confirmed by a report, a later incarnation may have received it.
BOOST_AUTO_TEST_CASE(EndsAreNotAcknowledgedBesideUnconfirmedRun) {
  Bench bench(1);
  scheduler::WorkerInfo info = Bench::Worker("w");
  info.incarnation.start_ms = kFirstBorn;
  bench.scheduler.UpdateWorker(info, bench.now);
  bench.Report("w", {});
  bench.AddJob("first");
  const scheduler::StartRun first = bench.NextStart();
  bench.scheduler.LeaseGranted(first.worker, bench.now + milliseconds(2500));
  bench.scheduler.StartAnswered(first, scheduler::CommandOutcome::kDone,
                                bench.now);
  bench.ReportEnd("w", first.task, first.run, RunEndReason::kSucceeded);
  bench.AddJob("next");
  const scheduler::StartRun next = bench.NextStart();
  BOOST_REQUIRE(next.task == FirstTask("next"));
  bench.scheduler.LeaseGranted(next.worker, bench.now + milliseconds(2500));
  bench.scheduler.StartAnswered(next, scheduler::CommandOutcome::kDone,
                                bench.now);
  // The poll in flight does not show the start yet.
  bench.Report("w", {});
  const auto before = Only<PollWorker>(bench.RunPass());
  BOOST_REQUIRE(before.size() == 1U);
  BOOST_TEST(before[0].acknowledged == 0);
  bench.Report("w", {.running = {{.task = next.task, .run = next.run}}});
  const auto after = Only<PollWorker>(bench.RunPass());
  BOOST_REQUIRE(after.size() == 1U);
  BOOST_TEST(after[0].acknowledged == 1);
}

// Guards against a late start that the next incarnation carries out because it
// does not know that the run was stopped.
BOOST_AUTO_TEST_CASE(UnansweredStartIsStoppedAtNextIncarnationToo) {
  Bench bench(1);
  scheduler::WorkerInfo info = Bench::Worker("w");
  info.incarnation.start_ms = kFirstBorn;
  bench.scheduler.UpdateWorker(info, bench.now);
  bench.Report("w", {});
  bench.AddJob("job");
  const scheduler::StartRun start = bench.NextStart();
  bench.scheduler.LeaseGranted(start.worker, bench.now + milliseconds(2500));
  bench.scheduler.StartAnswered(start, scheduler::CommandOutcome::kUnknown,
                                bench.now);
  for (int i = 0; i < 4; ++i) {
    for (const scheduler::StopRun& stop :
         Only<scheduler::StopRun>(bench.RunPass()))
      bench.scheduler.StopAnswered(stop, scheduler::CommandOutcome::kDone,
                                   bench.now);
    bench.Report("w", {});
  }
  BOOST_REQUIRE(!bench.scheduler.FindWorker("w")->runs.contains(start.task));
  info.incarnation.start_ms = kNextBorn;
  bench.scheduler.UpdateWorker(info, bench.now);
  const auto stops = Only<scheduler::StopRun>(bench.scheduler.TakeActions());
  BOOST_REQUIRE(stops.size() == 1U);
  BOOST_CHECK(stops[0].worker == info.incarnation);
  BOOST_TEST(stops[0].run == start.run);
}

// Guards against a second start of a run that the next incarnation answered:
// the owner was paused, so the last reading of the worker's clock was seconds
// old.
BOOST_AUTO_TEST_CASE(RunAnsweredByNextIncarnationAfterPauseStartsOnce) {
  Bench bench(1);
  scheduler::WorkerInfo info = Bench::Worker("w");
  info.incarnation.start_ms = kFirstBorn;
  bench.scheduler.UpdateWorker(info, bench.now);
  bench.scheduler.PollSent({.worker = info.incarnation}, bench.now);
  bench.now += seconds(2);
  bench.scheduler.WorkerReported(
      info.incarnation, {.incarnation = info.incarnation, .clock_ms = 200},
      bench.now);
  bench.scheduler.WorkersRecorded({info.incarnation});
  bench.AddJob("job");
  const scheduler::StartRun start = bench.NextStart();
  BOOST_REQUIRE(start.task == FirstTask("job"));
  bench.scheduler.LeaseGranted(start.worker, bench.now + milliseconds(2500));
  // The next incarnation started 1.5 s ago, while the owner was paused.
  bench.scheduler.StartAnswered(start, scheduler::CommandOutcome::kDone,
                                bench.now, 1500);
  bench.scheduler.UpdateWorker(Bench::Worker("other"), bench.now);
  bench.Report("other", {});
  info.incarnation.start_ms = kNextBorn;
  bench.scheduler.UpdateWorker(info, bench.now);
  BOOST_TEST(bench.NextStart().task.job == "");
  bench.Report("w", {.running = {{.task = start.task, .run = start.run}}});
  const auto actions = bench.RunPass();
  BOOST_TEST(Only<scheduler::StopRun>(actions).empty());
  BOOST_TEST(Only<scheduler::StartRun>(actions).empty());
}

// Guards against a task that is never started: the late answer to the start of
// its run before, from an earlier incarnation's address, removed the planned
// run.
BOOST_AUTO_TEST_CASE(LateAnswerToTheStartBeforeKeepsThePlannedRun) {
  Bench bench(1);
  scheduler::WorkerInfo info = Bench::Worker("w");
  info.incarnation.start_ms = kFirstBorn;
  bench.scheduler.UpdateWorker(info, bench.now);
  bench.Report("w", {});
  bench.AddJob("job", Bench::OneLongRunningTask());
  const scheduler::StartRun first = bench.NextStart();
  BOOST_REQUIRE(first.task == FirstTask("job"));
  bench.ReportEnd("w", first.task, first.run, RunEndReason::kFailed);
  info.incarnation.start_ms = kNextBorn;
  bench.scheduler.UpdateWorker(info, bench.now);
  bench.Report("w", {});
  const auto saves = Only<SaveProgress>(bench.RunPass());
  BOOST_REQUIRE(!saves.empty());
  bench.scheduler.StartAnswered(
      first, scheduler::CommandOutcome::kOtherIncarnation, bench.now);
  bench.Save(saves);
  const auto starts = Only<scheduler::StartRun>(bench.scheduler.TakeActions());
  BOOST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts[0].run > first.run);
}

// Guards against a start beside a run of a worker that restarted shortly before
// a takeover: an earlier owner's command for the previous incarnation may have
// granted it the longest lease, whatever the recorded end of the earlier
// owner's leases.
static void CheckRunOfYoungIncarnationIsWaitedFor(base::Micros recorded_lease) {
  Bench bench(2);
  scheduler::WorkerInfo info = Bench::Worker("w");
  info.incarnation.start_ms = kFirstBorn;
  bench.scheduler.InheritWorker(info, bench.now + recorded_lease);
  bench.scheduler.UpdateWorker(info, bench.now);
  bench.AddJob("job");
  bench.scheduler.PollSent({.worker = info.incarnation}, bench.now);
  WorkerReport report{.incarnation = info.incarnation, .clock_ms = 4000};
  report.running = {{.task = FirstTask("job"), .run = 1}};
  bench.scheduler.WorkerReported(info.incarnation, report, bench.now);
  bench.scheduler.UpdateWorker(Bench::Worker("other"), bench.now);
  bench.Report("other", {});
  const base::Micros reported = bench.now;
  while (bench.now < reported + seconds(8)) {
    const auto actions = bench.RunPass();
    BOOST_TEST(Only<scheduler::StartRun>(actions).empty());
    bench.Save(Only<SaveProgress>(actions));
  }
  BOOST_CHECK(bench.NextStart().task == FirstTask("job"));
}

BOOST_AUTO_TEST_CASE(RunOfYoungIncarnationMayOutliveOneGrantAfterTakeover) {
  CheckRunOfYoungIncarnationIsWaitedFor(seconds(10));
}

BOOST_AUTO_TEST_CASE(RunOfYoungIncarnationMayOutliveTheRecordedLease) {
  CheckRunOfYoungIncarnationIsWaitedFor(seconds(3));
}

// Guards against tasks that run twice when workers restart under the same id,
// without their state, at any point between a call and its answer.
BOOST_AUTO_TEST_CASE(EndsSurviveWorkerRestartsUnderSameId) {
  const bool holds = rc::check("tasks on restarting workers run once", [] {
    const std::vector<ModelJob> jobs = GenerateJobs(*rc::gen::inRange(2, 7));
    const auto model = RunModelWithRestarts(jobs);
    RC_ASSERT(model->violations().empty());
    for (const ModelJob& job : jobs) {
      RC_LOG() << job.id << " is "
               << base::NameOf(jobs::kJobStateNames, model->StateOf(job.id))
               << "\n";
      if (!IsLongRunning(job))
        RC_ASSERT(jobs::IsFinal(model->StateOf(job.id)));
    }
  });
  BOOST_TEST(holds);
}

// Guards against giving up long-running tasks for worker losses that did not
// happen.
BOOST_AUTO_TEST_CASE(LongRunningTasksSurviveWorkerRestarts) {
  const bool holds = rc::check("long-running tasks run on", [] {
    const std::vector<ModelJob> jobs = GenerateJobs(*rc::gen::inRange(2, 7));
    const auto model = RunModelWithRestarts(jobs);
    for (const ModelJob& job : jobs) {
      if (!IsLongRunning(job))
        continue;
      const int missing =
          job.spec.steps.back().tasks - model->RunningTasks(job.id);
      RC_ASSERT(missing >= 0);
      RC_ASSERT(missing <= model->TasksThatMayBeGivenUp(job.id));
    }
  });
  BOOST_TEST(holds);
}

}  // namespace quartzhoist::testing
