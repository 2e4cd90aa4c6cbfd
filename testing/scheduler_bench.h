// A scheduler under test, told and asked by hand.

#ifndef TESTING_SCHEDULER_BENCH_H_
#define TESTING_SCHEDULER_BENCH_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "scheduler/scheduler.h"

namespace quartzhoist::testing {

template <typename Wanted>
std::vector<Wanted> Only(const std::vector<scheduler::Action>& actions) {
  std::vector<Wanted> found;
  for (const scheduler::Action& action : actions) {
    if (const auto* one = std::get_if<Wanted>(&action))
      found.push_back(*one);
  }
  return found;
}

// A scheduler with one pool, told and asked by hand.
struct SchedulerBench {
  explicit SchedulerBench(std::uint64_t epoch) : scheduler(LimitsOf(epoch)) {
    jobs::Config config;
    config.services.push_back({.name = "pool"});
    this->scheduler.SetConfig(config, this->now);
    this->Confirm();
  }

  static scheduler::Limits LimitsOf(std::uint64_t epoch) {
    scheduler::Limits limits;
    limits.lease = std::chrono::seconds(4);
    limits.grant_bound = std::chrono::seconds(10);
    limits.longest_grant = std::chrono::milliseconds(4200);
    limits.longest_lease = std::chrono::milliseconds(8400);
    limits.stop_time = std::chrono::milliseconds(400);
    limits.epoch = epoch;
    return limits;
  }

  static scheduler::WorkerInfo Worker(const std::string& id) {
    return {.life = {.id = id},
            .box = "box-" + id,
            .service = "pool",
            .address = id,
            .zone = "",
            .labels = {},
            .rack = id,
            .capacity = {.cpu_millis = 4000, .memory_mb = 4000, .gpus = 0}};
  }

  static jobs::Step OneTask() {
    jobs::Step step;
    step.tasks = 1;
    step.task_resources = {.cpu_millis = 1000, .memory_mb = 100, .gpus = 0};
    step.estimate_ms = 1000;
    return step;
  }

  static jobs::Step OneLastingTask() {
    jobs::Step step = OneTask();
    step.long_running = true;
    return step;
  }

  // A job of this step alone.
  void AddJob(const std::string& id,
              const jobs::Step& step = OneTask(),
              bool needs_advice = false) {
    jobs::Queue queue;
    queue.name = "queue";
    queue.service = "pool";
    queue.advice.required = needs_advice;
    jobs::JobSpec spec;
    spec.steps.push_back(step);
    this->scheduler.AddJob(
        scheduler::MakeJob(id, queue, spec, {}, this->now, {}), this->now);
  }

  // The worker answers a look that is sent now, and that may grant a lease.
  void List(const std::string& worker,
            scheduler::Listing listing,
            base::Micros grant = {}) {
    const jobs::WorkerIncarnation asked = this->LifeOf(worker);
    if (listing.life.empty())
      listing.life = asked;
    this->scheduler.LookSent({.worker = asked}, this->now);
    if (grant > base::Micros{})
      this->scheduler.LookGrants(asked, grant);
    this->now += std::chrono::milliseconds(10);
    listing.clock_ms = this->now.count() / 1000;
    this->scheduler.Listed(asked, listing, this->now);
    this->scheduler.WorkersRecorded({this->LifeOf(worker)});
  }

  // The life that is known under the id.
  jobs::WorkerIncarnation LifeOf(const std::string& id) const {
    const scheduler::Worker* known = this->scheduler.FindWorker(id);
    return known ? known->info.life : jobs::WorkerIncarnation{.id = id};
  }

  // The store confirms the ownership; nobody else takes over for 1.15 s.
  void Confirm() {
    this->scheduler.Confirmed(this->now,
                              this->now + std::chrono::milliseconds(1150));
  }

  // A turn of the scheduler, later.
  std::vector<scheduler::Action> Turn() {
    this->now += std::chrono::milliseconds(300);
    this->Confirm();
    this->scheduler.Advance(this->now);
    return this->scheduler.TakeActions();
  }

  // Tells that all of these were saved.
  void Save(const std::vector<scheduler::SaveProgress>& saves) {
    for (const scheduler::SaveProgress& save : saves) {
      this->scheduler.Saved({.job = save.job,
                             .change = save.change,
                             .outcome = scheduler::SaveOutcome::kSaved,
                             .version = ++this->version,
                             .stored = {}},
                            this->now);
    }
  }

  // Turns until a start is ordered; saves whatever is to be saved.
  scheduler::StartRun NextStart() {
    for (int i = 0; i < 8; ++i) {
      const std::vector<scheduler::Action> actions = this->Turn();
      const auto starts = Only<scheduler::StartRun>(actions);
      if (!starts.empty())
        return starts.front();
      this->Save(Only<scheduler::SaveProgress>(actions));
    }
    return {};
  }

  base::Micros now = std::chrono::seconds(100);
  std::uint64_t version = 1;
  scheduler::Scheduler scheduler;
};

inline jobs::TaskId FirstTask(const std::string& job) {
  return {.job = job, .occurrence = 0, .step = 0, .index = 0};
}

}  // namespace quartzhoist::testing

#endif  // TESTING_SCHEDULER_BENCH_H_
