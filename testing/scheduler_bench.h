// A test fixture that drives a scheduler without a store or workers.

#ifndef TESTING_SCHEDULER_BENCH_H_
#define TESTING_SCHEDULER_BENCH_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "scheduler/scheduler.h"

namespace quartzhoist::testing {

// Returns the actions of one type. `ActionType` is a variant.
template <typename Wanted, typename ActionType>
std::vector<Wanted> Only(const std::vector<ActionType>& actions) {
  std::vector<Wanted> found;
  for (const ActionType& action : actions) {
    if (const auto* one = std::get_if<Wanted>(&action))
      found.push_back(*one);
  }
  return found;
}

// A scheduler with one pool. The test passes it events and reads its actions.
struct SchedulerBench {
  explicit SchedulerBench(std::uint64_t epoch)
      : SchedulerBench(LimitsOf(epoch)) {}

  explicit SchedulerBench(const scheduler::SchedulerLimits& limits)
      : scheduler(limits) {
    jobs::Config config;
    config.services.push_back({.name = "pool"});
    this->scheduler.SetConfig(config, this->now);
    this->Confirm();
  }

  static scheduler::SchedulerLimits LimitsOf(std::uint64_t epoch) {
    scheduler::SchedulerLimits limits;
    limits.lease_duration = std::chrono::seconds(4);
    limits.max_lease_after_confirmation = std::chrono::seconds(10);
    limits.max_grant = std::chrono::milliseconds(4200);
    limits.max_lease = std::chrono::milliseconds(8400);
    limits.max_stop_time = std::chrono::milliseconds(400);
    limits.epoch = epoch;
    return limits;
  }

  static scheduler::WorkerInfo Worker(const std::string& id) {
    return {.incarnation = {.id = id},
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

  static jobs::Step OneLongRunningTask() {
    jobs::Step step = OneTask();
    step.long_running = true;
    return step;
  }

  // Adds a job with this single step.
  void AddJob(const std::string& id,
              const jobs::Step& step = OneTask(),
              bool needs_advice = false) {
    this->AddJobWithProgress(id, step, {}, needs_advice);
  }

  // As AddJob, with the progress that an earlier owner has stored.
  void AddJobWithProgress(const std::string& id,
                          const jobs::Step& step,
                          const jobs::Progress& progress,
                          bool needs_advice = false) {
    jobs::Queue queue;
    queue.name = "queue";
    queue.service = "pool";
    queue.advice = this->advice;
    queue.advice.required = needs_advice;
    jobs::JobSpec spec;
    spec.steps.push_back(step);
    this->scheduler.AddJob(
        scheduler::MakeJob(id, queue, spec, progress, this->now, {}),
        this->now);
  }

  // A job "job" whose only task an earlier owner has placed.
  void AddPlacedJob(const jobs::Placement& placement,
                    const jobs::Step& step = OneTask()) {
    jobs::Progress progress;
    progress.placed[{.step = {}, .index = 0}] = placement;
    this->AddJobWithProgress("job", step, progress);
  }

  // A worker that an earlier owner has recorded as a lease holder.
  void InheritWorker(const std::string& id, base::Micros lease_end) {
    this->scheduler.InheritWorker(Worker(id), lease_end);
    this->scheduler.UpdateWorker(Worker(id), this->now);
  }

  // Sends a poll to the worker and delivers `report` as its answer 10 ms later.
  // The poll grants a lease if `grant` is positive.
  void Report(const std::string& worker,
              scheduler::WorkerReport report,
              base::Micros grant = {}) {
    const jobs::WorkerIncarnation asked = this->LifeOf(worker);
    if (report.incarnation.empty())
      report.incarnation = asked;
    this->scheduler.PollSent({.worker = asked}, this->now);
    if (grant > base::Micros{})
      this->scheduler.PollGrantsLease(asked, grant);
    this->now += std::chrono::milliseconds(10);
    report.clock_ms = this->now.count() / 1000;
    this->scheduler.WorkerReported(asked, report, this->now);
    this->scheduler.WorkersRecorded({this->LifeOf(worker)});
  }

  // Reports the first end of the worker's incarnation.
  void ReportEnd(const std::string& worker,
                 const jobs::TaskId& task,
                 int run,
                 scheduler::RunEndReason reason) {
    this->Report(worker, {.ended = {{.sequence = 1,
                                     .task = task,
                                     .run = run,
                                     .reason = reason,
                                     .checkpoint = ""}}});
  }

  // Returns the worker incarnation that the scheduler knows under the id.
  jobs::WorkerIncarnation LifeOf(const std::string& id) const {
    const scheduler::Worker* known = this->scheduler.FindWorker(id);
    return known ? known->info.incarnation : jobs::WorkerIncarnation{.id = id};
  }

  // Confirms the ownership for the next 1.15 s.
  void Confirm() {
    this->scheduler.OwnershipConfirmed(
        this->now, this->now + std::chrono::milliseconds(1150));
  }

  // Advances the time by 300 ms and runs one scheduling pass.
  std::vector<scheduler::Action> RunPass() {
    this->now += std::chrono::milliseconds(300);
    this->Confirm();
    this->scheduler.Advance(this->now);
    return this->scheduler.TakeActions();
  }

  // Reports that all of these saves succeeded.
  void Save(const std::vector<scheduler::SaveProgress>& saves) {
    for (const scheduler::SaveProgress& save : saves) {
      this->scheduler.ProgressSaved({.job = save.job,
                                     .change = save.change,
                                     .outcome = scheduler::SaveOutcome::kSaved,
                                     .version = ++this->version,
                                     .stored = {}},
                                    this->now);
    }
  }

  // Runs up to eight passes, with all saves succeeding, and returns the first
  // start; empty if there is none.
  scheduler::StartRun NextStart() {
    for (int i = 0; i < 8; ++i) {
      const std::vector<scheduler::Action> actions = this->RunPass();
      const auto starts = Only<scheduler::StartRun>(actions);
      if (!starts.empty())
        return starts.front();
      this->Save(Only<scheduler::SaveProgress>(actions));
    }
    return {};
  }

  base::Micros now = std::chrono::seconds(100);
  std::uint64_t version = 1;
  jobs::AdviceConfig advice;  // of queues that need advice
  scheduler::Scheduler scheduler;
};

inline jobs::TaskId FirstTask(const std::string& job) {
  return {.job = job, .occurrence = 0, .step = 0, .index = 0};
}

}  // namespace quartzhoist::testing

#endif  // TESTING_SCHEDULER_BENCH_H_
