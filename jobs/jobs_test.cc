// Tests stored job progress, queue routing and worker incarnations.

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "jobs/progress.h"
#include "jobs/progress_size.h"
#include "jobs/queue.h"

namespace quartzhoist::jobs {
namespace {

Progress DrawProgress() {
  Progress progress;
  progress.state = *rc::gen::element(JobState::kQueued, JobState::kRunning,
                                     JobState::kFailed);
  const std::string organisation = *rc::gen::element("", "ants", "bees");
  if (*rc::gen::arbitrary<bool>())
    progress.organisation = organisation;
  progress.queue = *rc::gen::element("", "q");
  if (progress.state == JobState::kFailed)
    progress.failure_epoch = *rc::gen::inRange<std::uint64_t>(0, 5);
  const int done = *rc::gen::inRange(0, 6);
  for (int i = 0; i < done; ++i) {
    progress.MarkDone({.occurrence = *rc::gen::inRange(0, 3),
                       .step = *rc::gen::inRange(0, 3)},
                      *rc::gen::inRange(0, 9));
  }
  const int failed = *rc::gen::inRange(0, 6);
  for (int i = 0; i < failed; ++i) {
    const TaskKey task{.step = {.occurrence = 0, .step = 1},
                       .index = *rc::gen::inRange(0, 4)};
    progress.MarkFailed(task, *rc::gen::inRange(1, 2000));
  }
  const int placed = *rc::gen::inRange(0, 4);
  for (int i = 0; i < placed; ++i) {
    const TaskKey task{.step = {.occurrence = 7, .step = 1},
                       .index = *rc::gen::inRange(0, 4)};
    progress.placed[task] = {.worker = {.id = "w"},
                             .run = *rc::gen::inRange(1, 2000)};
  }
  return progress;
}

bool Same(const Progress& a, const Progress& b) {
  return a.state == b.state && a.failure_epoch == b.failure_epoch &&
         a.organisation == b.organisation && a.queue == b.queue &&
         a.done == b.done && a.failures == b.failures && a.placed == b.placed;
}

RC_BOOST_PROP(ProgressRoundTrips, ()) {
  Progress progress = DrawProgress();
  const auto read = DecodeProgress(EncodeProgress(progress));
  RC_ASSERT(read.has_value());
  // All is stored but the failures of tasks that are done.
  std::erase_if(progress.failures, [&progress](const auto& entry) {
    return progress.IsDone(entry.first.step, entry.first.index);
  });
  RC_ASSERT(Same(*read, progress));
}

RC_BOOST_PROP(MergedProgressContainsBothInputs, ()) {
  const Progress a = DrawProgress();
  const Progress b = DrawProgress();
  const Progress merged = Merge(a, b);
  for (const Progress* part : {&a, &b}) {
    for (const auto& [step, bits] : part->done) {
      for (std::size_t i = 0; i < bits.size(); ++i)
        RC_ASSERT(!bits[i] || merged.IsDone(step, static_cast<int>(i)));
    }
    for (const auto& [task, runs] : part->failures) {
      const RunNumbers& all = merged.failures.at(task);
      RC_ASSERT(
          std::includes(all.begin(), all.end(), runs.begin(), runs.end()));
    }
  }
  RC_ASSERT(Same(Merge(merged, merged), merged));
  RC_ASSERT(Same(Merge(merged, a), merged));
}

// Guards against a job that any key may access after an owner of an earlier
// version, which does not know the fields, has saved its row.
BOOST_AUTO_TEST_CASE(MergeKeepsTheOriginThatOneWriterDropped) {
  Progress known;
  known.organisation = "bees";
  known.queue = "q";
  const Progress earlier = DecodeProgress(R"({"state":"running"})").value();
  BOOST_TEST(!earlier.organisation.has_value());
  for (const Progress& merged :
       {Merge(known, earlier), Merge(earlier, known)}) {
    BOOST_TEST(merged.organisation.value_or("") == "bees");
    BOOST_TEST(merged.queue == "q");
  }
  // Accepted without an organisation is not the same as unknown.
  known.organisation = "";
  const auto stored = DecodeProgress(EncodeProgress(known));
  BOOST_TEST((stored && stored->organisation == ""));
}

BOOST_AUTO_TEST_CASE(FailedRunReportedTwiceCountsOnce) {
  Progress progress;
  const TaskKey task{.step = {.occurrence = 0, .step = 0}, .index = 3};
  progress.MarkFailed(task, 1);
  progress.MarkFailed(task, 1);
  progress.MarkFailed(task, 2);
  BOOST_TEST(progress.FailureCount(task) == 2);
}

BOOST_AUTO_TEST_CASE(FailedRunReportedAfterALaterOneCounts) {
  Progress progress;
  const TaskKey task{.step = {.occurrence = 0, .step = 0}, .index = 3};
  progress.MarkFailed(task, 1002);
  progress.MarkFailed(task, 1001);
  BOOST_TEST(progress.FailureCount(task) == 2);
}

BOOST_AUTO_TEST_CASE(MergeCombinesFailedRunsOfTwoWriters) {
  const TaskKey task{.step = {.occurrence = 0, .step = 0}, .index = 0};
  Progress earlier;
  earlier.MarkFailed(task, 1001);
  earlier.MarkFailed(task, 1002);
  Progress later;
  later.MarkFailed(task, 1001);
  later.MarkFailed(task, 1003);
  BOOST_TEST(Merge(later, earlier).FailureCount(task) == 3);
}

BOOST_AUTO_TEST_CASE(MergeCombinesLossesAndKeepsCrashes) {
  const TaskKey task{.step = {.occurrence = 0, .step = 1}, .index = 2};
  Progress earlier;
  earlier.MarkLost(task, {.id = "a"},
                   {.run = 1, .box = "box-a", .has_crashed = true});
  earlier.MarkLost(task, {.id = "b"}, {.run = 2});
  Progress later;
  later.MarkLost(task, {.id = "a"}, {.run = 1, .box = "box-a"});
  later.MarkLost(task, {.id = "b"},
                 {.run = 2, .box = "box-b", .was_sole_suspect = true});
  later.MarkLost(task, {.id = "c"}, {.run = 1001, .box = "box-c"});
  const WorkerLosses both{
      {{.id = "a"}, {.run = 1, .box = "box-a", .has_crashed = true}},
      {{.id = "b"}, {.run = 2, .box = "box-b", .was_sole_suspect = true}},
      {{.id = "c"}, {.run = 1001, .box = "box-c"}}};
  BOOST_CHECK(Merge(later, earlier).losses.at(task) == both);
  BOOST_CHECK(Merge(earlier, later).losses.at(task) == both);
}

BOOST_AUTO_TEST_CASE(LossesAreStoredUntilTheTaskIsDone) {
  const TaskKey task{.step = {.occurrence = 0, .step = 1}, .index = 2};
  Progress progress;
  progress.MarkLost(
      task, {.id = "a"},
      {.run = 1, .box = "box", .has_crashed = true, .was_sole_suspect = true});
  progress.last_tries[task] = {3, 1001};
  Progress kept = DecodeProgress(EncodeProgress(progress)).value();
  BOOST_CHECK(kept.losses == progress.losses);
  BOOST_CHECK(kept.last_tries == progress.last_tries);
  kept.MarkDone(task.step, task.index);
  BOOST_TEST(Merge(progress, kept).losses.empty());
  BOOST_TEST(Merge(progress, kept).last_tries.empty());
}

// Guards against a row that grows with each task that has ever failed.
BOOST_AUTO_TEST_CASE(FailuresOfDoneTasksAreNotStored) {
  Progress progress;
  const TaskKey task{.step = {.occurrence = 0, .step = 0}, .index = 3};
  const TaskKey other{.step = {.occurrence = 0, .step = 0}, .index = 4};
  progress.MarkFailed(task, 1);
  progress.MarkFailed(other, 1);
  progress.MarkDone(task.step, task.index);
  const Progress stored = DecodeProgress(EncodeProgress(progress)).value();
  BOOST_TEST(stored.FailureCount(task) == 0);
  BOOST_TEST(stored.FailureCount(other) == 1);
}

// Guards against a bound that does not count all that a run may leave behind.
BOOST_AUTO_TEST_CASE(RunTakesNoMoreOfTheRowThanItsBound) {
  const std::string name(16, 'n');
  const WorkerIncarnation worker{.id = name, .start_ms = 1'764'846'000'000};
  constexpr int kRun = 9'998'999;
  constexpr int kTasks = 50;
  constexpr std::size_t kFieldBytes = 11;  // "placed":{},
  const std::size_t empty = EncodeProgress({}).size();
  Progress progress;
  for (int i = 0; i < kTasks; ++i) {
    progress.placed[{.step = {.occurrence = 999, .step = 63},
                     .index = 1'000 + i}] = {.worker = worker, .run = kRun};
  }
  const std::size_t placed = EncodeProgress(progress).size();
  BOOST_TEST(placed - empty <= kFieldBytes + kTasks * kMaxPlacementBytes);
  for (int i = 0; i < kTasks; ++i) {
    progress.MarkLost(
        {.step = {.occurrence = 999, .step = 63}, .index = 1'000 + i}, worker,
        {.run = kRun,
         .box = name,
         .has_crashed = true,
         .was_sole_suspect = true,
         .start_confirmed = true});
  }
  BOOST_TEST(EncodeProgress(progress).size() - placed <=
             kFieldBytes + kTasks * kMaxOutcomeBytes);
}

BOOST_AUTO_TEST_CASE(MarksOfDoneTasksTakeNoMoreThanTheirBound) {
  JobSpec spec;
  spec.steps = {{.tasks = 20}, {.tasks = 1}};
  spec.repeat_count = 30;
  const std::size_t empty = EncodeProgress({}).size();
  Progress progress;
  for (int k = 0; k < 30; ++k) {
    progress.MarkDone({.occurrence = k, .step = 0}, 19);
    progress.MarkDone({.occurrence = k, .step = 1}, 0);
  }
  BOOST_TEST(DoneBytes(progress) == MaxDoneBytes(spec));
  BOOST_TEST(EncodeProgress(progress).size() - empty <= MaxDoneBytes(spec));
}

BOOST_AUTO_TEST_CASE(MarkDoneRemovesPlacement) {
  Progress progress;
  const TaskKey task{.step = {.occurrence = 0, .step = 0}, .index = 3};
  progress.placed[task] = {.worker = {.id = "w"}, .run = 1};
  progress.MarkDone(task.step, task.index);
  BOOST_TEST(progress.placed.empty());
}

BOOST_AUTO_TEST_CASE(MalformedProgressIsRejected) {
  for (const char* text :
       {"", "x", "[]", "{}", R"({"state":7})", R"({"state":"unheard"})",
        R"({"state":"queued","organisation":7})",
        R"({"state":"queued","queue":null})",
        R"({"state":"queued","done":{"1":"#"}})",
        R"({"state":"queued","done":{"1.1":5}})",
        R"({"state":"queued","done":{"1.-1":"#"}})",
        R"({"state":"queued","failed_runs":{"1.1":[1,2]}})",
        R"({"state":"queued","failed_runs":{"1.1.1":1}})",
        R"({"state":"queued","failed_runs":{"1.1.1":[]}})",
        R"({"state":"queued","failed_runs":{"1.1.1":["1"]}})",
        R"({"state":"queued","placed":{"1.1.1":["w"]}})",
        R"({"state":"queued","also_stopping":{"1.1.1":["w",1,0]}})",
        R"({"state":"queued","also_stopping":{"1.1.1":[]}})"}) {
    BOOST_TEST(!DecodeProgress(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_CASE(LongestPrefixOfTheHostWins) {
  Config config;
  const auto add = [&config](const char* name, const char* host,
                             const char* prefix) {
    Queue queue;
    queue.name = name;
    queue.host = host;
    queue.path_prefix = prefix;
    config.queues.push_back(queue);
  };
  add("short", "a.example", "/x/");
  add("long", "a.example", "/x/y/");
  add("other", "b.example", "/x/y/z/");
  BOOST_TEST(config.Route("a.example", "/x/y/z/1")->name == "long");
  BOOST_TEST(config.Route("a.example", "/x/1")->name == "short");
  BOOST_TEST(config.Route("b.example", "/x/y/z/1")->name == "other");
  BOOST_TEST(!config.Route("b.example", "/x/1"));
  BOOST_TEST(!config.Route("c.example", "/x/1"));
}

BOOST_AUTO_TEST_CASE(IncarnationsOfOneWorkerAreDistinguished) {
  const WorkerIncarnation first{.id = "i-1", .start_ms = 1'700'000'000'000};
  const WorkerIncarnation next{.id = "i-1", .start_ms = 1'700'000'000'001};
  BOOST_TEST(next.IsAfter(first));
  BOOST_TEST(!first.IsAfter(next));
  BOOST_TEST(IsDifferentIncarnation(first, next));
  BOOST_TEST(!IsDifferentIncarnation({.id = "i-1"}, next));
  BOOST_TEST(IsDifferentIncarnation({.id = "i-2"}, next));
  BOOST_CHECK(ParseWorkerIncarnation(FormatWorkerIncarnation(next)) == next);
  BOOST_CHECK(ParseWorkerIncarnation("i-1") == WorkerIncarnation{.id = "i-1"});
  BOOST_CHECK(ParseWorkerIncarnation("i-1@x") ==
              WorkerIncarnation{.id = "i-1@x"});
}

BOOST_AUTO_TEST_CASE(RowsWithoutIncarnationStartAreAccepted) {
  const auto kept = DecodeProgress(
      R"({"state":"running","placed":{"0.0.1":["i-1",4]},)"
      R"("stopping":{"0.0.2":["i-2",3]},"lost":{"0.0.1":{"i-3":[2,"b","c"]}}})");
  BOOST_REQUIRE(kept.has_value());
  const TaskKey task{.step = {}, .index = 1};
  BOOST_CHECK(kept->placed.at(task).worker == WorkerIncarnation{.id = "i-1"});
  BOOST_CHECK(kept->losses.at(task).contains(WorkerIncarnation{.id = "i-3"}));
  BOOST_CHECK(DecodeProgress(EncodeProgress(*kept)).value().placed ==
              kept->placed);
}

// Guards against a run that is being stopped and stands in no merged row: each
// writer stops another run of the task.
BOOST_AUTO_TEST_CASE(MergeKeepsTheRunsThatEachWriterIsStopping) {
  const auto earlier = DecodeProgress(
      R"({"state":"running","stopping":{"0.0.0":["b",1002,7]}})");
  const auto later = DecodeProgress(
      R"({"state":"running","stopping":{"0.0.0":["c",1003,0]}})");
  BOOST_REQUIRE((earlier.has_value() && later.has_value()));
  const std::string both = EncodeProgress(Merge(*earlier, *later));
  BOOST_TEST(both == EncodeProgress(Merge(*later, *earlier)));
  for (const char* run : {R"(["b",1002,7])", R"(["c",1003,0])"})
    BOOST_TEST((both.find(run) != std::string::npos), both);
  BOOST_TEST(EncodeProgress(DecodeProgress(both).value()) == both);
}

// A version that reads one run per task finds the latest in the known form.
BOOST_AUTO_TEST_CASE(LatestStoppingRunIsStoredInTheFormOfEarlierVersions) {
  const char* const row =
      R"({"state":"running","also_stopping":{"0.0.0":[["b",1002,0]]},)"
      R"("stopping":{"0.0.0":["c",1003,0]}})";
  const auto progress = DecodeProgress(row);
  BOOST_REQUIRE(progress.has_value());
  const std::string stored = EncodeProgress(*progress);
  BOOST_TEST((stored.find(R"("stopping":{"0.0.0":["c",1003,0]})") !=
              std::string::npos),
             stored);
  BOOST_TEST((stored.find(R"("also_stopping":{"0.0.0":[["b",1002,0]]})") !=
              std::string::npos),
             stored);
}

}  // namespace
}  // namespace quartzhoist::jobs
