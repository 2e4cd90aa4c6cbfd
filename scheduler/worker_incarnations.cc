// Incarnations of workers: which incarnation of a worker id is the current one,
// and what happens to the runs of an incarnation when the worker restarts under
// the same id.
//
// A start sent to one incarnation may have been carried out by the next, which
// answers under the same id. So runs that an incarnation has not confirmed move
// to the next incarnation, whose report settles them. All other runs ended with
// their incarnation.

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

// --- Lookup ---

Worker* Scheduler::FindIncarnation(const jobs::WorkerIncarnation& incarnation) {
  const auto found = this->workers.find(incarnation);
  return found == this->workers.end() ? nullptr : &found->second;
}

const Worker* Scheduler::FindWorker(
    const jobs::WorkerIncarnation& incarnation) const {
  const auto found = this->workers.find(incarnation);
  return found == this->workers.end() ? nullptr : &found->second;
}

const Worker* Scheduler::FindWorker(const std::string& id) const {
  const auto found = this->workers.lower_bound({.id = id});
  const bool is_match = found != this->workers.end() && found->first.id == id;
  return is_match ? &found->second : nullptr;
}

Worker* Scheduler::CurrentIncarnation(const std::string& id) {
  const auto found = this->workers.lower_bound({.id = id});
  const bool is_match = found != this->workers.end() && found->first.id == id;
  return is_match ? &found->second : nullptr;
}

Worker* Scheduler::FindHolder(const jobs::WorkerIncarnation& incarnation) {
  Worker* current = this->CurrentIncarnation(incarnation.id);
  const bool is_holder =
      current && (current->info.incarnation == incarnation ||
                  current->info.incarnation.IsAfter(incarnation));
  return is_holder ? current : nullptr;
}

bool Scheduler::HasEnded(const jobs::WorkerIncarnation& incarnation) const {
  const auto ended = this->ended_incarnations.find(incarnation.id);
  return ended != this->ended_incarnations.end() &&
         incarnation.start_ms <= ended->second;
}

// --- New incarnations ---

void Scheduler::UpdateWorker(const WorkerInfo& announced, base::Micros now) {
  WorkerInfo info = announced;
  Worker* known = this->CurrentIncarnation(info.incarnation.id);
  // An announcement without a start time belongs to the known incarnation.
  if (known && info.incarnation.start_ms == 0)
    info.incarnation = known->info.incarnation;
  const bool is_earlier =
      known && known->info.incarnation.IsAfter(info.incarnation);
  if (is_earlier || this->HasEnded(info.incarnation))
    return;
  if (known && info.incarnation.IsAfter(known->info.incarnation))
    known = &this->ReplaceRestarted(*known, info, now);
  if (!known) {
    known = &this->workers[info.incarnation];
    ++this->worker_change_count;
    known->next_poll_at = now;
    this->fleet.OnBoxAnnounced(info.box, info.incarnation, info.service, now);
  }
  const bool had_drained = known->info.draining;
  const bool was_described = known->info.capacity != jobs::Resources();
  if (was_described && known->info.capacity != info.capacity)
    this->actions.emplace_back(
        WorkerCapacityChanged{.worker = info.incarnation,
                              .earlier = known->info.capacity,
                              .current = info.capacity,
                              .used = known->used,
                              .earlier_age = AnnouncementAge(*known, now)});
  known->info_changes += known->info.service != info.service ||
                         known->info.capacity != info.capacity ||
                         known->info.labels != info.labels;
  known->info = info;
  known->announcement_received_at = now;
  known->is_announced = true;
  known->is_described = true;
  if (info.draining && !had_drained)
    this->actions.emplace_back(
        LogNote{info.incarnation.id, "is draining; placing nothing on it"});
}

void Scheduler::InheritWorker(const WorkerInfo& info, base::Micros lease_end) {
  Worker* worker = this->CurrentIncarnation(info.incarnation.id);
  if (!worker) {
    worker = &this->workers[info.incarnation];
    worker->info = info;
    worker->is_announced = false;
  }
  worker->latest_lease_end = std::max(worker->latest_lease_end, lease_end);
  ++this->worker_change_count;
}

// The incarnation that the answer is from; null if it is from an earlier
// incarnation, or the asked incarnation is not known.
Worker* Scheduler::FindResponder(const jobs::WorkerIncarnation& asked,
                                 const jobs::WorkerIncarnation& answered,
                                 base::Micros now) {
  Worker* worker = this->FindIncarnation(asked);
  if (!worker || answered == asked || answered.start_ms == 0)
    return worker;
  if (asked.IsAfter(answered)) {
    worker->poll_in_flight = false;
    worker->next_poll_at = now;
    return nullptr;
  }
  WorkerInfo info = worker->info;
  info.incarnation = answered;
  Worker& next = this->ReplaceRestarted(*worker, info, now);
  next.is_described = false;
  return &next;
}

