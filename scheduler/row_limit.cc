// Keeps the progress of a job within the row of the store that holds it. Tasks
// are placed in portions whose runs the row can name, with what becomes of
// them; plans that a rejected row was to name are withdrawn.

#include <algorithm>
#include <utility>

#include "jobs/progress_size.h"
#include "scheduler/scheduler.h"
#include "scheduler/task_suspicion.h"

namespace quartzhoist::scheduler {

namespace {

// Delay before a row is saved again that was rejected although it named no
// plans.
constexpr base::Micros kRejectedSaveDelay = std::chrono::seconds(1);

// Share of the row up to which tasks are begun. The rest is for those that have
// begun: they may fail or lose their worker several times.
constexpr std::size_t kPercentForNewTasks = 75;

// How long the measured size of a row holds while its job does not change.
constexpr base::Micros kMeasurementValidity = std::chrono::seconds(1);

// After this many rejections in a row of a row that is over the limit, smaller
// portions do not help.
constexpr int kMaxRejections = 8;

bool IsNamedInRow(const jobs::Progress& progress, const jobs::TaskKey& task) {
  return progress.placed.contains(task) || progress.failures.contains(task) ||
         progress.losses.contains(task);
}

// Drops the losses of workers that may return. Returns false if there are none.
bool DropSilentLosses(jobs::Progress& progress) {
  std::size_t dropped = 0;
  for (auto& [task, losses] : progress.losses) {
    dropped += std::erase_if(
        losses, [](const auto& entry) { return !entry.second.has_crashed; });
  }
  std::erase_if(progress.losses,
                [](const auto& entry) { return entry.second.empty(); });
  return dropped > 0;
}

// These runs are no use to a job that is over, or that no row can hold.
void DropRunHistory(jobs::Progress& progress) {
  progress.failures.clear();
  progress.losses.clear();
  progress.last_tries.clear();
}

void MeasureRow(Job& job, std::size_t encoded_bytes, base::Micros now) {
  const std::size_t growth =
      jobs::MaxDoneBytes(job.spec) -
      std::min(jobs::MaxDoneBytes(job.spec), jobs::DoneBytes(job.progress));
  job.row.bytes = encoded_bytes + growth +
                  job.progress.placed.size() * (jobs::kMaxOutcomeBytes);
  job.row.measured_at = now;
  job.row.measured_change = job.change;
}

}  // namespace

std::size_t Scheduler::RowLimitOf(const Job& job) const {
  return std::min(this->limits.max_progress_bytes, job.row.limit);
}

// The row is measured by its text only when it is saved, and when it seems full
// but has changed since it was measured.
bool Scheduler::HasRowRoom(Job& job,
                           const TaskPosition& position,
                           base::Micros now) {
  const std::size_t limit = this->RowLimitOf(job);
  if (limit == kNoRowLimit)
    return true;
  if (now < job.row.save_not_before)
    return false;
  const jobs::Progress& progress = job.progress;
  const jobs::Step& step = StepOf(job, position);
  // The submission was checked: all of these fit.
  const bool runs_all_at_once = step.gang || step.long_running;
  const bool is_first = progress.placed.empty() && progress.stopping.empty();
  if (is_first || (runs_all_at_once && job.row.limit == kNoRowLimit))
    return true;
  const jobs::TaskKey key = KeyOf(position);
  // The placement takes the place of the one that the row has.
  if (progress.placed.contains(key))
    return true;
  const std::size_t room =
      IsNamedInRow(progress, key) ? limit : limit * kPercentForNewTasks / 100;
  const std::size_t tasks =
      step.gang ? static_cast<std::size_t>(step.tasks) : 1;
  const std::size_t needed = tasks * jobs::kMaxRunBytes;
  if (job.row.bytes > 0 && job.row.bytes + needed <= room)
    return true;
  const bool is_measured = job.row.measured_change == job.change &&
                           now < job.row.measured_at + kMeasurementValidity;
  if (job.row.bytes > 0 && is_measured)
    return false;
  MeasureRow(job, jobs::EncodeProgress(progress).size(), now);
  return job.row.bytes + needed <= room;
}

std::string Scheduler::EncodeRow(Job& job, base::Micros now) {
  std::string text = jobs::EncodeProgress(job.progress);
  if (text.size() > this->limits.max_progress_bytes) {
    job.row.saved_bytes = text.size();
    this->ShrinkRow(job, now);
    text = jobs::EncodeProgress(job.progress);
  }
  job.row.saved_bytes = text.size();
  if (this->limits.max_progress_bytes != kNoRowLimit)
    MeasureRow(job, text.size(), now);
  return text;
}

// Makes the row smaller that is too large or was rejected.
void Scheduler::ShrinkRow(Job& job, base::Micros now) {
  const int withdrawn = this->WithdrawUnsavedPlans(job, now);
  ++job.row.rejections;
  this->actions.emplace_back(
      ProgressRejected{.job = job.id,
                       .bytes = job.row.saved_bytes,
                       .limit = this->limits.max_progress_bytes,
                       .withdrawn = withdrawn,
                       .rejections = job.row.rejections});
  if (withdrawn > 0)
    job.row.limit = std::min(job.row.limit, job.row.saved_bytes / 2);
  if (withdrawn == 0 || job.row.rejections > 1)
    job.row.save_not_before = now + kRejectedSaveDelay;
  const bool is_hopeless =
      job.row.saved_bytes > this->limits.max_progress_bytes &&
      (withdrawn == 0 || job.row.rejections >= kMaxRejections);
  if (!is_hopeless || DropSilentLosses(job.progress))
    return;
  const jobs::TaskKey named = job.progress.placed.empty()
                                  ? jobs::TaskKey()
                                  : job.progress.placed.begin()->first;
  DropRunHistory(job.progress);
  if (!job.finished())
    this->FailJob(job, named, FailureCause::kRow, now);
}

// Returns the number of runs that were planned and whose placement is not in
// the stored row. Their workers have not been contacted.
int Scheduler::WithdrawUnsavedPlans(Job& job, base::Micros now) {
  std::vector<PendingStart> unsaved;
  for (const PendingStart& start : job.pending_starts) {
    const Task& task = TaskAt(job, start.position);
    if (start.change > job.saved_change && task.state == TaskState::kPlaced &&
        task.run == start.run)
      unsaved.push_back(start);
  }
  for (const PendingStart& start : unsaved) {
    this->CancelPlan(job, start.position);
    RevokeLastTry(job, start.position, start.run);
    job.progress.placed.erase(KeyOf(start.position));
  }
  for (const PendingStart& start : unsaved) {
    const bool is_gang_member =
        StepOf(job, start.position).gang && start.position.index > 0;
    if (!is_gang_member && !job.finished())
      this->Enqueue(job, start.position, now);
  }
  if (!unsaved.empty())
    this->MarkChanged(job);
  return static_cast<int>(unsaved.size());
}

}  // namespace quartzhoist::scheduler
