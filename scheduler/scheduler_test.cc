// Single decisions of the scheduler, step by step.

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

// A busy worker's looks are answered each 0.2 s. When it falls silent, what it
// runs waits for the end of its lease; the lease must also bridge a takeover.
BOOST_AUTO_TEST_CASE(LeaseOfABusyWorkerIsNeitherLongNorShort) {
  Bench bench(1);
  bench.scheduler.PutWorker(Bench::Worker("w"), bench.now);
  bench.List("w", {});
  bench.AddJob("job");
  const StartRun start = bench.NextStart();
  bench.scheduler.Granted(bench.LifeOf("w"), bench.now + milliseconds(2500));
  bench.scheduler.Started(start, OrderOutcome::kDone, bench.now);
  const Listing running{.clock_ms = 0,
                        .running = {{.task = start.task,
                                     .run = start.run,
                                     .checkpoint = "",
                                     .percent = 10}},
                        .ended = {}};
  bench.List("w", running);
  const auto left = [&] {
    return bench.scheduler.FindWorker("w")->lease_end - bench.now;
  };
  base::Micros sum{};
  int looks = 0;
  for (int turn = 0; turn < 2000; ++turn) {
    bench.now += milliseconds(10);
    bench.Confirm();
    bench.scheduler.Advance(bench.now);
    const auto asked = Only<LookAt>(bench.scheduler.TakeActions());
    if (asked.empty())
      continue;
    BOOST_REQUIRE(left() > milliseconds(2200));
    const base::Micros grant = bench.now + seconds(4);
    bench.now += std::min<base::Micros>(asked.front().wait, milliseconds(200));
    bench.List("w", running, asked.front().renews ? grant : base::Micros{});
    sum += left();
    ++looks;
  }
  BOOST_REQUIRE(looks > 20);
  BOOST_TEST_MESSAGE("left in the mean " << (sum / looks).count() / 1000
                                         << " ms");
  BOOST_CHECK(sum / looks < milliseconds(3400));
}

// What may still run there is no lease that the worker is known to have: a run
// that is found, or a renewal without an answer.
BOOST_AUTO_TEST_CASE(LeaseIsRenewedWhereItIsNotKnownToLast) {
  Bench bench(2);
  bench.scheduler.PutWorker(Bench::Worker("w"), bench.now);
  bench.List("w", {}, bench.now + milliseconds(2000));
  bench.AddJob("job");
  const StartRun start = bench.NextStart();
  bench.scheduler.Started(start, OrderOutcome::kDone, bench.now);
  jobs::TaskId found = FirstTask("job");
  found.index = 1;
  bench.List(
      "w",
      {.clock_ms = 0,
       .running = {{.task = found, .run = 7, .checkpoint = "", .percent = 1}},
       .ended = {}});
  bench.scheduler.Granted(bench.LifeOf("w"), bench.now + seconds(4));
  BOOST_REQUIRE(bench.scheduler.FindWorker("w")->lease_end >=
                bench.now + seconds(4));
  const auto asked = Only<LookAt>(bench.Turn());
  BOOST_REQUIRE(!asked.empty());
  BOOST_TEST(asked.back().renews);
}

