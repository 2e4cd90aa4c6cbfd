// Reservations of workers: who may have one, and a replay of the load pattern
// that they answer.

#include <deque>
#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/reservations.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::seconds;
using Bench = testing::SchedulerBench;

// A pool of workers, each full of tasks of 1000 MB.
class FullPool {
 public:
  explicit FullPool(int size) {
    for (int i = 0; i < size; ++i) {
      Worker worker;
      worker.info = Bench::Worker("w" + std::to_string(i));
      this->workers.push_back(worker);
      for (int k = 0; k < 4; ++k)
        this->Start(this->workers.back());
    }
    for (Worker& worker : this->workers)
      this->usable.push_back(&worker);
  }

  void Start(Worker& worker) {
    ++this->last_task;
    AddRun(worker, {.job = "small", .index = this->last_task},
           {.reserved = {.cpu_millis = 1000, .memory_mb = 1000, .gpus = 0}});
  }

  // Ends one task of each worker.
  void EndOneEach() {
    for (Worker& worker : this->workers) {
      if (!worker.runs.empty())
        RemoveRun(worker, worker.runs.begin()->first);
    }
  }

  // Starts small tasks wherever the reservations let them.
  void Backfill(const Reservations& reservations, const Job& small) {
    for (Worker& worker : this->workers) {
      const jobs::Resources needed =
          jobs::Resources{.cpu_millis = 1000, .memory_mb = 1000, .gpus = 0} +
          reservations.HeldFrom(small, {}, worker);
      while (jobs::Fits(needed, worker.free_capacity()))
        this->Start(worker);
    }
  }

  std::deque<Worker> workers;
  std::vector<Worker*> usable;

 private:
  int last_task = 0;
};

Job LargeJob(const std::string& id, int priority = 0) {
  jobs::Queue queue;
  queue.service = "pool";
  queue.priority = priority;
  jobs::JobSpec spec;
  spec.steps.push_back(Bench::OneLongRunningTask());
  spec.steps.back().task_resources = {
      .cpu_millis = 500, .memory_mb = 3000, .gpus = 0};
  Job job = MakeJob(id, queue, spec, {}, {}, {});
  TaskAt(job, {}).state = TaskState::kReady;
  return job;
}

// Every worker is full at all times; each ends one small task per round and the
// queue of small tasks never runs dry. `large` long-running tasks wait. Returns
// the number of rounds until all of them have a worker; -1: not within 100.
int RoundsUntilAllStart(int workers, int large) {
  FullPool pool(workers);
  Reservations reservations;
  const Job small = LargeJob("small");
  std::deque<Job> jobs;
  for (int i = 0; i < large; ++i)
    jobs.push_back(LargeJob("large-" + std::to_string(i)));
  int started = 0;
  for (int round = 1; round <= 100; ++round) {
    pool.EndOneEach();
    reservations.DropObsolete("pool", pool.usable);
    for (Job& job : jobs) {
      if (TaskAt(job, {}).state != TaskState::kReady)
        continue;
      const jobs::Resources takes = ReservedBy(job.spec.steps[0]);
      Worker* fitting = nullptr;
      for (Worker* worker : pool.usable) {
        if (jobs::Fits(takes + reservations.HeldFrom(job, {}, *worker),
                       worker->free_capacity()))
          fitting = worker;
      }
      if (!fitting) {
        reservations.Reserve("pool", {.job = &job, .position = {}}, pool.usable,
                             pool.usable.size());
        continue;
      }
      AddRun(*fitting, {.job = job.id},
             {.reserved = takes, .is_long_running = true});
      TaskAt(job, {}).state = TaskState::kPlaced;
      ++started;
    }
    if (started == large)
      return round;
    pool.Backfill(reservations, small);
  }
  return -1;
}

// The wait depends on the ratio of large tasks to workers, not on the number of
// workers: reservations grow with the pool.
BOOST_AUTO_TEST_CASE(LargeTasksStartInAFullPoolOfAnySize) {
  BOOST_TEST(RoundsUntilAllStart(2, 1) == 3);
  const int at_size = RoundsUntilAllStart(40, 10);
  const int at_twice_the_size = RoundsUntilAllStart(80, 20);
  BOOST_TEST(at_size > 0);
  BOOST_TEST(at_size <= 8);
  BOOST_TEST(at_twice_the_size == at_size);
}

BOOST_AUTO_TEST_CASE(ReservationHoldsNothingFromHigherPriorities) {
  FullPool pool(1);
  Reservations reservations;
  Job large = LargeJob("large", 2);
  reservations.Reserve("pool", {.job = &large, .position = {}}, pool.usable,
                       pool.usable.size());
  const Worker& worker = pool.workers.front();
  const Job urgent = LargeJob("urgent", 1);
  const Job equal = LargeJob("equal", 2);
  BOOST_TEST(reservations.HeldFrom(urgent, {}, worker).memory_mb == 0);
  BOOST_TEST(reservations.HeldFrom(large, {}, worker).memory_mb == 0);
  BOOST_TEST(reservations.HeldFrom(equal, {}, worker).memory_mb == 3000);
}

BOOST_AUTO_TEST_CASE(ReservationEndsWithTheWaitForCapacity) {
  FullPool pool(1);
  const Worker& worker = pool.workers.front();
  const Job other = LargeJob("other");
  const auto is_held_after = [&](auto&& change) {
    Reservations reservations;
    Job large = LargeJob("large");
    std::vector<Worker*> usable = pool.usable;
    reservations.Reserve("pool", {.job = &large, .position = {}}, usable,
                         usable.size());
    change(large, usable);
    reservations.DropObsolete("pool", usable);
    return reservations.HeldFrom(other, {}, worker).memory_mb > 0;
  };
  BOOST_TEST(is_held_after([](Job&, std::vector<Worker*>&) {}));
  BOOST_TEST(!is_held_after([](Job& job, std::vector<Worker*>&) {
    TaskAt(job, {}).state = TaskState::kPlaced;
  }));
  BOOST_TEST(!is_held_after([](Job& job, std::vector<Worker*>&) {
    TaskAt(job, {}).wait_reason = WaitReason::kQuota;
  }));
  BOOST_TEST(!is_held_after(
      [](Job& job, std::vector<Worker*>&) { job.queue.service = "another"; }));
  BOOST_TEST(!is_held_after(
      [](Job&, std::vector<Worker*>& usable) { usable.clear(); }));
}

// Capacity that long-running tasks hold does not become free.
BOOST_AUTO_TEST_CASE(WorkerWithLongRunningTasksIsNotReserved) {
  FullPool pool(2);
  Worker& pinned = pool.workers.front();
  ExtractRuns(pinned);
  AddRun(pinned, {.job = "lasting"},
         {.reserved = {.cpu_millis = 500, .memory_mb = 1500, .gpus = 0},
          .is_long_running = true});
  Reservations reservations;
  Job large = LargeJob("large");
  reservations.Reserve("pool", {.job = &large, .position = {}}, pool.usable,
                       pool.usable.size());
  const Job other = LargeJob("other");
  BOOST_TEST(reservations.HeldFrom(other, {}, pinned).memory_mb == 0);
  BOOST_TEST(reservations.HeldFrom(other, {}, pool.workers.back()).memory_mb ==
             3000);
}

}  // namespace
}  // namespace quartzhoist::scheduler
