// Tests jobs whose progress does not fit the store's rows with all of their
// runs placed at a time.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "scheduler/scheduler.h"
#include "testing/scheduler_bench.h"

namespace quartzhoist::scheduler {
namespace {

using testing::Only;

// A row of 65,536 bytes as it is sent.
constexpr std::size_t kRowBytes = 49'152;
constexpr int kTasks = 2'000;
constexpr const char* kWorker = "i-5e86393d3a";
// Run numbers after a takeover have four digits.
constexpr std::uint64_t kLaterEpoch = 2;

// A worker with room for all tasks, and a store that rejects rows that are too
// large. Runs end in the pass after their start.
struct RowBench : testing::SchedulerBench {
  explicit RowBench(const SchedulerLimits& limits = LimitsOf(kLaterEpoch))
      : SchedulerBench(limits) {
    this->scheduler.UpdateWorker(Worker(kWorker), this->now);
    this->Report(kWorker, {});
  }

  static jobs::Step ManyTasks() {
    jobs::Step step = OneTask();
    step.tasks = kTasks;
    step.task_resources = {.cpu_millis = 1, .memory_mb = 1, .gpus = 0};
    return step;
  }

  const Job& job() const { return this->scheduler.all_jobs().at("job"); }

  void AnswerSave(const SaveProgress& save) {
    this->largest_save = std::max(this->largest_save, save.text.size());
    if (save.text.size() <= this->row_bytes) {
      this->Save({save});
      return;
    }
    ++this->rejected;
    this->scheduler.ProgressSaved({.job = save.job,
                                   .change = save.change,
                                   .outcome = SaveOutcome::kRejected,
                                   .version = 0,
                                   .stored = {}},
                                  this->now);
  }

  // Runs a pass, and ends the runs that it starts.
  void Turn() {
    const std::vector<Action> actions = this->RunPass();
    this->warnings += Only<ProgressRejected>(actions).size();
    for (const SaveProgress& save : Only<SaveProgress>(actions))
      this->AnswerSave(save);
    this->most_placed =
        std::max(this->most_placed,
                 static_cast<int>(this->job().progress.placed.size()));
    std::vector<ReportedEnd> ended;
    for (const StartRun& start : Only<StartRun>(actions)) {
      ++this->starts;
      const bool fails = this->failed[start.task]++ < this->failures_of_a_task;
      this->scheduler.StartAnswered(start, CommandOutcome::kDone, this->now);
      ended.push_back(
          {.sequence = ++this->last_end,
           .task = start.task,
           .run = start.run,
           .reason = fails ? RunEndReason::kFailed : RunEndReason::kSucceeded,
           .checkpoint = ""});
    }
    if (!ended.empty())
      this->Report(kWorker, {.ended = ended});
  }

  void RunUntilOver() {
    for (int turn = 0; turn < 400 && !this->job().finished(); ++turn)
      this->Turn();
  }

