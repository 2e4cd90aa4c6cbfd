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

Scheduler::UnknownJob& Scheduler::Unknown(const std::string& job) {
  const auto [entry, is_new] = this->unknown_jobs.try_emplace(job);
  if (is_new)
    this->actions.emplace_back(ReadJob{job});
  return entry->second;
}

void Scheduler::HoldEnd(Worker& worker, const ListedEnd& end) {
  this->Unknown(end.task.job).ends.emplace_back(worker.info.life, end);
  worker.pending_ends.push_back(
      {.number = end.number, .job = end.task.job, .is_held = true});
}

void Scheduler::HoldRun(Worker& worker,
                        const ListedRun& listed,
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
  worker.lease_end =
      std::max(worker.lease_end, now + this->limits.longest_grant);
  this->Unknown(listed.task.job)
      .runs.emplace_back(worker.info.life, listed.task);
}

// The job has become known: what was held of it is taken now.
void Scheduler::MeetJob(Job& job, base::Micros now) {
  const auto found = this->unknown_jobs.find(job.id);
  if (found == this->unknown_jobs.end())
    return;
  const UnknownJob held = std::move(found->second);
  this->unknown_jobs.erase(found);
  for (const auto& [id, end] : held.ends) {
    if (Exists(job, PlaceOf(end.task)))
      this->TakeFate(job, id, end, now);
    this->ReleaseEnd(id, end, job.change);
  }
  for (const auto& [id, task] : held.runs) {
    const auto worker = this->workers.find(id);
    if (worker == this->workers.end())
      continue;
    const auto run = worker->second.runs.find(task);
    if (run == worker->second.runs.end())
      continue;
    const ListedRun listed{.task = task,
                           .run = run->second.number,
                           .checkpoint = "",
                           .percent = run->second.percent};
    RemoveRun(worker->second, task);
    this->AdoptRun(worker->second, listed, now);
  }
}

void Scheduler::JobIsOver(const std::string& id, base::Micros now) {
  const auto found = this->unknown_jobs.find(id);
  if (found == this->unknown_jobs.end())
    return;
  const UnknownJob held = std::move(found->second);
  this->unknown_jobs.erase(found);
  for (const auto& [worker, end] : held.ends)
    this->ReleaseEnd(worker, end, 0);
  for (const auto& [worker, task] : held.runs) {
    const auto there = this->workers.find(worker);
    if (there != this->workers.end())
      this->Stop(there->second, task, now);
  }
}

// The end may be acknowledged once this change of its job is saved.
void Scheduler::ReleaseEnd(const jobs::WorkerIncarnation& id,
                           const ListedEnd& end,
                           std::uint64_t change) {
  const auto worker = this->workers.find(id);
  if (worker == this->workers.end())
    return;
  for (PendingEnd& pending : worker->second.pending_ends) {
    if (pending.number != end.number)
      continue;
    pending.is_held = false;
    pending.change = change;
  }
}

}  // namespace quartzhoist::scheduler
