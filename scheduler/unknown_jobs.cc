// What workers tell of jobs that the scheduler does not know yet.
//
// A new owner reads jobs and progress part by part, then asks the workers. A
// job that was accepted and placed meanwhile may be known to its worker first.
// Ends of it that were acknowledged then were forgotten: the job, once known,
// had a placement whose worker told of no run and no end, and was started
// again. So what is told of an unknown job is held, its end not acknowledged
// and its run not stopped, until the job has been read.

#include <algorithm>
#include <utility>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

Scheduler::UnknownJob& Scheduler::UnknownJobFor(const std::string& job) {
  const auto [entry, is_new] = this->unknown_jobs.try_emplace(job);
  if (is_new)
    this->actions.emplace_back(LoadJob{job});
  return entry->second;
}

void Scheduler::BufferRunEnd(Worker& worker, const ReportedEnd& end) {
  this->UnknownJobFor(end.task.job).ends.emplace_back(worker.info.life, end);
  worker.pending_ends.push_back(
      {.number = end.sequence, .job = end.task.job, .is_held = true});
}

void Scheduler::BufferRun(Worker& worker,
                          const ReportedRun& listed,
                          base::Micros now) {
  Run run{.number = listed.run, .state = RunState::kRunning};
  run.is_held = true;
  run.since = now;
  run.answered = now;
  run.adopted = true;
  run.is_seen = true;
  run.percent = listed.percent;
  AddRun(worker, listed.task, std::move(run));
  // It runs, so it has a lease, whoever granted it.
  worker.lease_end = std::max(worker.lease_end, now + this->limits.max_grant);
  this->UnknownJobFor(listed.task.job)
      .runs.emplace_back(worker.info.life, listed.task);
}

// The job has become known: what was held of it is taken now.
void Scheduler::ApplyBufferedReports(Job& job, base::Micros now) {
  const auto found = this->unknown_jobs.find(job.id);
  if (found == this->unknown_jobs.end())
    return;
  const UnknownJob held = std::move(found->second);
  this->unknown_jobs.erase(found);
  for (const auto& [id, end] : held.ends) {
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
    const ReportedRun listed{.task = task,
                             .run = run->second.number,
                             .checkpoint = "",
                             .percent = run->second.percent};
    RemoveRun(worker->second, task);
    this->AdoptRun(worker->second, listed, now);
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

// The end may be acknowledged once this change of its job is saved.
void Scheduler::ReleaseBufferedEnd(const jobs::WorkerLife& id,
                                   const ReportedEnd& end,
                                   std::uint64_t change) {
  const auto worker = this->workers.find(id);
  if (worker == this->workers.end())
    return;
  for (PendingEnd& pending : worker->second.pending_ends) {
    if (pending.number != end.sequence)
      continue;
    pending.is_held = false;
    pending.change = change;
  }
}

}  // namespace quartzhoist::scheduler
