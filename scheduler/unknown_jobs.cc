// Runs and ends that workers report for jobs that the scheduler has not read
// yet.
//
// A new owner reads jobs and progress part by part and then polls the workers.
// A worker may therefore report a job that was accepted and placed meanwhile
// before the owner has read it. If its end were acknowledged then, the worker
// would discard it: the job, once read, would have a placement for which the
// worker reports neither a run nor an end, and would be started a second time.
// So ends of an unknown job are not acknowledged, and its runs not stopped,
// until the job has been read.

#include <algorithm>
#include <utility>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

UnknownJob& Scheduler::UnknownJobFor(const std::string& job) {
  const auto [entry, is_new] = this->unknown_jobs.try_emplace(job);
  if (is_new)
    this->actions.emplace_back(LoadJob{job});
  return entry->second;
}

void Scheduler::BufferRunEnd(Worker& worker, const ReportedEnd& end) {
  this->UnknownJobFor(end.task.job)
      .ends.emplace_back(worker.info.incarnation, end);
  worker.pending_ends.push_back(
      {.number = end.sequence, .job = end.task.job, .awaits_job = true});
}

void Scheduler::BufferRun(Worker& worker,
                          const ReportedRun& reported,
                          base::Micros now) {
  Run run{.number = reported.run, .state = RunState::kRunning};
  run.has_unknown_resources = true;
  run.decided_at = now;
  run.start_answered_at = now;
  run.adopted = true;
  run.is_confirmed = true;
  run.percent = reported.percent;
  AddRun(worker, reported.task, std::move(run));
  // A reported run implies a lease, whoever granted it.
  worker.latest_lease_end =
      std::max(worker.latest_lease_end, now + this->limits.max_grant);
  this->UnknownJobFor(reported.task.job)
      .runs.emplace_back(worker.info.incarnation, reported.task);
}

// Applies the ends and runs that were held back until the job was known.
void Scheduler::ApplyBufferedReports(Job& job, base::Micros now) {
  const auto found = this->unknown_jobs.find(job.id);
  if (found == this->unknown_jobs.end())
    return;
  const UnknownJob held = std::move(found->second);
  this->unknown_jobs.erase(found);
  for (const auto& [id, end] : held.ends) {
    // The run was inherited with the job.
    const auto worker = this->workers.find(id);
    if (worker != this->workers.end()) {
      const auto run = worker->second.runs.find(end.task);
      if (run != worker->second.runs.end() && run->second.number == end.run)
        RemoveRun(worker->second, end.task);
    }
    if (HasTask(job, PositionOf(end.task)))
      this->ApplyRunEnd(job, id, end, now);
    this->ReleaseBufferedEnd(id, end, job.change);
  }
  for (const auto& [id, task] : held.runs) {
    const auto worker = this->workers.find(id);
    if (worker == this->workers.end())
      continue;
    const auto run = worker->second.runs.find(task);
    if (run == worker->second.runs.end())
      continue;
    const ReportedRun reported{.task = task,
                               .run = run->second.number,
                               .checkpoint = "",
                               .percent = run->second.percent};
    RemoveRun(worker->second, task);
    this->AdoptRun(worker->second, reported, now);
  }
}

void Scheduler::UnknownJobIsOver(const std::string& id, base::Micros now) {
  const auto found = this->unknown_jobs.find(id);
  if (found == this->unknown_jobs.end())
    return;
  const UnknownJob held = std::move(found->second);
  this->unknown_jobs.erase(found);
  for (const auto& [worker, end] : held.ends)
    this->ReleaseBufferedEnd(worker, end, 0);
  for (const auto& [worker, task] : held.runs) {
    const auto there = this->workers.find(worker);
    if (there != this->workers.end())
      this->Stop(there->second, task, now);
  }
}

// Allows the end to be acknowledged once this change of its job is saved.
void Scheduler::ReleaseBufferedEnd(const jobs::WorkerIncarnation& id,
                                   const ReportedEnd& end,
                                   std::uint64_t change) {
  const auto worker = this->workers.find(id);
  if (worker == this->workers.end())
    return;
  for (PendingEnd& pending : worker->second.pending_ends) {
    if (pending.number != end.sequence)
      continue;
    pending.awaits_job = false;
    pending.change = change;
  }
}

}  // namespace quartzhoist::scheduler
