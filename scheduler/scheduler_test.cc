// Tests of individual scheduling decisions.

#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/scheduler.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using testing::FirstTask;
using testing::Only;
using Bench = testing::SchedulerBench;

// A busy worker answers a poll every 0.2 s. If it stops answering, its tasks
// are restarted only once its lease has expired, so the lease must not be long;
// it must still outlast a takeover by another owner.
BOOST_AUTO_TEST_CASE(BusyWorkerLeaseStaysWithinItsBounds) {
  Bench bench(1);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report("w", {});
  bench.AddJob("job");
  const StartRun start = bench.NextStart();
  bench.scheduler.LeaseGranted(bench.LifeOf("w"),
                               bench.now + milliseconds(2500));
  bench.scheduler.StartAnswered(start, CommandOutcome::kDone, bench.now);
  const WorkerReport running{.clock_ms = 0,
                             .running = {{.task = start.task,
                                          .run = start.run,
                                          .checkpoint = "",
                                          .percent = 10}},
                             .ended = {}};
  bench.Report("w", running);
  const auto remaining_lease = [&] {
    return bench.scheduler.FindWorker("w")->latest_lease_end - bench.now;
  };
  base::Micros sum{};
  int polls = 0;
  for (int pass = 0; pass < 2000; ++pass) {
    bench.now += milliseconds(10);
    bench.Confirm();
    bench.scheduler.Advance(bench.now);
    const auto asked = Only<PollWorker>(bench.scheduler.TakeActions());
    if (asked.empty())
      continue;
    BOOST_REQUIRE(remaining_lease() > milliseconds(2200));
    const base::Micros grant = bench.now + seconds(4);
    bench.now +=
        std::min<base::Micros>(asked.front().max_wait, milliseconds(200));
    bench.Report("w", running,
                 asked.front().renews_lease ? grant : base::Micros{});
    sum += remaining_lease();
    ++polls;
  }
  BOOST_REQUIRE(polls > 20);
  BOOST_TEST_MESSAGE("mean remaining lease: " << (sum / polls).count() / 1000
                                              << " ms");
  BOOST_CHECK(sum / polls < milliseconds(3400));
}

// The upper bound of a lease must not pass for a lease that the worker is known
// to hold: an adopted run, or a renewal without an answer, raises only the
// bound.
BOOST_AUTO_TEST_CASE(PollRenewsLeaseWithUnconfirmedEnd) {
  Bench bench(2);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report("w", {}, bench.now + milliseconds(2000));
  bench.AddJob("job");
  const StartRun start = bench.NextStart();
  bench.scheduler.StartAnswered(start, CommandOutcome::kDone, bench.now);
  jobs::TaskId found = FirstTask("job");
  found.index = 1;
  bench.Report(
      "w",
      {.clock_ms = 0,
       .running = {{.task = found, .run = 7, .checkpoint = "", .percent = 1}},
       .ended = {}});
  bench.scheduler.LeaseGranted(bench.LifeOf("w"), bench.now + seconds(4));
  BOOST_REQUIRE(bench.scheduler.FindWorker("w")->latest_lease_end >=
                bench.now + seconds(4));
  const auto asked = Only<PollWorker>(bench.RunPass());
  BOOST_REQUIRE(!asked.empty());
  BOOST_TEST(asked.back().renews_lease);
}

