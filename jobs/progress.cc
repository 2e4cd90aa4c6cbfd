#include "jobs/progress.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace quartzhoist::jobs {

namespace {

using Json = nlohmann::json;

constexpr char kNotDone = '.';
constexpr char kDone = '#';

std::string EncodeBits(const std::vector<bool>& bits) {
  std::string text;
  text.reserve(bits.size());
  for (const bool bit : bits)
    text += bit ? kDone : kNotDone;
  return text;
}

std::vector<bool> DecodeBits(const std::string& text) {
  std::vector<bool> bits;
  bits.reserve(text.size());
  for (const char c : text)
    bits.push_back(c == kDone);
  return bits;
}

// Parses non-negative integers separated by dots; empty if malformed.
std::optional<std::vector<int>> ParseNumbers(std::string_view text) {
  std::vector<int> numbers;
  const char* at = text.data();
  const char* const end = text.data() + text.size();
  while (at != end) {
    int number = 0;
    const auto [rest, error] = std::from_chars(at, end, number);
    if (error != std::errc() || number < 0)
      return std::nullopt;
    numbers.push_back(number);
    at = rest;
    if (at != end && *at++ != '.')
      return std::nullopt;
  }
  return numbers;
}

bool DecodeDone(const Json& row, Progress& progress) {
  for (const auto& [key, bits] : row.items()) {
    const auto numbers = ParseNumbers(key);
    if (!numbers || numbers->size() != 2 || !bits.is_string())
      return false;
    const StepKey step{.occurrence = (*numbers)[0], .step = (*numbers)[1]};
    progress.done[step] = DecodeBits(bits.get<std::string>());
  }
  return true;
}

std::string FormatTaskKey(const TaskKey& task) {
  return fmt::format("{}.{}.{}", task.step.occurrence, task.step.step,
                     task.index);
}

std::optional<TaskKey> ParseTaskKey(std::string_view text) {
  const auto numbers = ParseNumbers(text);
  if (!numbers || numbers->size() != 3)
    return std::nullopt;
  return TaskKey{.step = {.occurrence = (*numbers)[0], .step = (*numbers)[1]},
                 .index = (*numbers)[2]};
}

bool DecodeRuns(const Json& row, std::map<TaskKey, RunNumbers>& into) {
  for (const auto& [key, runs] : row.items()) {
    const auto task = ParseTaskKey(key);
    if (!task || !runs.is_array() || runs.empty())
      return false;
    for (const Json& run : runs) {
      if (!run.is_number_integer())
        return false;
      into[*task].insert(run.get<int>());
    }
  }
  return true;
}

Json EncodePlacement(const Placement& placement) {
  return {placement.worker.id, placement.run, placement.worker.start_ms};
}

// [worker, run, start of the incarnation]; rows of earlier versions lack the
// start.
std::optional<Placement> DecodePlacement(const Json& placement) {
  const bool is_list = placement.is_array() && placement.size() >= 2;
  const bool has_start = is_list && placement.size() == 3;
  const bool fits = is_list && placement.size() <= 3 &&
                    placement[0].is_string() &&
                    placement[1].is_number_integer() &&
                    (!has_start || placement[2].is_number_integer());
  if (!fits)
    return std::nullopt;
  return Placement{
      .worker = {.id = placement[0].get<std::string>(),
                 .start_ms = has_start ? placement[2].get<std::int64_t>() : 0},
      .run = placement[1].get<int>()};
}

bool DecodePlacements(const Json& row, std::map<TaskKey, Placement>& into) {
  for (const auto& [key, entry] : row.items()) {
    const auto task = ParseTaskKey(key);
    const auto placement = DecodePlacement(entry);
    if (!task || !placement)
      return false;
    into[*task] = *placement;
  }
  return true;
}

// The latest run of each task that is being stopped.
bool DecodeStopping(const Json& row, Progress& progress) {
  std::map<TaskKey, Placement> latest;
  if (!DecodePlacements(row, latest))
    return false;
  for (const auto& [task, run] : latest)
    progress.stopping[task].insert(run);
  return true;
}

// The earlier runs of these tasks that are being stopped too.
bool DecodeAlsoStopping(const Json& row, Progress& progress) {
  for (const auto& [key, runs] : row.items()) {
    const auto task = ParseTaskKey(key);
    if (!task || !runs.is_array() || runs.empty())
      return false;
    for (const Json& run : runs) {
      const auto placement = DecodePlacement(run);
      if (!placement)
        return false;
      progress.stopping[*task].insert(*placement);
    }
  }
  return true;
}

// Versions that know one run per task read it from "stopping" and ignore
// "also_stopping".
void EncodeStopping(const Progress& progress, Json& row) {
  for (const auto& [task, runs] : progress.stopping) {
    const std::string key = FormatTaskKey(task);
    const auto latest = std::prev(runs.end());
    row["stopping"][key] = EncodePlacement(*latest);
    for (auto run = runs.begin(); run != latest; ++run)
      row["also_stopping"][key].push_back(EncodePlacement(*run));
  }
}

// A boolean field of a loss, and the letter that is stored if it is set.
struct LossFlag {
  char letter;
  bool WorkerLoss::*is_set;
};
constexpr std::array<LossFlag, 3> kLossFlags{{
    {'c', &WorkerLoss::has_crashed},
    {'a', &WorkerLoss::was_sole_suspect},
    {'s', &WorkerLoss::start_confirmed},
}};

std::string EncodeLossFlags(const WorkerLoss& loss) {
  std::string text;
  for (const LossFlag& flag : kLossFlags) {
    if (loss.*flag.is_set)
      text += flag.letter;
  }
  return text;
}

// Maps each incarnation to [run, box, flags].
bool DecodeLosses(const Json& row, Progress& progress) {
  for (const auto& [key, lives] : row.items()) {
    const auto task = ParseTaskKey(key);
    if (!task || !lives.is_object())
      return false;
    for (const auto& [life, entry] : lives.items()) {
      const bool fits = entry.is_array() && entry.size() == 3 &&
                        entry[0].is_number_integer() && entry[1].is_string() &&
                        entry[2].is_string();
      if (!fits)
        return false;
      WorkerLoss loss{.run = entry[0].get<int>(),
                      .box = entry[1].get<std::string>()};
      const auto flags = entry[2].get<std::string>();
      for (const LossFlag& flag : kLossFlags)
        loss.*flag.is_set = flags.find(flag.letter) != std::string::npos;
      progress.MarkLost(*task, ParseWorkerIncarnation(life), loss);
    }
  }
  return true;
}

// The later one of two runs of a task wins.
void MergePlacements(std::map<TaskKey, Placement>& into,
                     const std::map<TaskKey, Placement>& other) {
  for (const auto& [task, placement] : other) {
    Placement& known = into[task];
    if (placement.run > known.run)
      known = placement;
  }
}

// Rows of earlier versions have neither field.
bool DecodeOrigin(const Json& row, Progress& progress) {
  for (const char* field : {"organisation", "queue"}) {
    if (row.contains(field) && !row[field].is_string())
      return false;
  }
  if (row.contains("organisation"))
    progress.organisation = row["organisation"].get<std::string>();
  progress.queue = row.value("queue", "");
  return true;
}

// Rows of earlier versions lack the epoch.
bool DecodeFailureEpoch(const Json& row, Progress& progress) {
  const auto found = row.find("failed_by");
  if (found == row.end())
    return true;
  if (!found->is_number_unsigned())
    return false;
  progress.failure_epoch = found->get<std::uint64_t>();
  return true;
}

// A final state wins; of two other states, the later one.
JobState MergeStates(JobState a, JobState b) {
  if (IsFinal(a))
    return a;
  return IsFinal(b) ? b : std::max(a, b);
}

}  // namespace

