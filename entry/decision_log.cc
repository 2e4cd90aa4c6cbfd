#include "entry/decision_log.h"

#include <algorithm>
#include <string>

#include <fmt/format.h>

#include "base/event_log.h"
#include "jobs/job.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

// Maximum number of runs listed in a line; a box with small tasks has hundreds.
constexpr std::size_t kMaxRunsListed = 12;

std::string FormatRuns(const std::vector<scheduler::LostRun>& runs) {
  std::string text;
  const std::size_t listed = std::min(runs.size(), kMaxRunsListed);
  for (std::size_t i = 0; i < listed; ++i) {
    const scheduler::LostRun& lost = runs[i];
    text += fmt::format("{}{}.{}.{}.{} run {} age {}{}", i == 0 ? "" : ", ",
                        lost.task.job, lost.task.occurrence, lost.task.step,
                        lost.task.index, lost.run, base::Millis(lost.age),
                        lost.is_answered ? "" : " unanswered");
  }
  return text;
}

std::string FormatTask(const std::string& job, const jobs::TaskKey& task) {
  return fmt::format("{}.{}.{}.{}", job, task.step.occurrence, task.step.step,
                     task.index);
}

std::string FormatLosses(const jobs::WorkerLosses& losses) {
  std::string text;
  for (const auto& [life, loss] : losses) {
    text += fmt::format("{}{} run {} {}{}", text.empty() ? "" : ", ",
                        jobs::FormatWorkerIncarnation(life), loss.run,
                        loss.has_crashed ? "crashed" : "silent",
                        loss.was_sole_suspect ? " alone" : "");
  }
  return text;
}

std::string FormatResources(const jobs::Resources& resources) {
  return fmt::format("{} {} {}", resources.cpu_millis, resources.memory_mb,
                     resources.gpus);
}

}  // namespace

void LogJobFinished(const scheduler::JobFinished& finished) {
  const scheduler::JobTimings& timings = finished.timings;
  // A job that was cancelled before its first placement has none.
  const base::Micros first_placed =
      timings.first_placed.value_or(milliseconds(-1));
  base::Log(base::Event::kJobOver,
            {{"job", finished.job},
             {"queue", finished.queue},
             {"state", base::NameOf(jobs::kJobStateNames, finished.state)},
             {"took_ms", base::Millis(finished.duration)},
             {"objective_ms", base::Millis(finished.objective)},
             {"first_place_ms", base::Millis(first_placed)},
             {"longest_wait_ms", base::Millis(timings.longest_wait)},
             {"longest_run_ms", base::Millis(timings.longest_run)},
             {"runs", timings.runs},
             {"lost_runs", timings.lost_runs}});
}

void LogWorkerLost(const scheduler::WorkerLost& lost) {
  const bool was_heard = lost.last_answer_ago >= base::Micros::zero();
  base::Log(base::Event::kWorkerLost,
            {{"worker", lost.worker.id},
             {"born_ms", lost.worker.start_ms},
             {"box", lost.box},
             {"sign", base::NameOf(scheduler::kLossReasonNames, lost.reason)},
             {"heard_ms", was_heard ? base::Millis(lost.last_answer_ago) : -1},
             {"count", lost.runs.size()},
             {"runs", FormatRuns(lost.runs)}});
}

void LogWorkerRestarted(const scheduler::WorkerRestarted& restarted) {
  base::Log(base::Event::kWorkerRestarted,
            {{"worker", restarted.worker.id},
             {"born_ms", restarted.worker.start_ms},
             {"earlier_born_ms", restarted.earlier_born_ms},
             {"ends_read", restarted.last_end_sequence},
             {"moved_runs", restarted.transferred_runs}});
}

void LogWorkerCapacityChanged(const scheduler::WorkerCapacityChanged& changed) {
  base::Log(base::Event::kWorkerCapacityChanged,
            {{"worker", changed.worker.id},
             {"born_ms", changed.worker.start_ms},
             {"earlier", FormatResources(changed.earlier)},
             {"capacity", FormatResources(changed.current)},
             {"used", FormatResources(changed.used)},
             {"earlier_age_ms", base::Millis(changed.earlier_age)}});
}

void LogRunEndIgnored(const scheduler::RunEndIgnored& ignored) {
  const jobs::TaskId& task = ignored.end.task;
  base::Log(base::Event::kEndSkipped,
            {{"worker", ignored.worker.id},
             {"born_ms", ignored.worker.start_ms},
             {"number", ignored.end.sequence},
             {"ends_read", ignored.last_end_sequence},
             {"task", fmt::format("{}.{}.{}.{}", task.job, task.occurrence,
                                  task.step, task.index)},
             {"run", ignored.end.run},
             {"how", base::NameOf(scheduler::kRunEndReasonNames,
                                  ignored.end.reason)}});
}

void LogTaskGivenUp(const scheduler::TaskGivenUp& given_up) {
  base::Log(base::Event::kTaskGivenUp,
            {{"task", FormatTask(given_up.job, given_up.task)},
             {"workers", FormatLosses(given_up.losses)}});
}

void LogLongRunningStalled(const scheduler::LongRunningStalled& stalled) {
  base::Log(base::Event::kLongRunningStalled,
            {{"job", stalled.job},
             {"queue", stalled.queue},
             {"tasks", stalled.tasks},
             {"stalled_ms", base::Millis(stalled.stalled_for)}});
}

void LogJobFailed(const scheduler::JobFailed& failed) {
  base::Log(
      base::Event::kJobFailed,
      {{"job", failed.job},
       {"queue", failed.queue},
       {"task", FormatTask(failed.job, failed.task)},
       {"cause", base::NameOf(scheduler::kFailureCauseNames, failed.cause)}});
}

void LogProgressRejected(const scheduler::ProgressRejected& rejected) {
  base::Log(base::Event::kProgressRejected,
            {{"job", rejected.job},
             {"bytes", rejected.bytes},
             {"limit", rejected.limit},
             {"withdrawn", rejected.withdrawn},
             {"rejections", rejected.rejections}});
}

void LogBoxesRested(int shard, const scheduler::BoxesRested& rested) {
  base::Log(base::Event::kBoxesRested,
            {{"shard", shard},
             {"boxes", rested.boxes},
             {"need_cores", fmt::format("{:.0f}", rested.need_cores)},
             {"pool_cores", fmt::format("{:.0f}", rested.pool_cores)}});
}

void LogNote(const scheduler::LogNote& note) {
  base::Log(base::Event::kDecision,
            {{"subject", note.subject}, {"text", note.text}});
}

}  // namespace quartzhoist::entry