// A worker of an earlier owner has answered this one, and so refuses the
// earlier one's renewals: when it dies its lasting task waits for no longer
// than one lease, not for the bound up to which an owner that is cut off may
// renew.
BOOST_AUTO_TEST_CASE(TaskOfAWorkerThatWasHeardWaitsForOneLease) {
  Bench bench(2);
  jobs::Queue queue;
  queue.name = "queue";
  queue.service = "pool";
  jobs::JobSpec spec;
  spec.steps.push_back(Bench::OneLastingTask());
  jobs::Progress progress;
  progress.placed[{.step = {}, .index = 0}] = {.worker = {.id = "dies"},
                                               .run = 1};
  bench.scheduler.InheritWorker(Bench::Worker("dies"),
                                bench.now + milliseconds(10'500));
  bench.scheduler.PutWorker(Bench::Worker("dies"), bench.now);
  bench.scheduler.PutWorker(Bench::Worker("lives"), bench.now);
  bench.scheduler.AddJob(MakeJob("job", queue, spec, progress, bench.now, {}),
                         bench.now);
  bench.List("lives", {});
  bench.List("dies", {.clock_ms = 0,
                      .running = {{.task = FirstTask("job"),
                                   .run = 1,
                                   .checkpoint = "",
                                   .percent = 100}},
                      .ended = {}});
  const base::Micros heard = bench.now;
  StartRun start;
  while (start.worker.empty() && bench.now < heard + seconds(20)) {
    bench.scheduler.LookFailed(bench.LifeOf("dies"), OrderOutcome::kUnknown,
                               bench.now);
    const std::vector<Action> actions = bench.Turn();
    bench.Save(Only<SaveProgress>(actions));
    for (const StartRun& one : Only<StartRun>(actions))
      start = one;
  }
  BOOST_TEST(start.worker.id == "lives");
  // A lease of 4 s, clocks that differ by 2%, and a few turns.
  BOOST_CHECK(bench.now < heard + milliseconds(5500));
}

// The log of a job that is over tells people where its time went.
BOOST_AUTO_TEST_CASE(JobThatIsOverTellsWhereItsTimeWent) {
  Bench bench(2);
  jobs::Queue queue;
  queue.name = "queue";
  queue.service = "pool";
  queue.attempts = 2;
  jobs::JobSpec spec;
  spec.steps.push_back(Bench::OneTask());
  bench.scheduler.AddJob(MakeJob("job", queue, spec, {}, bench.now, {}),
                         bench.now);
  bench.now += seconds(2);  // no worker yet
  bench.scheduler.PutWorker(Bench::Worker("w"), bench.now);
  bench.List("w", {});
  std::int64_t number = 0;
  for (const RunEnd how : {RunEnd::kFailed, RunEnd::kDone}) {
    const StartRun start = bench.NextStart();
    bench.scheduler.Started(start, OrderOutcome::kDone, bench.now);
    bench.now += milliseconds(700);
    bench.List("w", {.clock_ms = 0,
                     .running = {},
                     .ended = {{.number = ++number,
                                .task = start.task,
                                .run = start.run,
                                .how = how,
                                .checkpoint = ""}}});
  }
  const auto over = Only<JobOver>(bench.scheduler.TakeActions());
  BOOST_REQUIRE(over.size() == 1U);
  BOOST_TEST(over[0].job == "job");
  BOOST_TEST(over[0].queue == "queue");
  BOOST_CHECK(over[0].state == jobs::JobState::kCompleted);
  const JobStory& story = over[0].story;
  BOOST_TEST(story.runs == 2);
  BOOST_TEST(story.lost_runs == 1);
  BOOST_CHECK(story.first_placed >= seconds(2));
  BOOST_CHECK(story.longest_wait >= seconds(2));
  BOOST_CHECK(story.longest_run >= milliseconds(700));
  BOOST_CHECK(over[0].took >= story.longest_wait + story.longest_run);
}

BOOST_AUTO_TEST_CASE(TaskDoneBeyondACutStopsItsLaterRun) {
  Bench bench(1);
  for (const char* id : {"a", "b"}) {
    bench.scheduler.PutWorker(Bench::Worker(id), bench.now);
    bench.List(id, {});
  }
  bench.AddJob("job");
  const StartRun first = bench.NextStart();
  BOOST_REQUIRE(first.run == 1);
  bench.scheduler.Granted(first.worker, bench.now + seconds(1));
  bench.scheduler.Started(first, OrderOutcome::kDone, bench.now);
  // Its worker falls silent, and its lease runs out.
  bench.scheduler.LookFailed(first.worker, OrderOutcome::kUnknown, bench.now);
  bench.now += seconds(8);
  const StartRun second = bench.NextStart();
  BOOST_REQUIRE(second.run == 2);
  BOOST_CHECK(second.worker != first.worker);
  bench.scheduler.Granted(second.worker, bench.now + seconds(4));
  bench.scheduler.Started(second, OrderOutcome::kDone, bench.now);
  // The cut heals: the first run had been done before its lease ran out.
  bench.List(first.worker.id, {.clock_ms = 0,
                               .running = {},
                               .ended = {{.number = 1,
                                          .task = first.task,
                                          .run = first.run,
                                          .how = RunEnd::kDone,
                                          .checkpoint = ""}}});
  const auto stops = Only<StopRun>(bench.Turn());
  BOOST_REQUIRE(stops.size() == 1);
  BOOST_TEST(stops[0].worker.id == second.worker.id);
}

BOOST_AUTO_TEST_CASE(FillingTasksRestWhenTheTailOfServingOnesIsOver) {
  Bench bench(1);
  bench.scheduler.PutWorker(Bench::Worker("w"), bench.now);
  const auto add = [&](const std::string& id, bool fills) {
    jobs::Step step = Bench::OneLastingTask();
    step.fills = fills;
    step.target_ms = fills ? 0 : 100;
    bench.AddJob(id, step);
  };
  add("serves", false);
  add("fills", true);
  const auto listing = [](std::int64_t tail) {
    Listing listed;
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
  bench.List("w", listing(130));
  auto paces = Only<PaceRun>(bench.Turn());
  BOOST_REQUIRE(paces.size() == 1);
  BOOST_TEST(paces[0].task.job == "fills");
  BOOST_TEST(paces[0].percent == 0);
  bench.List("w", listing(70));
  BOOST_TEST(Only<PaceRun>(bench.Turn()).empty());
  bench.List("w", listing(20));
  paces = Only<PaceRun>(bench.Turn());
  BOOST_REQUIRE(paces.size() == 1);
  BOOST_TEST(paces[0].percent == 20);
}

BOOST_AUTO_TEST_CASE(StepThatNeedsAdviceStartsOnlyWithATicket) {
  Bench bench(1);
  for (const char* id : {"a", "b"}) {
    bench.scheduler.PutWorker(Bench::Worker(id), bench.now);
    bench.List(id, {});
  }
  bench.AddJob("job", jobs::Step(), true);
  const std::vector<Action> asked = bench.Turn();
  BOOST_REQUIRE(Only<AskAdvice>(asked).size() == 1);
  BOOST_TEST(Only<SaveProgress>(asked).empty());
  // One question at a time.
  BOOST_TEST(Only<AskAdvice>(bench.Turn()).empty());
  bench.scheduler.Advised(
      Only<AskAdvice>(asked)[0],
      Advice{.tickets = {{{.id = "b"}, "t"}}, .valid = seconds(3)}, bench.now);
  const StartRun start = bench.NextStart();
  BOOST_TEST(start.worker.id == "b");
  BOOST_TEST(start.ticket == "t");
  // Refused there: the ticket is not used again.
  bench.scheduler.Started(start, OrderOutcome::kNoTicket, bench.now);
  BOOST_TEST(Only<StartRun>(bench.Turn()).empty());
}

// The start of a lasting task was carried out and its answer lost: stopped at
// once, it would end at work, perhaps with others of its step away.
BOOST_AUTO_TEST_CASE(UnansweredStartOfALastingTaskIsStoppedOnlyAfterAListing) {
  Bench bench(1);
  bench.scheduler.PutWorker(Bench::Worker("w"), bench.now);
  bench.List("w", {});
  bench.AddJob("job", Bench::OneLastingTask());
  const StartRun start = bench.NextStart();
  BOOST_REQUIRE(start.run == 1);
  bench.scheduler.Granted(bench.LifeOf("w"), bench.now + seconds(8));
  bench.scheduler.Started(start, OrderOutcome::kUnknown, bench.now);
  BOOST_TEST(Only<StopRun>(bench.Turn()).empty());
  bench.List("w", {});
  BOOST_TEST(Only<StopRun>(bench.Turn()).size() == 1U);
}

// It answers looks and leaves every start unanswered: not for ever.
BOOST_AUTO_TEST_CASE(WorkerThatLeavesStartsUnansweredGetsNoMoreForAWhile) {
  Bench bench(1);
  bench.scheduler.PutWorker(Bench::Worker("bad"), bench.now);
  bench.List("bad", {});
  int ordered = 0;
  for (int i = 0; i < 8; ++i) {
    bench.AddJob("job" + std::to_string(i));
    const StartRun start = bench.NextStart();
    if (start.worker.empty())
      break;
    ++ordered;
    bench.scheduler.Started(start, OrderOutcome::kUnknown, bench.now);
    bench.List("bad", {});
  }
  BOOST_TEST(ordered == 3);
}

// A job that was given a worker, and whose start got no answer, still waits.
BOOST_AUTO_TEST_CASE(JobWaitsUntilAWorkerHasStartedARunOfIt) {
  Bench bench(1);
  bench.scheduler.PutWorker(Bench::Worker("w"), bench.now);
  bench.List("w", {});
  bench.AddJob("job");
  const StartRun start = bench.NextStart();
  BOOST_REQUIRE(start.run == 1);
  BOOST_TEST(bench.scheduler.WaitingJobs()["queue"] == 1);
  bench.scheduler.Started(start, OrderOutcome::kUnknown, bench.now);
  BOOST_TEST(bench.scheduler.WaitingJobs()["queue"] == 1);
  bench.List("w", {.clock_ms = 0,
                   .running = {{.task = start.task,
                                .run = start.run,
                                .checkpoint = "",
                                .percent = 10}},
                   .ended = {}});
  BOOST_TEST(bench.scheduler.WaitingJobs()["queue"] == 0);
}

// The earlier owner knew two failures that this one did not read: its row
// stands in the way of the next placement, which must not be made.
BOOST_AUTO_TEST_CASE(FailuresThatAnEarlierOwnerKnewCount) {
  Bench bench(3);
  bench.scheduler.PutWorker(Bench::Worker("w"), bench.now);
  bench.List("w", {.clock_ms = 0, .running = {}, .ended = {}},
             std::chrono::seconds(4));
  bench.AddJob("j");
  const auto saves = Only<SaveProgress>(bench.Turn());
  BOOST_REQUIRE(saves.size() == 1U);
  jobs::Progress stored;
  for (int run = 1001; run < 1004; ++run)
    stored.MarkFailed({.step = {}, .index = 0}, run);
  bench.scheduler.Saved({.job = "j",
                         .change = saves[0].change,
                         .outcome = SaveOutcome::kConflict,
                         .version = 7,
                         .stored = stored},
                        bench.now);
  const std::vector<Action> after = bench.Turn();
  BOOST_TEST(Only<StartRun>(after).empty());
  const auto again = Only<SaveProgress>(after);
  BOOST_REQUIRE(again.size() == 1U);
  BOOST_CHECK(jobs::DecodeProgress(again[0].text)->state ==
              jobs::JobState::kFailed);
}

// The row of a life that is over stays in the store for some seconds, and is
// read again when the store has forgotten its history: a box that is down for
// its upkeep would pass for being back, and too many would be away.
BOOST_AUTO_TEST_CASE(RowOfALifeThatIsOverDoesNotBringTheBoxBack) {
  Bench bench(1);
  const auto on_box = [](const std::string& id, const std::string& box) {
    WorkerInfo info = Bench::Worker(id);
    info.box = box;
    return info;
  };
  bench.scheduler.PutWorker(on_box("old", "box-1"), bench.now);
  bench.List("old", {});
  bench.scheduler.LookFailed(bench.LifeOf("old"), OrderOutcome::kOtherLife,
                             bench.now);
  bench.scheduler.PutWorker(on_box("new", "box-1"), bench.now);
  bench.List("new", {});
  bench.scheduler.PutWorker(on_box("other", "box-2"), bench.now);
  bench.List("other", {});
  bench.scheduler.SetBoxes({{.name = "box-1", .pool = "pool", .worker = "new"},
                            {.name = "box-2", .pool = "pool"}},
                           bench.now, bench.now);
  bench.scheduler.SetWave({.number = 1,
                           .boxes = {"box-1", "box-2"},
                           .duration = seconds(60),
                           .most_at_once = 1},
                          {}, bench.now);
  const auto begun = Only<UpkeepBox>(bench.Turn());
  BOOST_REQUIRE(begun.size() == 1U);
  BOOST_REQUIRE(begun[0].box == "box-1");
  bench.scheduler.UpkeepBegun(begun[0], BoxCallOutcome::kDone, bench.now);
  bench.scheduler.PutWorker(on_box("old", "box-1"), bench.now);
  bench.scheduler.PutWorker(on_box("new", "box-1"), bench.now);
  BOOST_TEST(Only<UpkeepBox>(bench.Turn()).empty());
  BOOST_TEST(!bench.scheduler.FindWorker("old"));
  // Its next life brings it back.
  bench.scheduler.PutWorker(on_box("next", "box-1"), bench.now);
  BOOST_TEST(Only<UpkeepBox>(bench.Turn()).size() == 1U);
}

// The boxes of the pool have cores to spare and no memory: without another box
// the lasting task would wait for ever.
BOOST_AUTO_TEST_CASE(PoolWhoseBoxesAreFullOfMemoryGetsAnother) {
  Bench bench(1);
  jobs::Config config;
  config.services = {{.name = "pool"}, {.name = "other"}};
  bench.scheduler.SetConfig(config, bench.now);
  bench.scheduler.PutWorker(Bench::Worker("full"), bench.now);
  bench.List("full", {});
  WorkerInfo idle = Bench::Worker("idle");
  idle.service = "other";
  bench.scheduler.PutWorker(idle, bench.now);
  bench.List("idle", {});
  jobs::Step step = Bench::OneLastingTask();
  step.tasks = 2;
  step.task_resources = {.cpu_millis = 500, .memory_mb = 3000, .gpus = 0};
  bench.AddJob("job", step);
  std::vector<MoveBox> moves;
  for (int i = 0; i < 8 && moves.empty(); ++i) {
    const std::vector<Action> actions = bench.Turn();
    bench.Save(Only<SaveProgress>(actions));
    bench.List("full", {});
    bench.List("idle", {});
    moves = Only<MoveBox>(actions);
  }
  BOOST_REQUIRE(moves.size() == 1U);
  BOOST_TEST(moves[0].box == "box-idle");
  BOOST_TEST(moves[0].pool == "pool");
}

// A pool is full for seconds of tasks that take little memory each. A lasting
// task of much memory had failed there (38.0 s) and was not started again
// within 10 s, though it goes first: each room that comes free is too small for
// it and goes to the next small task at once, so that no box ever has enough.
// 340 to 530 tasks waited in its pool meanwhile, which used 117 to 145% of its
// cores.
BOOST_AUTO_TEST_CASE(LastingTaskOfMuchMemoryGetsRoomInAFullPool) {
  Bench bench(1);
  std::map<std::string, std::vector<StartRun>> running;
  for (const char* worker : {"a", "b"}) {
    bench.scheduler.PutWorker(Bench::Worker(worker), bench.now);
    bench.List(worker, {});
    running[worker];
  }
  jobs::Step small = Bench::OneTask();
  small.tasks = 60;
  small.task_resources = {.cpu_millis = 1000, .memory_mb = 1000, .gpus = 0};
  bench.AddJob("small", small);
  bool is_started = false;
  std::int64_t number = 0;
  // Each box ends a task a turn of 0.3 s; the lasting one comes after 3 s.
  for (int turn = 0; turn < 30 && !is_started; ++turn) {
    if (turn == 10) {
      jobs::Step large = Bench::OneLastingTask();
      large.task_resources = {.cpu_millis = 500, .memory_mb = 3000, .gpus = 0};
      bench.AddJob("large", large);
    }
    const std::vector<Action> actions = bench.Turn();
    bench.Save(Only<SaveProgress>(actions));
    std::vector<StartRun> starts = Only<StartRun>(actions);
    for (const StartRun& more : Only<StartRun>(bench.scheduler.TakeActions()))
      starts.push_back(more);
    for (const StartRun& start : starts) {
      bench.scheduler.Started(start, OrderOutcome::kDone, bench.now);
      running[start.worker.id].push_back(start);
      is_started = is_started || start.task.job == "large";
    }
    ++number;
    for (auto& [worker, runs] : running) {
      Listing listing;
      if (runs.size() >= 4) {
        listing.ended.push_back({.number = number,
                                 .task = runs.front().task,
                                 .run = runs.front().run,
                                 .how = RunEnd::kDone,
                                 .checkpoint = ""});
        runs.erase(runs.begin());
      }
      for (const StartRun& run : runs) {
        listing.running.push_back({.task = run.task,
                                   .run = run.run,
                                   .checkpoint = "",
                                   .percent = turn % 100});
      }
      bench.List(worker, listing, bench.now + seconds(4));
    }
  }
  BOOST_TEST(is_started);
}

}  // namespace
}  // namespace quartzhoist::scheduler