  std::size_t row_bytes = kRowBytes;
  std::size_t largest_save = 0;
  int rejected = 0;
  std::size_t warnings = 0;
  int starts = 0;
  int most_placed = 0;
  int failures_of_a_task = 0;
  std::map<jobs::TaskId, int> failed;
  std::int64_t last_end = 0;
};

// Guards against an accepted job that never begins: the store rejected the row
// that named all placed runs, which was not saved again, while the workers'
// capacity stayed reserved.
BOOST_AUTO_TEST_CASE(JobWhoseRowIsRejectedStartsInPortions) {
  RowBench bench;
  bench.AddJob("job", RowBench::ManyTasks());
  bench.RunUntilOver();
  BOOST_CHECK(bench.job().progress.state == jobs::JobState::kCompleted);
  BOOST_TEST(bench.starts == kTasks);
  BOOST_TEST(bench.warnings > 0U);
}

// Guards against a job that stays in small portions for good after one
// rejection, which may have had another cause than the row's size.
BOOST_AUTO_TEST_CASE(LongRunningTasksAllStartAfterOneRejectedRow) {
  constexpr int kLongRunning = 10;
  SchedulerLimits limits = RowBench::LimitsOf(kLaterEpoch);
  limits.max_progress_bytes = kRowBytes;
  RowBench bench(limits);
  jobs::Step step = RowBench::ManyTasks();
  step.tasks = kLongRunning;
  step.long_running = true;
  bench.AddJob("job", step);
  bench.row_bytes = 1;
  bench.Turn();
  BOOST_TEST(bench.rejected > 0);
  bench.row_bytes = kRowBytes;
  // Each run ends at once, so that the tasks are started again and again.
  for (int turn = 0; turn < 40; ++turn)
    bench.Turn();
  BOOST_TEST(bench.most_placed == kLongRunning);
}

// Guards against plans beyond what the row can name, and against tasks that the
// portions leave behind.
BOOST_AUTO_TEST_CASE(JobWhoseRowWouldBeTooLargeStartsInPortions) {
  SchedulerLimits limits = RowBench::LimitsOf(kLaterEpoch);
  limits.max_progress_bytes = kRowBytes;
  RowBench bench(limits);
  bench.AddJob("job", RowBench::ManyTasks());
  bench.RunUntilOver();
  BOOST_CHECK(bench.job().progress.state == jobs::JobState::kCompleted);
  BOOST_TEST(bench.starts == kTasks);
  BOOST_TEST(bench.rejected == 0);
  BOOST_TEST(bench.warnings == 0U);
  BOOST_TEST(bench.largest_save <= kRowBytes);
}

// Guards against records of failed runs that fill the row: tasks that have
// failed are started again before others begin.
BOOST_AUTO_TEST_CASE(RowHoldsTheFailuresOfAllTasks) {
  SchedulerLimits limits = RowBench::LimitsOf(kLaterEpoch);
  limits.max_progress_bytes = kRowBytes;
  RowBench bench(limits);
  jobs::Queue queue;
  queue.service = "pool";
  queue.attempts = 4;
  jobs::JobSpec spec;
  spec.steps.push_back(RowBench::ManyTasks());
  bench.scheduler.AddJob(MakeJob("job", queue, spec, {}, bench.now, {}),
                         bench.now);
  bench.failures_of_a_task = 3;
  for (int turn = 0; turn < 4'000 && !bench.job().finished(); ++turn)
    bench.Turn();
  BOOST_CHECK(bench.job().progress.state == jobs::JobState::kCompleted);
  BOOST_TEST(bench.starts == 4 * kTasks);
  BOOST_TEST(bench.rejected == 0);
  BOOST_TEST(bench.warnings == 0U);
  BOOST_TEST(bench.largest_save <= kRowBytes);
}

// A gang is placed as a whole, so that no smaller portion helps. Guards against
// a job that waits for good without an answer to its caller.
BOOST_AUTO_TEST_CASE(JobThatNoRowCanHoldFails) {
  SchedulerLimits limits = RowBench::LimitsOf(kLaterEpoch);
  limits.max_progress_bytes = kRowBytes;
  RowBench bench(limits);
  jobs::Step gang = RowBench::ManyTasks();
  gang.gang = true;
  bench.AddJob("job", gang);
  for (int turn = 0; turn < 100 && !bench.job().finished(); ++turn)
    bench.Turn();
  BOOST_CHECK(bench.job().progress.state == jobs::JobState::kFailed);
  bench.Turn();
  BOOST_TEST(bench.job().end_is_saved());
  BOOST_TEST(bench.scheduler.FindWorker(kWorker)->runs.empty());
}

// Guards against capacity that is reserved for runs that are never started.
BOOST_AUTO_TEST_CASE(RejectedRowFreesTheCapacityOfItsPlans) {
  RowBench bench;
  bench.row_bytes = 0;
  bench.AddJob("job", RowBench::ManyTasks());
  bench.Turn();
  BOOST_TEST(bench.rejected == 1);
  BOOST_TEST(bench.scheduler.FindWorker(kWorker)->runs.empty());
}

}  // namespace
}  // namespace quartzhoist::scheduler
