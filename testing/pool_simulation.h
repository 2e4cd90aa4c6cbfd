// Simulated pool that starts ready tasks in their order, for tests of the order
// under load.

#ifndef TESTING_POOL_SIMULATION_H_
#define TESTING_POOL_SIMULATION_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "scheduler/job.h"
#include "scheduler/ready_tasks.h"

namespace quartzhoist::testing {

// Simulates a pool of equal slots and jobs of one step with four tasks of 0.64
// s mean run time. A job is on time within 1.62 s of its submission, useful
// within 4.9 s.
struct PoolSimulation {
  static constexpr int kSlots = 100;
  static constexpr int kTasks = 4;
  static constexpr base::Micros kMeanRun = std::chrono::milliseconds(640);
  static constexpr base::Micros kSlowestRun =
      scheduler::kSlowestTaskPercent * kMeanRun / 100;
  static constexpr base::Micros kTarget = std::chrono::milliseconds(1624);
  static constexpr base::Micros kTick = std::chrono::milliseconds(10);

  // Submits jobs for `span` at `load` times the pool's capacity.
  void ApplyLoad(double load, base::Micros span) {
    const base::Micros until = this->now + span;
    const double jobs_per_second = load * kSlots / kTasks / 0.64;
    while (this->now < until) {
      this->backlog += jobs_per_second * base::Seconds(kTick);
      for (; this->backlog >= 1.0; this->backlog -= 1.0)
        this->Submit();
      this->RunPass();
    }
  }

  void Submit() {
    scheduler::Job& job = this->jobs.emplace_back();
    job.id = std::to_string(this->jobs.size());
    job.accepted_at = this->now;
    job.occurrences.resize(1);
    job.occurrences[0].steps.resize(1);
    job.occurrences[0].steps[0].tasks.resize(kTasks);
    for (int i = 0; i < kTasks; ++i) {
      this->tasks.Insert(
          {.soft_deadline = this->now + kTarget - kMeanRun,
           .useful_deadline = this->now + 3 * kTarget - kSlowestRun,
           .firm_deadline =
               this->now + this->expiry_factor * kTarget - kMeanRun,
           .sequence = ++this->number,
           .job = &job,
           .position = {.index = i}});
    }
  }

  // A failed task is queued again as part of a job that has started.
  void Requeue(scheduler::Job& job) {
    this->tasks.Insert(
        {.scheduling_class = scheduler::SchedulingClass::kStarted,
         .soft_deadline = job.accepted_at + kTarget - kMeanRun,
         .useful_deadline = job.accepted_at + 3 * kTarget - kSlowestRun,
         .firm_deadline =
             job.accepted_at + this->expiry_factor * kTarget - kMeanRun,
         .sequence = ++this->number,
         .job = &job,
         .position = {}});
  }

  void RunPass() {
    this->now += kTick;
    while (!this->running.empty() && this->running.top().first <= this->now) {
      scheduler::Job& job = *this->running.top().second;
      const base::Micros ended = this->running.top().first;
      this->running.pop();
      if (this->run_fails(this->random)) {
        this->Requeue(job);
        continue;
      }
      scheduler::StepState& step = job.occurrences[0].steps[0];
      if (++step.tasks_done < kTasks)
        continue;
      this->on_time_jobs += ended - job.accepted_at <= kTarget;
      this->useful_jobs += ended - job.accepted_at <= 3 * kTarget;
    }
    this->tasks.TryInOrder(this->now, [this](const scheduler::ReadyTask& task) {
      if (this->running.size() == kSlots)
        return scheduler::ReadyTasks::AttemptResult::kStop;
      const base::Micros run(
          static_cast<std::int64_t>(static_cast<double>(kMeanRun.count()) *
                                    this->duration_factor(this->random)));
      this->running.emplace(this->now + run, task.job);
      return scheduler::ReadyTasks::AttemptResult::kPlaced;
    });
  }

  double OnTimeShare() const {
    return static_cast<double>(this->on_time_jobs) /
           static_cast<double>(this->jobs.size());
  }
  double UsefulShare() const {
    return static_cast<double>(this->useful_jobs) /
           static_cast<double>(this->jobs.size());
  }

  using Running = std::pair<base::Micros, scheduler::Job*>;  // end time, job
  base::Micros now = std::chrono::seconds(100);
  scheduler::ReadyTasks tasks;
  std::deque<scheduler::Job> jobs;
  std::priority_queue<Running, std::vector<Running>, std::greater<>> running;
  // Multiple of the target after which tasks count as expired.
  int expiry_factor = scheduler::kUsefulnessFactor;
  double backlog = 0.0;
  std::uint64_t number = 0;
  int on_time_jobs = 0;
  int useful_jobs = 0;
  std::mt19937_64 random{7};
  std::uniform_real_distribution<double> duration_factor{0.6, 1.4};
  std::bernoulli_distribution run_fails{0.0};
};

}  // namespace quartzhoist::testing

#endif  // TESTING_POOL_SIMULATION_H_
