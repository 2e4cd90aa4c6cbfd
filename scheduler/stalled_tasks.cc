#include "scheduler/stalled_tasks.h"

#include <algorithm>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A task is stalled if nothing has shown it at work for this long. Workers that
// answer are polled at least every 2 s.
constexpr base::Micros kStallTime = seconds(3);
// A task of a step that has never been placed is expected to be at work this
// long after its release, so that it is reported 6 s after it. Within 6 s, the
// pool can get a box for it.
constexpr base::Micros kFirstPlacementTime = seconds(3);
// A stall that lasts is counted again after each such period.
constexpr base::Micros kCountPeriod = seconds(10);
// Interval between evaluations, each of which visits every long-running task.
// With the time that a task may be silent it stays below the 5 s in which a
// stall must be reported.
constexpr base::Micros kEvaluationPeriod = milliseconds(500);
// A longer interval means that the process stood still or that the owner could
// not poll its workers: it does not know what was at work in that time.
constexpr base::Micros kMaxEvaluationGap = milliseconds(1000);
// An owner that the store does not confirm is cut off itself, rather than its
// workers, if none has answered for this long: above the longest wait of a
// poll, below `kStallTime`.
constexpr base::Micros kMaxSilenceOfAllWorkers = milliseconds(2500);

bool HasLongRunningStep(const Job& job) {
  return std::any_of(job.spec.steps.begin(), job.spec.steps.end(),
                     [](const jobs::Step& step) { return step.long_running; });
}

bool HasPlacedTask(const StepState& step) {
  return std::any_of(step.tasks.begin(), step.tasks.end(),
                     [](const Task& task) { return task.latest_run > 0; });
}

}  // namespace

void StalledTasks::Watch(const Job& job) {
  if (HasLongRunningStep(job))
    this->watched_jobs.try_emplace(job.id);
}

std::vector<Action> StalledTasks::Evaluate(const Jobs& jobs,
                                           const IsAtWork& is_at_work,
                                           base::Micros now) {
  const bool is_after_gap = now - this->last_evaluation > kMaxEvaluationGap;
  this->last_evaluation = now;
  this->next_evaluation = now + kEvaluationPeriod;
  this->stalled_count = 0;
  std::vector<Action> reports;
  int counted = 0;
  for (auto it = this->watched_jobs.begin(); it != this->watched_jobs.end();) {
    const auto job = jobs.find(it->first);
    if (job == jobs.end() || job->second.finished() || job->second.cancelled) {
      it = this->watched_jobs.erase(it);
      continue;
    }
    WatchedJob& watched = it->second;
    if (is_after_gap || !watched.watched_since)
      watched.watched_since = now;
    const Findings findings =
        this->EvaluateJob(job->second, watched, is_at_work, now);
    base::Micros longest{};
    for (const auto& [position, stall] : watched.stalls)
      longest = std::max(longest, now - stall.since);
    const auto stalled = static_cast<int>(watched.stalls.size());
    if (findings.has_changed) {
      reports.emplace_back(LongRunningStalled{
          .job = job->first,
          .queue = job->second.queue.name,
          .tasks = stalled,
          .stalled_for = stalled > 0 ? longest : findings.longest_ended});
    }
    this->stalled_count += stalled;
    counted += findings.counted;
    ++it;
  }
  if (counted > 0)
    reports.emplace_back(CountStalls{.count = counted});
  return reports;
}

StalledTasks::Findings StalledTasks::EvaluateJob(const Job& job,
                                                 WatchedJob& watched,
                                                 const IsAtWork& is_at_work,
                                                 base::Micros now) const {
  Findings findings;
  for (std::size_t k = 0; k < job.occurrences.size(); ++k) {
    const Occurrence& occurrence = job.occurrences[k];
    if (job.spec.repeat_count > 0 && occurrence.due > now)
      break;
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      if (job.spec.steps[s].long_running && occurrence.steps[s].released)
        this->EvaluateStep(job, {static_cast<int>(k), static_cast<int>(s)},
                           watched, is_at_work, now, findings);
    }
  }
  return findings;
}

void StalledTasks::EvaluateStep(const Job& job,
                                const StepPosition& position,
                                WatchedJob& watched,
                                const IsAtWork& is_at_work,
                                base::Micros now,
                                Findings& findings) const {
  const auto [occurrence, step] = position;
  const Occurrence& state =
      job.occurrences[static_cast<std::size_t>(occurrence)];
  const StepState& step_state = state.steps[static_cast<std::size_t>(step)];
  // 1. A step counts from its first placement, or some time after its release.
  const bool is_first_step =
      job.spec.steps[static_cast<std::size_t>(step)].depends_on.empty();
  base::Micros& expected_since =
      watched.expected_since
          .try_emplace(position,
                       (is_first_step ? state.due : now) + kFirstPlacementTime)
          .first->second;
  if (HasPlacedTask(step_state))
    expected_since = std::min(expected_since, now);
  // 2. The stalls that begin, go on and end.
  for (std::size_t i = 0; i < step_state.tasks.size(); ++i) {
    const Task& task = step_state.tasks[i];
    const TaskPosition key{
        .occurrence = occurrence, .step = step, .index = static_cast<int>(i)};
    const auto known = watched.stalls.find(key);
    const bool is_stalled = known != watched.stalls.end();
    if (task.state == TaskState::kDone || is_at_work(task)) {
      if (!is_stalled)
        continue;
      findings.has_changed = true;
      findings.longest_ended =
          std::max(findings.longest_ended, now - known->second.since);
      watched.stalls.erase(known);
      continue;
    }
    if (is_stalled) {
      Stall& stall = known->second;
      while (stall.next_count_at <= now) {
        stall.next_count_at += kCountPeriod;
        ++findings.counted;
      }
      continue;
    }
    const base::Micros since =
        std::max({task.last_served_at, expected_since, *watched.watched_since});
    if (now - since < kStallTime)
      continue;
    watched.stalls[key] = {.since = since, .next_count_at = now + kCountPeriod};
    findings.has_changed = true;
    ++findings.counted;
  }
}

// --- The scheduler's part ---

// An owner that is replaced leaves the reports to its successor.
void Scheduler::ReportStalledTasks(base::Micros now) {
  if (!this->stalled_tasks.IsDue(now) || this->is_fenced ||
      !this->CanTellWhatIsAtWork(now))
    return;
  for (Action& report : this->stalled_tasks.Evaluate(
           this->jobs,
           [this, now](const Task& task) {
             return this->IsKnownToServe(task, now);
           },
           now))
    this->actions.push_back(std::move(report));
}

// While the store is away, workers that answer show that this owner is not cut
// off and has not been replaced.
bool Scheduler::CanTellWhatIsAtWork(base::Micros now) const {
  return now < this->ownership_until ||
         std::any_of(this->workers.begin(), this->workers.end(),
                     [now](const auto& entry) {
                       return entry.second.has_reported &&
                              now - entry.second.last_answer_at <
                                  kMaxSilenceOfAllWorkers;
                     });
}

}  // namespace quartzhoist::scheduler
