// Replays a burst of jobs of one and of two steps against the scheduler's order
// of tasks, its expected waits and the admission that follows them.

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "entry/admission.h"
#include "jobs/objective.h"
#include "scheduler/expected_waits.h"
#include "scheduler/ready_tasks.h"

namespace quartzhoist::entry {
namespace {

using scheduler::Job;
using scheduler::ReadyTask;
using scheduler::ReadyTasks;
using scheduler::SchedulingClass;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kCores = 196;  // each for one task
constexpr int kTasks = 4;            // of a step
constexpr double kTwoStepShare = 0.1;
// Callers' estimate of a task; the runs take 0.64 s in the mean.
constexpr base::Micros kEstimate = milliseconds(300);
constexpr double kMeanRunSeconds = 0.64;
constexpr base::Micros kTick = milliseconds(10);
constexpr base::Micros kReportPeriod = milliseconds(450);

struct Outcome {
  double SubmittedShare(int jobs) const {
    return static_cast<double>(jobs) / this->submitted;
  }

  int submitted = 0;
  int accepted = 0;
  int useful = 0;  // done within three objectives of the first submission
};

// One pool with one queue. A caller that is rejected returns when it is told
// to, unless its job is of no use by then.
class Burst {
 public:
  Burst(std::uint64_t seed, bool with_admission)
      : random(seed), admission(seed), has_admission(with_admission) {
    this->queue.name = "q";
    this->queue.service = "pool";
    this->queue.extension = 1.5;
    this->queue.target_latency = milliseconds(600);
  }

  // `load`: work submitted, as a multiple of what the cores can do.
  void Play(double load, base::Micros span) {
    constexpr double kMeanWork =
        kMeanRunSeconds * kTasks * (1.0 + kTwoStepShare);
    for (const base::Micros end = this->now + span; this->now < end;) {
      this->now += kTick;
      this->EndRuns();
      if (this->now % kReportPeriod < kTick)
        this->ReportWaits();
      this->due_jobs += load * kCores / kMeanWork * base::Seconds(kTick);
      for (; this->due_jobs >= 1.0; this->due_jobs -= 1.0) {
        const bool has_two = std::uniform_real_distribution<>(
                                 0.0, 1.0)(this->random) < kTwoStepShare;
        this->callers.push_back({.steps = has_two ? 2U : 1U,
                                 .first_at = this->now,
                                 .next_at = this->now});
        ++this->OutcomeOf(has_two ? 2U : 1U).submitted;
      }
      this->SubmitDue();
      this->PlaceTasks();
    }
  }

  const Outcome& one_step() const { return this->outcomes[0]; }
  const Outcome& two_steps() const { return this->outcomes[1]; }

 private:
  struct Caller {
    std::size_t steps = 1;
    base::Micros first_at{};
    base::Micros next_at{};
  };
  struct Run {
    bool operator>(const Run& other) const { return this->end > other.end; }

    base::Micros end{};
    Job* job = nullptr;
    std::size_t step = 0;
  };

  static base::Micros ChainOf(std::size_t steps) {
    return static_cast<std::int64_t>(steps) * kEstimate;
  }
  base::Micros ObjectiveOf(std::size_t steps) const {
    return jobs::ObjectiveFor(this->queue, ChainOf(steps));
  }
  Outcome& OutcomeOf(std::size_t steps) { return this->outcomes[steps - 1]; }

  void SubmitDue() {
    std::vector<Caller> waiting;
    for (Caller& caller : std::exchange(this->callers, {})) {
      const base::Micros objective = this->ObjectiveOf(caller.steps);
      const base::Micros too_late = caller.first_at + 3 * objective;
      if (caller.next_at > this->now) {
        waiting.push_back(caller);
        continue;
      }
      const AdmissionRequest request{.objective = objective,
                                     .chain = ChainOf(caller.steps),
                                     .queue = this->queue.name};
      const auto rejection = this->has_admission
                                 ? this->admission.Decide(request, this->load)
                                 : std::nullopt;
      if (!rejection) {
        this->Accept(caller);
        continue;
      }
      caller.next_at = this->now + rejection->retry_after;
      if (caller.next_at < too_late)
        waiting.push_back(caller);
    }
    this->callers = std::move(waiting);
  }

  void Accept(const Caller& caller) {
    ++this->OutcomeOf(caller.steps).accepted;
    Job& job = this->jobs.emplace_back();
    this->useful_until[&job] =
        caller.first_at + 3 * this->ObjectiveOf(caller.steps);
    job.accepted_at = this->now;
    job.occurrences.resize(1);
    job.occurrences[0].steps.resize(caller.steps);
    this->Release(job, 0);
  }

  // As Scheduler::Enqueue() does.
  void Release(Job& job, std::size_t step) {
    auto& steps = job.occurrences[0].steps;
    steps[step].released = true;
    const base::Micros objective = this->ObjectiveOf(steps.size());
    const base::Micros left = ChainOf(steps.size() - step);
    for (int i = 0; i < kTasks; ++i) {
      this->ready.Insert(
          {.scheduling_class = step > 0 ? SchedulingClass::kStarted
                                        : SchedulingClass::kNotStarted,
           .soft_deadline = job.accepted_at + objective - left,
           .firm_deadline = job.accepted_at +
                            scheduler::kUsefulnessFactor * objective - left,
           .sequence = ++this->last_task,
           .job = &job,
           .position = {.step = static_cast<int>(step), .index = i}});
    }
  }

