#include "scheduler/worker.h"

#include <algorithm>
#include <utility>

namespace quartzhoist::scheduler {

namespace {

// By so much an answer may overtake one that was given before.
constexpr base::Micros kOvertaken = std::chrono::milliseconds(100);
// A call without an answer may be carried out so much later (the platform's
// pages: seconds; 2 to 12 s on the sites).
constexpr base::Micros kLatestOrder = std::chrono::seconds(12);

void Uncount(const Run& run) {
  if (run.counted)
    *run.counted = *run.counted - run.counts;
}

bool IsProbe(const Run& run) {
  return run.suspicion >= Suspicion::kProbe;
}

}  // namespace

void ClearSuspicion(Worker& worker, Run& run) {
  worker.suspects -= run.suspicion != Suspicion::kNone;
  worker.probes -= IsProbe(run);
  run.suspicion = Suspicion::kNone;
}

Run& AddRun(Worker& worker, const jobs::TaskId& task, Run run) {
  RemoveRun(worker, task);
  worker.used = worker.used + run.takes;
  worker.lasting += run.lasting;
  worker.held += run.is_held;
  worker.suspects += run.suspicion != Suspicion::kNone;
  worker.probes += IsProbe(run);
  if (run.counted)
    *run.counted = *run.counted + run.counts;
  return worker.runs[task] = std::move(run);
}

void RemoveRun(Worker& worker, const jobs::TaskId& task) {
  const auto found = worker.runs.find(task);
  if (found == worker.runs.end())
    return;
  worker.used = worker.used - found->second.takes;
  worker.lasting -= found->second.lasting;
  worker.held -= found->second.is_held;
  ClearSuspicion(worker, found->second);
  Uncount(found->second);
  worker.runs.erase(found);
}

void NoteUnanswered(Worker& worker, const UnansweredStart& start) {
  while (!worker.unanswered.empty() &&
         worker.unanswered.front().given_up + kLatestOrder < start.given_up)
    worker.unanswered.pop_front();
  worker.unanswered.push_back(start);
}

std::map<jobs::TaskId, Run> TakeRuns(Worker& worker) {
  for (const auto& [task, run] : worker.runs)
    Uncount(run);
  worker.used = {};
  worker.lasting = 0;
  worker.held = 0;
  worker.suspects = 0;
  worker.probes = 0;
  return std::exchange(worker.runs, {});
}

bool MayAcknowledge(const Worker& worker) {
  const bool all_seen = std::all_of(
      worker.runs.begin(), worker.runs.end(), [](const auto& entry) {
        const Run& run = entry.second;
        return run.is_seen || run.state == RunState::kPlanned ||
               run.state == RunState::kInherited;
      });
  return worker.listed && worker.failed_calls == 0 && !worker.is_in_doubt &&
         all_seen;
}

bool MayBeClockOf(const Worker& worker,
                  std::int64_t clock_ms,
                  base::Micros ordered) {
  const base::Micros since =
      std::max(ordered - worker.clock_read, base::Micros::zero());
  const double least = static_cast<double>(worker.clock_ms) +
                       base::Seconds(since) * 1000.0 * kSlowestClock -
                       static_cast<double>(base::Millis(kOvertaken));
  return worker.clock_ms > 0 && static_cast<double>(clock_ms) >= least;
}

bool IsShared(const Worker& worker) {
  bool serves = false;
  bool fills = false;
  for (const auto& [task, run] : worker.runs) {
    serves = serves || run.target_ms > 0;
    fills = fills || run.fills;
  }
  return serves && fills;
}

std::int64_t DeadlineFor(const Worker& worker, base::Micros end) {
  if (worker.clock_read == base::Micros::zero() || end <= worker.clock_read)
    return 0;
  const double span_ms = base::Seconds(end - worker.clock_read) * 1000.0;
  return worker.clock_ms + static_cast<std::int64_t>(span_ms * kSlowestClock);
}

}  // namespace quartzhoist::scheduler
