// Tests of workers' announcements: how old one may be, and what happens to
// starts that were decided before a newer one.

#include <boost/test/unit_test.hpp>

#include "scheduler/scheduler.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using Bench = testing::SchedulerBench;

constexpr base::Micros kMaxAge = milliseconds(3750);

SchedulerLimits LimitsWithMaxAge() {
  SchedulerLimits limits = Bench::LimitsOf(2);
  limits.max_announcement_age = kMaxAge;
  return limits;
}

WorkerInfo AnnouncedAt(base::Micros at, std::int64_t cpu_millis) {
  WorkerInfo info = Bench::Worker("w1");
  info.capacity.cpu_millis = cpu_millis;
  info.announced_clock_ms = base::Millis(at);
  return info;
}

jobs::Step TaskOf(std::int64_t cpu_millis) {
  jobs::Step step = Bench::OneTask();
  step.task_resources.cpu_millis = cpu_millis;
  return step;
}

// A worker whose clock runs 2% slow.
std::int64_t SlowClock(base::Micros now) {
  return base::Millis(now) * 98 / 100;
}

void AnswerPoll(Bench& bench, base::Micros read_at) {
  const jobs::WorkerIncarnation worker{.id = "w"};
  bench.scheduler.PollSent({.worker = worker}, bench.now);
  const std::int64_t clock_ms = SlowClock(bench.now);
  bench.now = read_at;
  bench.scheduler.WorkerReported(
      worker, {.incarnation = worker, .clock_ms = clock_ms}, bench.now);
  bench.scheduler.WorkersRecorded({worker});
}

void Announce(Bench& bench) {
  WorkerInfo info = Bench::Worker("w");
  info.announced_clock_ms = SlowClock(bench.now);
  bench.scheduler.UpdateWorker(info, bench.now);
}

// A new owner reads what the worker announced before the store was away.
BOOST_AUTO_TEST_CASE(WorkerThatShrankDuringStoreOutageIsNotOverloaded) {
  Bench bench(LimitsWithMaxAge());
  bench.scheduler.UpdateWorker(AnnouncedAt(bench.now - seconds(5), 4000),
                               bench.now);
  bench.Report("w1", {});
  bench.AddJob("large", TaskOf(3000));
  BOOST_TEST(bench.NextStart().task.job == "");
  bench.scheduler.UpdateWorker(AnnouncedAt(bench.now, 2000), bench.now);
  bench.AddJob("small", TaskOf(1000));
  BOOST_TEST(bench.NextStart().task.job == "small");
}

// A worker that announces itself in time stays usable, whatever it last told.
BOOST_AUTO_TEST_CASE(WorkerIsUsableUntilItsAnnouncementExpires) {
  Bench bench(LimitsWithMaxAge());
  const base::Micros announced = bench.now;
  bench.scheduler.UpdateWorker(AnnouncedAt(announced, 4000), bench.now);
  bench.Report("w1", {});
  while (bench.now + milliseconds(300) <= announced + kMaxAge)
    bench.RunPass();
  BOOST_TEST(bench.scheduler.PoolStates(bench.now).front().usable == 1);
  bench.RunPass();
  BOOST_TEST(bench.scheduler.PoolStates(bench.now).front().usable == 0);
}

// Without a clock in the announcement its age counts from when it was received.
BOOST_AUTO_TEST_CASE(AnnouncementWithoutClockExpiresToo) {
  Bench bench(LimitsWithMaxAge());
  bench.scheduler.UpdateWorker(Bench::Worker("w1"), bench.now);
  bench.Report("w1", {});
  BOOST_TEST(bench.scheduler.PoolStates(bench.now).front().usable == 1);
  bench.now += kMaxAge;
  BOOST_TEST(bench.scheduler.PoolStates(bench.now).front().usable == 0);
}

// Starts wait in their worker's queue while a smaller capacity is announced.
BOOST_AUTO_TEST_CASE(QueuedStartsAreNotSentToWorkerThatHasShrunk) {
  Bench bench(LimitsWithMaxAge());
  bench.scheduler.UpdateWorker(AnnouncedAt(bench.now, 4000), bench.now);
  bench.Report("w1", {});
  bench.AddJob("a", TaskOf(1500));
  bench.AddJob("b", TaskOf(1500));
  bench.Save(testing::Only<SaveProgress>(bench.RunPass()));
  const auto starts = testing::Only<StartRun>(bench.RunPass());
  BOOST_REQUIRE(starts.size() == 2);
  bench.scheduler.UpdateWorker(AnnouncedAt(bench.now, 2000), bench.now);
  BOOST_TEST(!bench.scheduler.IsStartStillValid(starts[0], bench.now));
  bench.scheduler.StartAnswered(starts[0], CommandOutcome::kObsolete,
                                bench.now);
  BOOST_TEST(bench.scheduler.IsStartStillValid(starts[1], bench.now));
  // The worker left nothing unanswered.
  BOOST_TEST(bench.scheduler.PoolStates(bench.now).front().usable == 1);
}

