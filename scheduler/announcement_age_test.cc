// Tests of the age of workers' announcements by the workers' own clocks.

#include <boost/test/unit_test.hpp>

#include <chrono>

#include "testing/scheduler_bench.h"

namespace quartzhoist::testing {
namespace {

using scheduler::PollWorker;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Bench = SchedulerBench;

scheduler::SchedulerLimits LimitsWithMaxAge() {
  scheduler::SchedulerLimits limits = Bench::LimitsOf(1);
  limits.max_announcement_age = milliseconds(3750);
  return limits;
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
  scheduler::WorkerInfo info = Bench::Worker("w");
  info.announced_clock_ms = SlowClock(bench.now);
  bench.scheduler.UpdateWorker(info, bench.now);
}

}  // namespace

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
    for (const PollWorker& poll : Only<PollWorker>(bench.RunPass())) {
      BOOST_REQUIRE(poll.worker.id == "w");
      AnswerPoll(bench, bench.now + milliseconds(10));
      ++polls;
    }
  }
  BOOST_TEST(polls < 20);
  bench.AddJob("job");
  BOOST_TEST(bench.NextStart().task.job == "job");
}

}  // namespace quartzhoist::testing
