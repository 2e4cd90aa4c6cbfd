#include "scheduler/suspects.h"

#include <utility>

namespace quartzhoist::scheduler {

namespace {

// With two crashes under it a task may still be innocent of both: what runs
// beside the cause is lost with it, and may be placed together with it again.
constexpr int kCrashesOfACause = 3;
// Of them, those under runs that the workers had told of.
constexpr int kSeenCrashes = 2;
// From so many losses on a task starts alone.
constexpr int kLossesUntilProbe = 2;
// After three crashes two starts more are within the promise, whatever becomes
// of them: a run that was stopped before it could crash its worker counts too.
constexpr std::size_t kMostLastTries = 2;
// A worker that has crashed is back, as another life, within some seconds: so
// long a task with three losses waits for its worker's fate to show.
constexpr base::Micros kFateShows = std::chrono::seconds(3);

// Before a last try of a lasting task: crashes by chance come close together.
constexpr base::Micros kLastTryPause = std::chrono::seconds(4);

}  // namespace

bool IsLastTry(const jobs::WorkerLosses& losses) {
  return losses.size() >= static_cast<std::size_t>(kCrashesOfACause);
}

Suspicion Judge(const jobs::WorkerLosses& losses,
                const jobs::RunNumbers& last_tries,
                base::Micros since_newest,
                bool is_lasting) {
  const auto count = static_cast<int>(losses.size());
  int crashes = 0;
  int seen = 0;
  bool was_alone = false;
  std::set<std::string> boxes;  // on which workers crashed
  for (const auto& [life, loss] : losses) {
    if (!loss.has_crashed)
      continue;
    ++crashes;
    seen += loss.start_confirmed;
    boxes.insert(loss.box);
    was_alone = was_alone || loss.was_sole_suspect;
  }
  // Crashes on one box alone may be the box's; a start that was not answered
  // may never have begun there.
  const bool is_cause = crashes >= kCrashesOfACause && seen >= kSeenCrashes &&
                        was_alone && boxes.size() > 1;
  if (count == 0)
    return Suspicion::kNone;
  if (is_cause && !is_lasting)
    return Suspicion::kCause;
  if (IsLastTry(losses) && crashes < count && since_newest < kFateShows)
    return Suspicion::kHeld;
  if (IsLastTry(losses) && last_tries.size() >= kMostLastTries)
    return Suspicion::kCause;
  if (IsLastTry(losses) && is_lasting && since_newest < kLastTryPause)
    return Suspicion::kHeld;
  return count >= kLossesUntilProbe ? Suspicion::kProbe : Suspicion::kSlight;
}

void OpenLosses::Add(const jobs::WorkerIncarnation& life,
                     const std::string& box,
                     const std::string& job) {
  Life& entry = this->lives[life];
  entry.box = box;
  entry.jobs.insert(job);
  this->by_box[box].insert(life);
}

std::set<std::string> OpenLosses::Take(const jobs::WorkerIncarnation& life) {
  const auto found = this->lives.find(life);
  if (found == this->lives.end())
    return {};
  const Life taken = std::move(found->second);
  this->lives.erase(found);
  const auto on_box = this->by_box.find(taken.box);
  on_box->second.erase(life);
  if (on_box->second.empty())
    this->by_box.erase(on_box);
  return taken.jobs;
}

std::vector<jobs::WorkerIncarnation> OpenLosses::OthersOn(
    const std::string& box,
    const jobs::WorkerIncarnation& life) const {
  const auto found = this->by_box.find(box);
  if (found == this->by_box.end())
    return {};
  std::vector<jobs::WorkerIncarnation> others;
  for (const jobs::WorkerIncarnation& lost : found->second) {
    if (lost != life)
      others.push_back(lost);
  }
  return others;
}

}  // namespace quartzhoist::scheduler
