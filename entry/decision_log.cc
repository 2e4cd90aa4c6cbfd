#include "entry/decision_log.h"

#include <algorithm>
#include <string>

#include <fmt/format.h>

#include "base/event_log.h"
#include "jobs/job.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

// A line names no more runs than this: a box of small tasks holds hundreds.
constexpr std::size_t kMostRunsNamed = 12;

std::string RunsText(const std::vector<scheduler::LostRun>& runs) {
  std::string text;
  const std::size_t named = std::min(runs.size(), kMostRunsNamed);
  for (std::size_t i = 0; i < named; ++i) {
    const scheduler::LostRun& lost = runs[i];
    text += fmt::format("{}{}.{}.{}.{} run {} age {}{}", i == 0 ? "" : ", ",
                        lost.task.job, lost.task.occurrence, lost.task.step,
                        lost.task.index, lost.run, base::Millis(lost.age),
                        lost.is_answered ? "" : " unanswered");
  }
  return text;
}

std::string LivesText(const jobs::WorkerLosses& losses) {
  std::string text;
  for (const auto& [life, loss] : losses) {
    text += fmt::format("{}{} run {} {}{}", text.empty() ? "" : ", ",
                        jobs::FormatWorkerIncarnation(life), loss.run,
                        loss.has_crashed ? "crashed" : "silent",
                        loss.was_sole_suspect ? " alone" : "");
  }
  return text;
}

}  // namespace

void LogJobOver(const scheduler::JobOver& over) {
  const scheduler::JobStory& story = over.story;
  // A job that was cancelled before it began has no first place.
  const base::Micros first = story.first_placed.value_or(milliseconds(-1));
  base::Log(base::Event::kJobOver,
            {{"job", over.job},
             {"queue", over.queue},
             {"state", base::NameOf(jobs::kJobStateNames, over.state)},
             {"took_ms", base::Millis(over.took)},
             {"objective_ms", base::Millis(over.objective)},
             {"first_place_ms", base::Millis(first)},
             {"longest_wait_ms", base::Millis(story.longest_wait)},
             {"longest_run_ms", base::Millis(story.longest_run)},
             {"runs", story.runs},
             {"lost_runs", story.lost_runs}});
}

void LogWorkerLost(const scheduler::WorkerLost& lost) {
  const bool was_heard = lost.heard_ago >= base::Micros::zero();
  base::Log(base::Event::kWorkerLost,
            {{"worker", lost.worker.id},
             {"born_ms", lost.worker.start_ms},
             {"box", lost.box},
             {"sign", base::NameOf(scheduler::kLossSignNames, lost.sign)},
             {"heard_ms", was_heard ? base::Millis(lost.heard_ago) : -1},
             {"count", lost.runs.size()},
             {"runs", RunsText(lost.runs)}});
}

void LogWorkerRestarted(const scheduler::WorkerRestarted& restarted) {
  base::Log(base::Event::kWorkerRestarted,
            {{"worker", restarted.worker.id},
             {"born_ms", restarted.worker.start_ms},
             {"earlier_born_ms", restarted.earlier_born_ms},
             {"ends_read", restarted.ends_read},
             {"moved_runs", restarted.moved_runs}});
}

void LogEndSkipped(const scheduler::EndSkipped& skipped) {
  const jobs::TaskId& task = skipped.end.task;
  base::Log(base::Event::kEndSkipped,
            {{"worker", skipped.worker.id},
             {"born_ms", skipped.worker.start_ms},
             {"number", skipped.end.number},
             {"ends_read", skipped.ends_read},
             {"task", fmt::format("{}.{}.{}.{}", task.job, task.occurrence,
                                  task.step, task.index)},
             {"run", skipped.end.run},
             {"how", base::NameOf(scheduler::kRunEndNames, skipped.end.how)}});
}

void LogTaskGivenUp(const scheduler::TaskGivenUp& given_up) {
  const jobs::TaskKey& task = given_up.task;
  base::Log(
      base::Event::kTaskGivenUp,
      {{"task", fmt::format("{}.{}.{}.{}", given_up.job, task.step.occurrence,
                            task.step.step, task.index)},
       {"workers", LivesText(given_up.losses)}});
}

void LogNote(const scheduler::Note& note) {
  base::Log(base::Event::kDecision,
            {{"subject", note.subject}, {"text", note.text}});
}

}  // namespace quartzhoist::entry