bool Progress::IsDone(const StepKey& step, int index) const {
  const auto found = this->done.find(step);
  const auto at = static_cast<std::size_t>(index);
  return found != this->done.end() && at < found->second.size() &&
         found->second[at];
}

void Progress::MarkDone(const StepKey& step, int index) {
  std::vector<bool>& bits = this->done[step];
  const auto at = static_cast<std::size_t>(index);
  if (bits.size() <= at)
    bits.resize(at + 1);
  bits[at] = true;
  this->placed.erase({.step = step, .index = index});
  this->losses.erase({.step = step, .index = index});
  this->last_tries.erase({.step = step, .index = index});
}

void Progress::MarkFailed(const TaskKey& task, int run) {
  this->failures[task].insert(run);
}

void Progress::MarkLost(const TaskKey& task,
                        const WorkerIncarnation& life,
                        const WorkerLoss& loss) {
  WorkerLoss& known = this->losses[task][life];
  if (!loss.box.empty() || known.run == 0) {
    known.run = loss.run;
    known.box = loss.box;
  }
  for (const LossFlag& flag : kLossFlags)
    known.*flag.is_set = known.*flag.is_set || loss.*flag.is_set;
}

bool Progress::IsStopping(const TaskKey& task, int run) const {
  const auto found = this->stopping.find(task);
  return found != this->stopping.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [run](const Placement& one) { return one.run == run; });
}

bool Progress::MarkStopEnded(const TaskKey& task, int run) {
  const auto found = this->stopping.find(task);
  if (found == this->stopping.end())
    return false;
  const bool was_stopping =
      std::erase_if(found->second,
                    [run](const Placement& one) { return one.run == run; }) > 0;
  if (found->second.empty())
    this->stopping.erase(found);
  return was_stopping;
}