  void EndRuns() {
    while (!this->runs.empty() && this->runs.top().end <= this->now) {
      const Run run = this->runs.top();
      this->runs.pop();
      auto& steps = run.job->occurrences[0].steps;
      if (++steps[run.step].tasks_done < kTasks)
        continue;
      if (run.step + 1 < steps.size()) {
        this->Release(*run.job, run.step + 1);
        continue;
      }
      run.job->progress.state = jobs::JobState::kCompleted;
      this->OutcomeOf(steps.size()).useful +=
          this->now <= this->useful_until.at(run.job);
    }
  }

  void PlaceTasks() {
    this->ready.TryInOrder(this->now, [this](const ReadyTask& task) {
      if (this->runs.size() >= kCores)
        return ReadyTasks::AttemptResult::kStop;
      task.job->has_started = true;
      const milliseconds duration(
          std::uniform_int_distribution<>(320, 960)(this->random));
      this->runs.push({.end = this->now + duration,
                       .job = task.job,
                       .step = static_cast<std::size_t>(task.position.step)});
      return ReadyTasks::AttemptResult::kPlaced;
    });
  }

  // As Scheduler::ExpectedWaits() does.
  void ReportWaits() {
    scheduler::PoolWork pool;
    pool.usable_cores = static_cast<double>(kCores);
    pool.free_cores = static_cast<double>(kCores - this->runs.size());
    for (const ReadyTask& task : this->ready)
      pool.Add(0, task.ClassAt(this->now),
               {.core_seconds = kMeanRunSeconds, .ready_cores = 1.0});
    for (const Job& job : this->jobs) {
      const auto& steps = job.occurrences[0].steps;
      if (!job.has_started || job.finished() || steps.back().released)
        continue;
      const base::Micros objective = this->ObjectiveOf(steps.size());
      const base::Micros age = this->now - job.accepted_at;
      pool.Add(0,
               age <= objective ? SchedulingClass::kStarted
               : age <= scheduler::kUsefulnessFactor * objective
                   ? SchedulingClass::kLate
                   : SchedulingClass::kExpired,
               {.core_seconds = kTasks * kMeanRunSeconds});
    }
    const scheduler::ExpectedWait wait =
        scheduler::ComputeExpectedWaits({this->queue}, {{"pool", pool}})
            .at("q");
    this->load.waits["q"] = {
        .within_rate_ms = static_cast<int>(base::Millis(wait.within_rate)),
        .over_rate_ms = static_cast<int>(base::Millis(wait.over_rate))};
  }

  base::Micros now = seconds(100);
  std::mt19937_64 random;
  Admission admission;
  bool has_admission;
  jobs::Queue queue;
  ShardLoad load;  // as reported last
  double due_jobs = 0.0;
  std::vector<Caller> callers;  // that submit a job now or later
  std::deque<Job> jobs;
  std::map<const Job*, base::Micros> useful_until;
  ReadyTasks ready;
  std::uint64_t last_task = 0;
  std::priority_queue<Run, std::vector<Run>, std::greater<>> runs;
  std::array<Outcome, 2> outcomes;  // of jobs of one and of two steps
};

// Guards against a rule of the admission that favours short jobs. Measured with
// these seeds: 55% of the two-step jobs and 52% of the others are accepted, 33%
// and 14% are useful; without admission 46% and 12%. What two-step jobs lose is
// a preference by the scheduler, not by the decision: an overloaded class
// starts the latest deadline first, which among jobs of the same age is that of
// the longest chain. With admission there are moments without new jobs to
// prefer.
BOOST_AUTO_TEST_CASE(AdmissionDoesNotFavourShortJobsInABurst) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    const auto play = [seed](bool with_admission) {
      Burst burst(seed, with_admission);
      burst.Play(0.6, seconds(3));
      burst.Play(15.0, seconds(10));
      burst.Play(0.6, seconds(30));
      return burst;
    };
    const Burst with = play(true);
    const Burst without = play(false);
    for (const Burst* burst : {&with, &without}) {
      for (const Outcome& jobs : {burst->one_step(), burst->two_steps()})
        BOOST_TEST_MESSAGE(jobs.submitted << " submitted, " << jobs.accepted
                                          << " accepted, " << jobs.useful
                                          << " useful");
    }
    const Outcome& one = with.one_step();
    const Outcome& two = with.two_steps();
    BOOST_TEST(two.SubmittedShare(two.accepted) >=
               one.SubmittedShare(one.accepted));
    BOOST_TEST(two.SubmittedShare(two.useful) >=
               one.SubmittedShare(one.useful));
    BOOST_TEST(one.useful + two.useful >=
               without.one_step().useful + without.two_steps().useful);
  }
}

}  // namespace
}  // namespace quartzhoist::entry
