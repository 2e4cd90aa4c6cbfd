// Requests for advice: which workers they name until a step is started.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "scheduler/scheduler.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Only;
using Bench = testing::SchedulerBench;

// A pool, and a service for advice that allows some of its workers.
struct AdvisedPool : Bench {
  explicit AdvisedPool(int workers) : Bench(1) {
    for (int i = 0; i < workers; ++i)
      this->AddWorker(IdOf(i));
  }

  static std::string IdOf(int number) { return fmt::format("w{:04}", number); }

  // A worker whose label is its id.
  void AddWorker(const std::string& id) {
    WorkerInfo info = Bench::Worker(id);
    info.labels = {id};
    this->scheduler.UpdateWorker(info, this->now);
    this->Report(id, {});
  }

  // Keeps all workers reporting, as their polls would.
  void ReportAll() {
    for (const auto& [incarnation, worker] : this->scheduler.all_workers()) {
      this->scheduler.WorkerReported(
          incarnation,
          {.incarnation = incarnation, .clock_ms = this->now.count() / 1000},
          this->now);
    }
  }

  void Occupy(const std::string& worker, std::int64_t cpu_millis) {
    jobs::Step step = Bench::OneLongRunningTask();
    step.task_resources.cpu_millis = cpu_millis;
    step.label = worker;
    this->AddJob("beside-" + worker, step);
    const StartRun start = this->NextStart();
    BOOST_REQUIRE(start.worker.id == worker);
    this->scheduler.StartAnswered(start, CommandOutcome::kDone, this->now);
  }

  // Runs a pass that takes 10 ms and answers its requests.
  std::vector<Action> RunShortPass() {
    this->now += milliseconds(10);
    this->Confirm();
    this->scheduler.Advance(this->now);
    std::vector<Action> actions = this->scheduler.TakeActions();
    for (const RequestAdvice& request : Only<RequestAdvice>(actions))
      this->Answer(request);
    this->Save(Only<SaveProgress>(actions));
    return actions;
  }

  void Answer(const RequestAdvice& request) {
    ++this->requests;
    this->largest_request =
        std::max(this->largest_request, request.workers.size());
    Advice advice{.tickets = {}, .valid_for = seconds(3)};
    for (const jobs::WorkerIncarnation& worker : request.workers) {
      ++this->named;
      if (this->allowed.contains(worker.id))
        advice.tickets[worker] = "ticket-" + worker.id;
    }
    this->scheduler.AdviceAnswered(
        request, {.outcome = AdviceOutcome::kAnswered, .advice = advice},
        this->now);
  }

  // The first start within this time.
  std::optional<StartRun> StartWithin(base::Micros span) {
    const base::Micros end = this->now + span;
    while (this->now < end) {
      const auto starts = Only<StartRun>(this->RunShortPass());
      if (!starts.empty())
        return starts.front();
    }
    return std::nullopt;
  }

  std::set<std::string> allowed;
  int requests = 0;
  int named = 0;
  std::size_t largest_request = 0;
};

// Guards against an accepted job that is never started: the least loaded
// workers were asked for again and again, and the policy allows only others.
BOOST_AUTO_TEST_CASE(StepStartsWhereItsPolicyAllowsOnlyTheMostLoadedWorker) {
  AdvisedPool pool(12);
  pool.Occupy(AdvisedPool::IdOf(0), 1000);
  pool.allowed = {AdvisedPool::IdOf(0)};
  pool.AddJob("job", Bench::OneTask(), true);
  const auto start = pool.StartWithin(seconds(1));
  BOOST_REQUIRE(start.has_value());
  BOOST_TEST(start->worker.id == AdvisedPool::IdOf(0));
  BOOST_TEST(start->ticket == "ticket-" + AdvisedPool::IdOf(0));
}

// Guards against a job that waits although an allowed worker has room: those
// with tickets were full, and no others were asked for.
BOOST_AUTO_TEST_CASE(StepStartsWhereTheWorkersWithTicketsAreFull) {
  AdvisedPool pool(12);
  pool.Occupy(AdvisedPool::IdOf(11), 1000);
  pool.allowed = {AdvisedPool::IdOf(0), AdvisedPool::IdOf(11)};
  jobs::Step step = Bench::OneTask();
  step.tasks = 2;
  step.task_resources.cpu_millis = 3000;
  pool.AddJob("job", step, true);
  std::set<std::string> used;
  for (int i = 0; i < 2; ++i) {
    const auto start = pool.StartWithin(seconds(1));
    BOOST_REQUIRE(start.has_value());
    used.insert(start->worker.id);
    pool.scheduler.StartAnswered(*start, CommandOutcome::kDone, pool.now);
  }
  BOOST_TEST(used == pool.allowed, boost::test_tools::per_element());
}