int Progress::FailureCount(const TaskKey& task) const {
  const auto found = this->failures.find(task);
  return found == this->failures.end() ? 0
                                       : static_cast<int>(found->second.size());
}

std::string EncodeProgress(const Progress& progress) {
  Json row = {{"state", base::NameOf(kJobStateNames, progress.state)}};
  if (progress.failure_epoch > 0)
    row["failed_by"] = progress.failure_epoch;
  if (progress.organisation)
    row["organisation"] = *progress.organisation;
  if (!progress.queue.empty())
    row["queue"] = progress.queue;
  for (const auto& [step, bits] : progress.done) {
    row["done"][fmt::format("{}.{}", step.occurrence, step.step)] =
        EncodeBits(bits);
  }
  for (const auto& [task, runs] : progress.failures) {
    if (!progress.IsDone(task.step, task.index))
      row["failed_runs"][FormatTaskKey(task)] = runs;
  }
  for (const auto& [task, placement] : progress.placed)
    row["placed"][FormatTaskKey(task)] = EncodePlacement(placement);
  EncodeStopping(progress, row);
  for (const auto& [task, runs] : progress.last_tries)
    row["last_tries"][FormatTaskKey(task)] = runs;
  for (const auto& [task, lives] : progress.losses) {
    Json& row_of_task = row["lost"][FormatTaskKey(task)];
    for (const auto& [life, loss] : lives)
      row_of_task[FormatWorkerIncarnation(life)] = {loss.run, loss.box,
                                                    EncodeLossFlags(loss)};
  }
  return row.dump();
}

std::optional<Progress> DecodeProgress(std::string_view text) {
  const Json row = Json::parse(text, nullptr, false);
  if (!row.is_object() || !row.contains("state") || !row["state"].is_string())
    return std::nullopt;
  const auto state =
      base::ValueOf(kJobStateNames, row["state"].get<std::string>());
  if (!state)
    return std::nullopt;
  Progress progress;
  progress.state = *state;
  if (!DecodeOrigin(row, progress) || !DecodeFailureEpoch(row, progress))
    return std::nullopt;
  if (row.contains("done") && !DecodeDone(row["done"], progress))
    return std::nullopt;
  if (row.contains("failed_runs") &&
      !DecodeRuns(row["failed_runs"], progress.failures))
    return std::nullopt;
  if (row.contains("placed") &&
      !DecodePlacements(row["placed"], progress.placed))
    return std::nullopt;
  if (row.contains("stopping") && !DecodeStopping(row["stopping"], progress))
    return std::nullopt;
  if (row.contains("also_stopping") &&
      !DecodeAlsoStopping(row["also_stopping"], progress))
    return std::nullopt;
  if (row.contains("last_tries") &&
      !DecodeRuns(row["last_tries"], progress.last_tries))
    return std::nullopt;
  if (row.contains("lost") && !DecodeLosses(row["lost"], progress))
    return std::nullopt;
  return progress;
}

Progress Merge(const Progress& a, const Progress& b) {
  Progress merged = a;
  merged.state = MergeStates(a.state, b.state);
  merged.failure_epoch = std::max(a.failure_epoch, b.failure_epoch);
  // An earlier version that saved the row in between dropped both fields.
  merged.organisation = std::max(a.organisation, b.organisation);
  merged.queue = std::max(a.queue, b.queue);
  for (const auto& [step, bits] : b.done) {
    for (std::size_t i = 0; i < bits.size(); ++i) {
      if (bits[i])
        merged.MarkDone(step, static_cast<int>(i));
    }
  }
  // Run numbers are merged rather than counts, because neither writer may know
  // all runs: with counts, two owners that knew two each of three failed runs
  // started the task a fourth time.
  for (const auto& [task, runs] : b.failures)
    merged.failures[task].insert(runs.begin(), runs.end());
  for (const auto& [task, runs] : b.last_tries) {
    if (!merged.IsDone(task.step, task.index))
      merged.last_tries[task].insert(runs.begin(), runs.end());
  }
  MergePlacements(merged.placed, b.placed);
  for (const auto& [task, runs] : b.stopping)
    merged.stopping[task].insert(runs.begin(), runs.end());
  // The two owners may have seen different workers being lost.
  for (const auto& [task, lives] : b.losses) {
    for (const auto& [life, loss] : lives)
      merged.MarkLost(task, life, loss);
  }
  std::erase_if(merged.losses, [&merged](const auto& entry) {
    return merged.IsDone(entry.first.step, entry.first.index);
  });
  std::erase_if(merged.placed, [&merged](const auto& entry) {
    return merged.IsDone(entry.first.step, entry.first.index);
  });
  return merged;
}

}  // namespace quartzhoist::jobs