// A worker that has answered the new owner rejects lease renewals by the
// earlier one. If it then fails, its long-running task must wait for one lease
// at most, not for the bound up to which a partitioned earlier owner could
// renew.
BOOST_AUTO_TEST_CASE(TaskOfAFailedWorkerThatHadAnsweredWaitsForOneLease) {
  Bench bench(2);
  jobs::Queue queue;
  queue.name = "queue";
  queue.service = "pool";
  jobs::JobSpec spec;
  spec.steps.push_back(Bench::OneLongRunningTask());
  jobs::Progress progress;
  progress.placed[{.step = {}, .index = 0}] = {.worker = {.id = "dies"},
                                               .run = 1};
  bench.scheduler.InheritWorker(Bench::Worker("dies"),
                                bench.now + milliseconds(10'500));
  bench.scheduler.UpdateWorker(Bench::Worker("dies"), bench.now);
  bench.scheduler.UpdateWorker(Bench::Worker("lives"), bench.now);
  bench.scheduler.AddJob(MakeJob("job", queue, spec, progress, bench.now, {}),
                         bench.now);
  bench.Report("lives", {});
  bench.Report("dies", {.clock_ms = 0,
                        .running = {{.task = FirstTask("job"),
                                     .run = 1,
                                     .checkpoint = "",
                                     .percent = 100}},
                        .ended = {}});
  const base::Micros heard = bench.now;
  StartRun start;
  while (start.worker.empty() && bench.now < heard + seconds(20)) {
    bench.scheduler.PollFailed(bench.LifeOf("dies"), CommandOutcome::kUnknown,
                               bench.now);
    const std::vector<Action> actions = bench.RunPass();
    bench.Save(Only<SaveProgress>(actions));
    for (const StartRun& one : Only<StartRun>(actions))
      start = one;
  }
  BOOST_TEST(start.worker.id == "lives");
  // A lease of 4 s, clocks that differ by 2%, and a few passes.
  BOOST_CHECK(bench.now < heard + milliseconds(5500));
}

// A finished job is logged with a breakdown of its time.
BOOST_AUTO_TEST_CASE(FinishedJobReportsItsTimings) {
  Bench bench(2);
  jobs::Queue queue;
  queue.name = "queue";
  queue.service = "pool";
  queue.attempts = 2;
  jobs::JobSpec spec;
  spec.steps.push_back(Bench::OneTask());
  bench.scheduler.AddJob(MakeJob("job", queue, spec, {}, bench.now, {}),
                         bench.now);
  bench.now += seconds(2);  // no worker is registered yet
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report("w", {});
  std::int64_t number = 0;
  for (const RunEndReason how :
       {RunEndReason::kFailed, RunEndReason::kSucceeded}) {
    const StartRun start = bench.NextStart();
    bench.scheduler.StartAnswered(start, CommandOutcome::kDone, bench.now);
    bench.now += milliseconds(700);
    bench.Report("w", {.clock_ms = 0,
                       .running = {},
                       .ended = {{.sequence = ++number,
                                  .task = start.task,
                                  .run = start.run,
                                  .reason = how,
                                  .checkpoint = ""}}});
  }
  const auto over = Only<JobFinished>(bench.scheduler.TakeActions());
  BOOST_REQUIRE(over.size() == 1U);
  BOOST_TEST(over[0].job == "job");
  BOOST_TEST(over[0].queue == "queue");
  BOOST_CHECK(over[0].state == jobs::JobState::kCompleted);
  const JobTimings& timings = over[0].timings;
  BOOST_TEST(timings.runs == 2);
  BOOST_TEST(timings.lost_runs == 1);
  BOOST_CHECK(timings.first_placed >= seconds(2));
  BOOST_CHECK(timings.longest_wait >= seconds(2));
  BOOST_CHECK(timings.longest_run >= milliseconds(700));
  BOOST_CHECK(over[0].duration >= timings.longest_wait + timings.longest_run);
}

BOOST_AUTO_TEST_CASE(TaskCompletedBehindAPartitionStopsItsLaterRun) {
  Bench bench(1);
  for (const char* id : {"a", "b"}) {
    bench.scheduler.UpdateWorker(Bench::Worker(id), bench.now);
    bench.Report(id, {});
  }
  bench.AddJob("job");
  const StartRun first = bench.NextStart();
  BOOST_REQUIRE(first.run == 1);
  bench.scheduler.LeaseGranted(first.worker, bench.now + seconds(1));
  bench.scheduler.StartAnswered(first, CommandOutcome::kDone, bench.now);
  // The worker stops answering and its lease expires.
  bench.scheduler.PollFailed(first.worker, CommandOutcome::kUnknown, bench.now);
  bench.now += seconds(8);
  const StartRun second = bench.NextStart();
  BOOST_REQUIRE(second.run == 2);
  BOOST_CHECK(second.worker != first.worker);
  bench.scheduler.LeaseGranted(second.worker, bench.now + seconds(4));
  bench.scheduler.StartAnswered(second, CommandOutcome::kDone, bench.now);
  // The partition heals: the first run had completed before its lease expired.
  bench.Report(first.worker.id, {.clock_ms = 0,
                                 .running = {},
                                 .ended = {{.sequence = 1,
                                            .task = first.task,
                                            .run = first.run,
                                            .reason = RunEndReason::kSucceeded,
                                            .checkpoint = ""}}});
  const auto stops = Only<StopRun>(bench.RunPass());
  BOOST_REQUIRE(stops.size() == 1);
  BOOST_TEST(stops[0].worker.id == second.worker.id);
}

BOOST_AUTO_TEST_CASE(FillersArePausedWhenTailLatencyExceedsItsTarget) {
  Bench bench(1);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  const auto add = [&](const std::string& id, bool fills) {
    jobs::Step step = Bench::OneLongRunningTask();
    step.fills = fills;
    step.target_ms = fills ? 0 : 100;
    bench.AddJob(id, step);
  };
  add("serves", false);
  add("fills", true);
  const auto report = [](std::int64_t tail) {
    WorkerReport listed;
    for (const char* job : {"serves", "fills"}) {
      const bool serves = std::string(job) == "serves";
      listed.running.push_back({.task = FirstTask(job),
                                .run = 1,
                                .checkpoint = "",
                                .percent = 100,
                                .load = serves ? tail : 500});
    }
    return listed;
  };
  bench.Report("w", report(130));
  auto paces = Only<ThrottleRun>(bench.RunPass());
  BOOST_REQUIRE(paces.size() == 1);
  BOOST_TEST(paces[0].task.job == "fills");
  BOOST_TEST(paces[0].percent == 0);
  bench.Report("w", report(70));
  BOOST_TEST(Only<ThrottleRun>(bench.RunPass()).empty());
  bench.Report("w", report(20));
  paces = Only<ThrottleRun>(bench.RunPass());
  BOOST_REQUIRE(paces.size() == 1);
  BOOST_TEST(paces[0].percent == 20);
}

BOOST_AUTO_TEST_CASE(StepThatNeedsAdviceStartsOnlyWithATicket) {
  Bench bench(1);
  for (const char* id : {"a", "b"}) {
    bench.scheduler.UpdateWorker(Bench::Worker(id), bench.now);
    bench.Report(id, {});
  }
  bench.AddJob("job", jobs::Step(), true);
  const std::vector<Action> asked = bench.RunPass();
  BOOST_REQUIRE(Only<RequestAdvice>(asked).size() == 1);
  BOOST_TEST(Only<SaveProgress>(asked).empty());
  // Only one request is in flight at a time.
  BOOST_TEST(Only<RequestAdvice>(bench.RunPass()).empty());
  bench.scheduler.AdviceAnswered(
      Only<RequestAdvice>(asked)[0],
      {.outcome = AdviceOutcome::kAnswered,
       .advice = {.tickets = {{{.id = "b"}, "t"}}, .valid_for = seconds(3)}},
      bench.now);
  const StartRun start = bench.NextStart();
  BOOST_TEST(start.worker.id == "b");
  BOOST_TEST(start.ticket == "t");
  // The worker rejects the ticket, which is not used again.
  bench.scheduler.StartAnswered(start, CommandOutcome::kNoTicket, bench.now);
  BOOST_TEST(Only<StartRun>(bench.RunPass()).empty());
}

// The start of a long-running task was executed and its answer lost. Stopped at
// once, the task would be interrupted in service, possibly while other tasks of
// its step are unavailable.
BOOST_AUTO_TEST_CASE(UnansweredLongRunningStartIsStoppedOnlyAfterAReport) {
  Bench bench(1);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report("w", {});
  bench.AddJob("job", Bench::OneLongRunningTask());
  const StartRun start = bench.NextStart();
  BOOST_REQUIRE(start.run == 1);
  bench.scheduler.LeaseGranted(bench.LifeOf("w"), bench.now + seconds(8));
  bench.scheduler.StartAnswered(start, CommandOutcome::kUnknown, bench.now);
  BOOST_TEST(Only<StopRun>(bench.RunPass()).empty());
  bench.Report("w", {});
  BOOST_TEST(Only<StopRun>(bench.RunPass()).size() == 1U);
}

// A worker that answers polls but no start must not be given task after task.
BOOST_AUTO_TEST_CASE(WorkerThatLeavesStartsUnansweredIsQuarantined) {
  Bench bench(1);
  bench.scheduler.UpdateWorker(Bench::Worker("bad"), bench.now);
  bench.Report("bad", {});
  int decided_at = 0;
  for (int i = 0; i < 8; ++i) {
    bench.AddJob("job" + std::to_string(i));
    const StartRun start = bench.NextStart();
    if (start.worker.empty())
      break;
    ++decided_at;
    bench.scheduler.StartAnswered(start, CommandOutcome::kUnknown, bench.now);
    bench.Report("bad", {});
  }
  BOOST_TEST(decided_at == 3);
}

// A job with a placed task whose start was not answered counts as waiting.
BOOST_AUTO_TEST_CASE(JobCountsAsWaitingUntilARunHasStarted) {
  Bench bench(1);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report("w", {});
  bench.AddJob("job");
  const StartRun start = bench.NextStart();
  BOOST_REQUIRE(start.run == 1);
  BOOST_TEST(bench.scheduler.WaitingJobs()["queue"] == 1);
  bench.scheduler.StartAnswered(start, CommandOutcome::kUnknown, bench.now);
  BOOST_TEST(bench.scheduler.WaitingJobs()["queue"] == 1);
  bench.Report("w", {.clock_ms = 0,
                     .running = {{.task = start.task,
                                  .run = start.run,
                                  .checkpoint = "",
                                  .percent = 10}},
                     .ended = {}});
  BOOST_TEST(bench.scheduler.WaitingJobs()["queue"] == 0);
}

// The earlier owner recorded failures that this owner has not read. Saving the
// next placement conflicts with that row, and the placement must not be made
// because the attempts are used up.
BOOST_AUTO_TEST_CASE(FailuresRecordedByAnEarlierOwnerCount) {
  Bench bench(3);
  bench.scheduler.UpdateWorker(Bench::Worker("w"), bench.now);
  bench.Report("w", {.clock_ms = 0, .running = {}, .ended = {}},
               std::chrono::seconds(4));
  bench.AddJob("j");
  const auto saves = Only<SaveProgress>(bench.RunPass());
  BOOST_REQUIRE(saves.size() == 1U);
  jobs::Progress stored;
  for (int run = 1001; run < 1004; ++run)
    stored.MarkFailed({.step = {}, .index = 0}, run);
  bench.scheduler.ProgressSaved({.job = "j",
                                 .change = saves[0].change,
                                 .outcome = SaveOutcome::kConflict,
                                 .version = 7,
                                 .stored = stored},
                                bench.now);
  const std::vector<Action> after = bench.RunPass();
  BOOST_TEST(Only<StartRun>(after).empty());
  const auto again = Only<SaveProgress>(after);
  BOOST_REQUIRE(again.size() == 1U);
  BOOST_CHECK(jobs::DecodeProgress(again[0].text)->state ==
              jobs::JobState::kFailed);
}

// The registration of an ended incarnation stays in the store for some seconds,
// and is read again if the store has dropped its change history. A box in
// maintenance would then count as back, and too many boxes would be
// unavailable.
BOOST_AUTO_TEST_CASE(StaleRegistrationDoesNotEndMaintenance) {
  Bench bench(1);
  const auto on_box = [](const std::string& id, const std::string& box) {
    WorkerInfo info = Bench::Worker(id);
    info.box = box;
    return info;
  };
  bench.scheduler.UpdateWorker(on_box("old", "box-1"), bench.now);
  bench.Report("old", {});
  bench.scheduler.PollFailed(bench.LifeOf("old"),
                             CommandOutcome::kOtherIncarnation, bench.now);
  bench.scheduler.UpdateWorker(on_box("new", "box-1"), bench.now);
  bench.Report("new", {});
  bench.scheduler.UpdateWorker(on_box("other", "box-2"), bench.now);
  bench.Report("other", {});
  bench.scheduler.SetBoxes({{.name = "box-1", .pool = "pool", .worker = "new"},
                            {.name = "box-2", .pool = "pool"}},
                           bench.now, bench.now);
  bench.scheduler.SetWave({.number = 1,
                           .boxes = {"box-1", "box-2"},
                           .duration = seconds(60),
                           .max_concurrent = 1},
                          {}, bench.now);
  const auto begun = Only<MaintainBox>(bench.RunPass());
  BOOST_REQUIRE(begun.size() == 1U);
  BOOST_REQUIRE(begun[0].box == "box-1");
  bench.scheduler.MaintenanceAnswered(begun[0], BoxCallOutcome::kDone,
                                      bench.now);
  bench.scheduler.UpdateWorker(on_box("old", "box-1"), bench.now);
  bench.scheduler.UpdateWorker(on_box("new", "box-1"), bench.now);
  BOOST_TEST(Only<MaintainBox>(bench.RunPass()).empty());
  BOOST_TEST(!bench.scheduler.FindWorker("old"));
  // A new incarnation on the box ends its maintenance.
  bench.scheduler.UpdateWorker(on_box("next", "box-1"), bench.now);
  BOOST_TEST(Only<MaintainBox>(bench.RunPass()).size() == 1U);
}

// The pool's boxes have free cores but no free memory. Without another box the
// long-running task would wait forever.
BOOST_AUTO_TEST_CASE(PoolWithoutFreeMemoryGetsAnotherBox) {
  Bench bench(1);
  jobs::Config config;
  config.services = {{.name = "pool"}, {.name = "other"}};
  bench.scheduler.SetConfig(config, bench.now);
  bench.scheduler.UpdateWorker(Bench::Worker("full"), bench.now);
  bench.Report("full", {});
  WorkerInfo idle = Bench::Worker("idle");
  idle.service = "other";
  bench.scheduler.UpdateWorker(idle, bench.now);
  bench.Report("idle", {});
  jobs::Step step = Bench::OneLongRunningTask();
  step.tasks = 2;
  step.task_resources = {.cpu_millis = 500, .memory_mb = 3000, .gpus = 0};
  bench.AddJob("job", step);
  std::vector<MoveBox> moves;
  for (int i = 0; i < 8 && moves.empty(); ++i) {
    const std::vector<Action> actions = bench.RunPass();
    bench.Save(Only<SaveProgress>(actions));
    bench.Report("full", {});
    bench.Report("idle", {});
    moves = Only<MoveBox>(actions);
  }
  BOOST_REQUIRE(moves.size() == 1U);
  BOOST_TEST(moves[0].box == "box-idle");
  BOOST_TEST(moves[0].pool == "pool");
}

}  // namespace
}  // namespace quartzhoist::scheduler