// Guards against a request that is spent on workers that the step can never run
// on.
BOOST_AUTO_TEST_CASE(OnlyWorkersThatTheStepCanRunOnAreAskedFor) {
  AdvisedPool pool(6);
  pool.AddWorker("labelled");
  jobs::Step step = Bench::OneTask();
  step.label = "labelled";
  pool.allowed = {"labelled"};
  pool.AddJob("job", step, true);
  BOOST_TEST(pool.StartWithin(seconds(1)).has_value());
  BOOST_TEST(pool.named == 1);
}

// Names each worker of a pool once, whatever the pool's size, in requests of at
// most 100.
BOOST_AUTO_TEST_CASE(LastOfManyWorkersIsFoundWithEachNamedOnce) {
  for (const int workers : {300, 600}) {
    AdvisedPool pool(workers);
    pool.ReportAll();
    pool.allowed = {AdvisedPool::IdOf(workers - 1)};
    pool.AddJob("job", Bench::OneTask(), true);
    BOOST_TEST(pool.StartWithin(seconds(1)).has_value());
    BOOST_TEST(pool.named <= workers);
    BOOST_TEST(pool.requests <= 5 + workers / 100);
    BOOST_TEST(pool.largest_request <= 100U);
  }
}

// A step that nobody may run must not keep the service busy: each worker of the
// pool is named at most once in 2 s.
BOOST_AUTO_TEST_CASE(DeniedWorkersAreAskedForAgainOnlyAfterAWhile) {
  AdvisedPool pool(40);
  pool.AddJob("job", Bench::OneTask(), true);
  for (int second = 0; second < 10; ++second) {
    pool.ReportAll();
    BOOST_TEST(!pool.StartWithin(seconds(1)).has_value());
  }
  BOOST_TEST(pool.named >= 2 * 40);
  BOOST_TEST(pool.named <= 5 * 40);
}

// A worker that starts later is asked for at once, and the denied ones are not.
BOOST_AUTO_TEST_CASE(NewWorkerIsAskedForAfterAllOthersWereDenied) {
  AdvisedPool pool(8);
  pool.AddJob("job", Bench::OneTask(), true);
  BOOST_TEST(!pool.StartWithin(seconds(1)).has_value());
  pool.allowed = {"new"};
  pool.AddWorker("new");
  const int named = pool.named;
  BOOST_TEST(pool.StartWithin(seconds(1)).has_value());
  BOOST_TEST(pool.named == named + 1);
}

// Guards against an urgent step that waits for seconds after its service was
// mute, because its own requests were among those that were not answered.
BOOST_AUTO_TEST_CASE(SilenceOfTheServiceDelaysNoStepForLong) {
  StepAdvice silent;
  StepAdvice unusable;
  const base::Micros now = seconds(100);
  for (int i = 0; i < 6; ++i) {
    silent.RequestSent(seconds(1), now);
    silent.RequestFailed(AdviceOutcome::kUnanswered, now);
    unusable.RequestSent(seconds(1), now);
    unusable.RequestFailed(AdviceOutcome::kUnusable, now);
  }
  BOOST_TEST(silent.MayRequest(now + milliseconds(500)));
  BOOST_TEST(!unusable.MayRequest(now + seconds(7)));
  BOOST_TEST(unusable.MayRequest(now + seconds(8)));
}

// Guards against an answer that is thrown away because its call waited for
// longer than a ticket is valid.
BOOST_AUTO_TEST_CASE(TicketIsUsedHoweverLongItsCallHasWaited) {
  const jobs::WorkerIncarnation worker{.id = "w"};
  const base::Micros sent = seconds(100);
  const base::Micros answered = sent + seconds(9);
  StepAdvice advice;
  advice.RequestSent(seconds(10), sent);
  advice.RequestAnswered(
      {worker}, {.tickets = {{worker, "ticket"}}, .valid_for = seconds(3)},
      milliseconds(100), answered);
  BOOST_TEST(advice.HasTicket(worker, answered + milliseconds(2700)));
  BOOST_TEST(!advice.HasTicket(worker, answered + milliseconds(2800)));
}

}  // namespace
}  // namespace quartzhoist::scheduler
