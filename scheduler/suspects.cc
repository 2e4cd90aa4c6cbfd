#include "scheduler/suspects.h"

#include <map>
#include <utility>

namespace quartzhoist::scheduler {

namespace {

// Two crashes don't prove that a task is the cause: a task that runs next to
// the cause is lost with it, and both may be placed together again.
constexpr int kCrashesToGiveUp = 3;
// Minimum number of these crashes of runs that the workers had reported.
constexpr int kMinReportedCrashes = 2;
// Number of losses from which on a task starts alone.
constexpr int kLossesBeforeProbe = 2;
// The guarantee allows two more starts after three crashes, whatever their
// outcome: a run that is stopped before it can crash its worker counts too.
constexpr std::size_t kMaxLastTries = 2;
// A crashed worker usually comes back as another incarnation within a few
// seconds. A task with three losses waits this long for it to be known whether
// its worker crashed.
constexpr base::Micros kCrashDetectionTime = std::chrono::seconds(3);

// Delay before a last try of a long-running task: unrelated crashes tend to
// occur close together.
constexpr base::Micros kLastTryPause = std::chrono::seconds(4);

// A lost run and how it was lost.
struct LostRun {
  bool has_crashed = false;
  bool start_confirmed = false;  // on a crashed worker
};

// Groups the losses by run. A worker that restarts may have begun a run in
// either incarnation, so one owner may record the loss of the earlier one and a
// later owner that of the next. A start is carried out once, so only one of
// them had the run. A loss of an unknown run counts by itself.
std::map<std::pair<int, jobs::WorkerIncarnation>, LostRun> LostRunsOf(
    const jobs::WorkerLosses& losses) {
  std::map<std::pair<int, jobs::WorkerIncarnation>, LostRun> runs;
  for (const auto& [incarnation, loss] : losses) {
    LostRun& run = runs[{
        loss.run, loss.run == 0 ? incarnation : jobs::WorkerIncarnation()}];
    run.has_crashed = run.has_crashed || loss.has_crashed;
    run.start_confirmed =
        run.start_confirmed || (loss.has_crashed && loss.start_confirmed);
  }
  return runs;
}

}  // namespace

bool IsLastTry(const jobs::WorkerLosses& losses) {
  return LostRunsOf(losses).size() >=
         static_cast<std::size_t>(kCrashesToGiveUp);
}

Suspicion AssessSuspicion(const jobs::WorkerLosses& losses,
                          const jobs::RunNumbers& last_tries,
                          base::Micros since_last_loss,
                          bool is_long_running) {
  const auto lost_runs = LostRunsOf(losses);
  const auto count = static_cast<int>(lost_runs.size());
  int crashes = 0;
  int reported = 0;
  for (const auto& [key, run] : lost_runs) {
    crashes += run.has_crashed;
    reported += run.start_confirmed;
  }
  bool was_alone = false;
  std::set<std::string> boxes;  // with crashed workers
  for (const auto& [incarnation, loss] : losses) {
    if (!loss.has_crashed)
      continue;
    boxes.insert(loss.box);
    was_alone = was_alone || loss.was_sole_suspect;
  }
  // If all crashes were on one box, the box may be the cause. A start without
  // an answer may never have been carried out, so crashes of reported runs are
  // required as well.
  const bool is_proven = crashes >= kCrashesToGiveUp &&
                         reported >= kMinReportedCrashes && was_alone &&
                         boxes.size() > 1;
  if (count == 0)
    return Suspicion::kNone;
  if (is_proven && !is_long_running)
    return Suspicion::kGiveUp;
  if (IsLastTry(losses) && crashes < count &&
      since_last_loss < kCrashDetectionTime)
    return Suspicion::kDeferred;
  if (IsLastTry(losses) && last_tries.size() >= kMaxLastTries)
    return Suspicion::kGiveUp;
  if (IsLastTry(losses) && is_long_running && since_last_loss < kLastTryPause)
    return Suspicion::kDeferred;
  return count >= kLossesBeforeProbe ? Suspicion::kProbe : Suspicion::kLow;
}

void UnresolvedLosses::Add(const jobs::WorkerIncarnation& incarnation,
                           const std::string& box,
                           const std::string& job) {
  Entry& entry = this->entries[incarnation];
  entry.box = box;
  entry.jobs.insert(job);
  this->by_box[box].insert(incarnation);
}

std::set<std::string> UnresolvedLosses::Remove(
    const jobs::WorkerIncarnation& incarnation) {
  const auto found = this->entries.find(incarnation);
  if (found == this->entries.end())
    return {};
  const Entry removed = std::move(found->second);
  this->entries.erase(found);
  const auto on_box = this->by_box.find(removed.box);
  on_box->second.erase(incarnation);
  if (on_box->second.empty())
    this->by_box.erase(on_box);
  return removed.jobs;
}

std::vector<jobs::WorkerIncarnation> UnresolvedLosses::OtherIncarnationsOn(
    const std::string& box,
    const jobs::WorkerIncarnation& incarnation) const {
  const auto found = this->by_box.find(box);
  if (found == this->by_box.end())
    return {};
  std::vector<jobs::WorkerIncarnation> others;
  for (const jobs::WorkerIncarnation& lost : found->second) {
    if (lost != incarnation)
      others.push_back(lost);
  }
  return others;
}

}  // namespace quartzhoist::scheduler
