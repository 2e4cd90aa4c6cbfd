#include "entry/explain.h"

#include <chrono>
#include <map>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "platform/records.h"

namespace quartzhoist::entry {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxExplainedRuns = 10;

struct RunView {
  std::string worker;
  std::string_view end;  // empty: not ended, as far as is known
};

// The task's latest runs that its job's progress names, the latest first. The
// row keeps failed runs without their worker.
Json RunsOf(const jobs::Progress& progress, const jobs::TaskKey& task) {
  std::map<int, RunView, std::greater<>> runs;
  if (const auto failed = progress.failures.find(task);
      failed != progress.failures.end()) {
    for (const int run : failed->second)
      runs[run].end = "failed";
  }
  if (const auto lost = progress.losses.find(task);
      lost != progress.losses.end()) {
    for (const auto& [worker, loss] : lost->second) {
      if (loss.run > 0)
        runs[loss.run] = {.worker = worker.id,
                          .end = loss.has_crashed ? "crashed" : "lost"};
    }
  }
  if (const auto stopping = progress.stopping.find(task);
      stopping != progress.stopping.end()) {
    for (const jobs::Placement& run : stopping->second)
      runs[run.run] = {.worker = run.worker.id, .end = "stopping"};
  }
  if (const auto placed = progress.placed.find(task);
      placed != progress.placed.end())
    runs[placed->second.run] = {.worker = placed->second.worker.id, .end = ""};
  Json list = Json::array();
  for (const auto& [number, run] : runs) {
    if (list.size() == kMaxExplainedRuns)
      break;
    list.push_back({{"run", number}, {"worker", run.worker}, {"end", run.end}});
  }
  return list;
}

std::string NameOfTask(const std::string& job, const jobs::TaskKey& task) {
  return platform::TaskName({.job = job,
                             .occurrence = task.step.occurrence,
                             .step = task.step.step,
                             .index = task.index});
}

// A placed task is running once its run is known to be at work.
std::string_view StateName(const scheduler::ExplainedTask& task) {
  return task.is_at_work ? "running"
                         : base::NameOf(scheduler::kTaskStateNames, task.state);
}

Json TaskOf(const scheduler::Job& job, const scheduler::ExplainedTask& task) {
  const jobs::TaskKey key = scheduler::KeyOf(task.position);
  Json entry = {{"task", NameOfTask(job.id, key)},
                {"state", StateName(task)},
                {"since_ms", base::Millis(task.since)},
                {"runs", RunsOf(job.progress, key)}};
  if (!task.waits_for.empty())
    entry["waits_for"] = task.waits_for;
  if (task.ahead)
    entry["ahead"] = *task.ahead;
  if (task.expected_start)
    entry["expected_start_ms"] = base::Millis(*task.expected_start);
  return entry;
}

// Tasks that are not done and of which the row names a run. Those with a
// placement, which may be at work, come last.
std::vector<jobs::TaskKey> TasksNamedBy(const jobs::Progress& progress) {
  std::set<jobs::TaskKey> waiting;
  for (const auto& [task, runs] : progress.failures)
    waiting.insert(task);
  for (const auto& [task, runs] : progress.losses)
    waiting.insert(task);
  for (const auto& [task, runs] : progress.stopping)
    waiting.insert(task);
  std::erase_if(waiting, [&progress](const jobs::TaskKey& task) {
    return progress.placed.contains(task) ||
           progress.IsDone(task.step, task.index);
  });
  std::vector<jobs::TaskKey> tasks(waiting.begin(), waiting.end());
  for (const auto& [task, placement] : progress.placed)
    tasks.push_back(task);
  return tasks;
}

}  // namespace

std::string ExplainOwnedJob(const OwnedJob& owned) {
  const scheduler::Job& job = *owned.job;
  Json tasks = Json::array();
  for (const scheduler::ExplainedTask& task : owned.tasks.tasks)
    tasks.push_back(TaskOf(job, task));
  return Json{{"job", job.id},
              {"state", base::NameOf(jobs::kJobStateNames, job.progress.state)},
              {"shard", owned.shard},
              {"queue", job.queue.name},
              {"priority", job.queue.priority},
              {"source", "owner"},
              {"age_ms", base::Millis(owned.age)},
              {"tasks", std::move(tasks)},
              {"tasks_left_out", owned.tasks.left_out}}
      .dump();
}

std::string ExplainStoredJob(const StoredJob& stored) {
  Json answer = {
      {"job", stored.job},
      {"state", base::NameOf(jobs::kJobStateNames, stored.progress.state)},
      {"shard", stored.shard},
      {"queue", stored.queue},
      {"source", "row"},
      {"owner", stored.owner},
      {"age_ms", base::Millis(stored.age)},
      {"tasks", Json::array()}};
  if (stored.priority)
    answer["priority"] = *stored.priority;
  std::size_t left_out = 0;
  for (const jobs::TaskKey& task : TasksNamedBy(stored.progress)) {
    if (answer["tasks"].size() == kMaxExplainedTasks) {
      ++left_out;
      continue;
    }
    const bool is_placed = stored.progress.placed.contains(task);
    answer["tasks"].push_back({{"task", NameOfTask(stored.job, task)},
                               {"state", is_placed ? "placed" : "ready"},
                               {"runs", RunsOf(stored.progress, task)}});
  }
  answer["tasks_left_out"] = left_out;
  return answer.dump();
}

JobAccess DecideExplainAccess(const jobs::Config& config,
                              const std::string& caller,
                              const JobOrigin& origin) {
  return DecideJobAccess(config, caller,
                         {.organisation = origin.organisation, .queue = {}});
}

}  // namespace quartzhoist::entry