// Replaces `earlier` by the incarnation in `info`; `earlier` is invalid
// afterwards.
Worker& Scheduler::ReplaceRestarted(Worker& earlier,
                                    const WorkerInfo& info,
                                    base::Micros now) {
  const jobs::WorkerIncarnation ended_incarnation = earlier.info.incarnation;
  std::map<jobs::TaskId, Run> runs = ExtractRuns(earlier);
  const auto losses =
      this->CollectLosses(earlier, runs, LossReason::kRestarted);
  // 1. Create the next incarnation.
  Worker& next = this->workers[info.incarnation];
  next.info = info;
  next.is_announced = earlier.is_announced;
  next.poll_sent_at = earlier.poll_sent_at;
  next.next_poll_at = now;
  // 2. Move runs that it may have started.
  WorkerRestarted restarted{.worker = info.incarnation,
                            .earlier_born_ms = ended_incarnation.start_ms,
                            .last_end_sequence = earlier.last_processed_end};
  for (auto it = runs.begin(); it != runs.end();) {
    const bool may_be_started =
        !it->second.is_confirmed && it->second.state != RunState::kPlanned;
    if (!may_be_started) {
      ++it;
      continue;
    }
    const auto loss = losses.find(it->first);
    std::optional<PossibleLoss> possible_loss;
    if (loss != losses.end())
      possible_loss = {.incarnation = ended_incarnation, .loss = loss->second};
    this->TransferRun(next, it->first, std::move(it->second), possible_loss);
    it = runs.erase(it);
    ++restarted.transferred_runs;
  }
  // A command sent to the earlier incarnation may have reached this one. Its
  // lease deadline then lies far ahead on a clock that has just restarted.
  next.may_hold_earlier_lease = true;
  next.latest_lease_end =
      std::max(earlier.latest_lease_end, now + this->limits.max_lease);
  this->actions.emplace_back(restarted);
  this->StopOpenStarts(next, now);
  // 3. All other runs are lost.
  if (!runs.empty())
    this->HandleLostRuns(earlier, runs, losses, LossReason::kRestarted, now);
  this->EndIncarnation(ended_incarnation, LossReason::kRestarted, now);
  this->fleet.OnBoxAnnounced(info.box, info.incarnation, info.service, now);
  return next;
}

void Scheduler::TransferRun(Worker& next,
                            const jobs::TaskId& id,
                            Run run,
                            const std::optional<PossibleLoss>& loss) {
  run.possible_loss = loss;
  run.missing_since = {};
  run.stop_sent_at = {};
  run.stop_answered_at = {};
  Job* job = this->FindJob(id.job);
  if (job && HasTask(*job, PositionOf(id))) {
    Task& task = TaskAt(*job, PositionOf(id));
    const auto placed = job->progress.placed.find(KeyOf(PositionOf(id)));
    if (task.state == TaskState::kPlaced && task.run == run.number)
      task.worker = next.info.incarnation;
    if (placed != job->progress.placed.end() &&
        placed->second.run == run.number) {
      placed->second.worker = next.info.incarnation;
      this->MarkChanged(*job);
    }
  }
  AddRun(next, id, std::move(run));
}

// --- Ended incarnations ---

void Scheduler::WorkerDeregistered(const std::string& id, base::Micros now) {
  this->ended_incarnations.erase(id);
  Worker* worker = this->CurrentIncarnation(id);
  if (!worker)
    return;
  worker->is_announced = false;
  worker->withdrawn_at = now;
  if (IsVacated(*worker, now)) {
    this->RemoveWorker(worker->info.incarnation, LossReason::kDeregistered,
                       now);
    return;
  }
  this->actions.emplace_back(LogNote{
      id, fmt::format("removed its announcement{}, with {} runs and a "
                      "lease of {} ms at most",
                      worker->has_reported ? "" : " before it answered",
                      worker->runs.size(),
                      std::max<std::int64_t>(
                          0, base::Millis(worker->latest_lease_end - now)))});
}

void Scheduler::RemoveWorker(const jobs::WorkerIncarnation& incarnation,
                             LossReason reason,
                             base::Micros now) {
  const auto found = this->workers.find(incarnation);
  if (found == this->workers.end())
    return;
  this->DropAllRuns(found->second, reason, now);
  this->workers.erase(found);
  ++this->worker_change_count;
}

// Remembers the incarnation as over. When the store has discarded its change
// history, all rows are read again, including announcements of ended
// incarnations. Without this record, such an incarnation on a box in
// maintenance would be taken for its successor.
void Scheduler::EndIncarnation(const jobs::WorkerIncarnation& incarnation,
                               LossReason reason,
                               base::Micros now) {
  const jobs::WorkerIncarnation ended_incarnation = incarnation;
  std::int64_t& latest = this->ended_incarnations[ended_incarnation.id];
  latest = std::max(latest, ended_incarnation.start_ms);
  this->RemoveWorker(ended_incarnation, reason, now);
}

void Scheduler::DropAllRuns(Worker& worker,
                            LossReason reason,
                            base::Micros now) {
  if (worker.idle())
    return;
  const std::map<jobs::TaskId, Run> runs = ExtractRuns(worker);
  this->HandleLostRuns(worker, runs, this->CollectLosses(worker, runs, reason),
                       reason, now);
}

void Scheduler::HandleLostRuns(
    const Worker& worker,
    const std::map<jobs::TaskId, Run>& runs,
    const std::map<jobs::TaskId, jobs::WorkerLoss>& losses,
    LossReason reason,
    base::Micros now) {
  const bool was_heard = worker.last_answer_at > base::Micros::zero();
  WorkerLost lost{.worker = worker.info.incarnation,
                  .box = worker.info.box,
                  .reason = reason,
                  .last_answer_ago = was_heard ? now - worker.last_answer_at
                                               : base::Micros(-1)};
  for (const auto& [task, run] : runs) {
    lost.runs.push_back(
        {.task = task,
         .run = run.number,
         .age = now - run.decided_at,
         .is_answered = run.start_answered_at > base::Micros::zero()});
  }
  std::stable_sort(
      lost.runs.begin(), lost.runs.end(),
      [](const LostRun& a, const LostRun& b) { return a.age < b.age; });
  this->actions.emplace_back(std::move(lost));
  for (const auto& [task, loss] : losses) {
    if (runs.contains(task))
      this->RecordLoss(*this->FindJob(task.job), PositionOf(task),
                       worker.info.incarnation, loss, now);
  }
  for (const auto& [task, run] : runs)
    this->HandleLostRun(task, run.number, now);
}

}  // namespace quartzhoist::scheduler