// A start waits while its worker begins to drain, or is not heard of any more.
BOOST_AUTO_TEST_CASE(QueuedStartIsNotSentToDrainingOrExpiredWorker) {
  Bench bench(LimitsWithMaxAge());
  const base::Micros announced = bench.now;
  bench.scheduler.UpdateWorker(AnnouncedAt(announced, 4000), bench.now);
  bench.Report("w1", {});
  bench.AddJob("job");
  const StartRun start = bench.NextStart();
  BOOST_REQUIRE(start.task.job == "job");
  // The poll took 10 ms, by which the age is bounded too high.
  const base::Micros expiry = announced + kMaxAge - milliseconds(10);
  BOOST_TEST(bench.scheduler.IsStartStillValid(start, expiry));
  BOOST_TEST(
      !bench.scheduler.IsStartStillValid(start, expiry + milliseconds(1)));
  WorkerInfo draining = AnnouncedAt(bench.now, 4000);
  draining.draining = true;
  bench.scheduler.UpdateWorker(draining, bench.now);
  BOOST_TEST(!bench.scheduler.IsStartStillValid(start, bench.now));
}

// Guards against a worker's clock that was sent before its owner was paused and
// read after it, which made an old announcement look new.
BOOST_AUTO_TEST_CASE(AnnouncementIsOldAlsoIfReportWasReadLate) {
  Bench bench(LimitsWithMaxAge());
  Announce(bench);
  AnswerPoll(bench, bench.now + seconds(5));
  bench.AddJob("job");
  BOOST_TEST(bench.NextStart().task.job == "");
  Announce(bench);
  BOOST_TEST(bench.NextStart().task.job == "job");
}

// Guards against idle workers that are never used again: they are not polled,
// and after minutes a slow clock makes their announcements look old.
BOOST_AUTO_TEST_CASE(IdleWorkerWithSlowClockStaysUsable) {
  Bench bench(LimitsWithMaxAge());
  Announce(bench);
  AnswerPoll(bench, bench.now + milliseconds(10));
  int polls = 0;
  for (int pass = 0; pass < 2000; ++pass) {
    if (pass % 5 == 0)
      Announce(bench);
    for (const PollWorker& poll : testing::Only<PollWorker>(bench.RunPass())) {
      BOOST_REQUIRE(poll.worker.id == "w");
      AnswerPoll(bench, bench.now + milliseconds(10));
      ++polls;
    }
  }
  BOOST_TEST(polls < 20);
  bench.AddJob("job");
  BOOST_TEST(bench.NextStart().task.job == "job");
}

// Guards against workers that look expired because their polls are held open.
BOOST_AUTO_TEST_CASE(AnnouncementStaysCurrentWhilePollsAreHeldOpen) {
  Bench bench(LimitsWithMaxAge());
  Announce(bench);
  AnswerPoll(bench, bench.now + milliseconds(10));
  bench.now += milliseconds(1500);
  // The worker answers after 2 s.
  bench.scheduler.PollSent({.worker = {.id = "w"}}, bench.now);
  bench.now += seconds(2);
  bench.scheduler.WorkerReported(
      {.id = "w"},
      {.incarnation = {.id = "w"}, .clock_ms = SlowClock(bench.now)},
      bench.now);
  BOOST_TEST(bench.scheduler.PoolStates(bench.now).front().usable == 1);
}

// The first reading of a worker's clock may be 0; it bounds nothing.
BOOST_AUTO_TEST_CASE(AnswerWithoutClockDoesNotMakeOldAnnouncementsNew) {
  Bench bench(LimitsWithMaxAge());
  const base::Micros announced = bench.now - seconds(5);
  bench.scheduler.UpdateWorker(AnnouncedAt(announced, 4000), bench.now);
  const jobs::WorkerIncarnation worker = bench.LifeOf("w1");
  bench.scheduler.PollSent({.worker = worker}, bench.now);
  bench.scheduler.WorkerReported(worker, {.incarnation = worker}, bench.now);
  bench.Report("w1", {});
  BOOST_TEST(bench.scheduler.PoolStates(bench.now).front().usable == 0);
}

}  // namespace
}  // namespace quartzhoist::scheduler
