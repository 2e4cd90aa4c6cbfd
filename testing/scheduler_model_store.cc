// The model's store: reads of jobs, and saves that may be lost or delayed.

#include <chrono>
#include <utility>

#include "entry/save_result.h"
#include "entry/tables.h"
#include "testing/scheduler_model.h"

namespace quartzhoist::testing {

namespace {

using std::chrono::milliseconds;

}  // namespace

scheduler::Job SchedulerModel::MakeJob(const std::string& id,
                                       jobs::Progress progress) const {
  const ModelJob& job = this->jobs.at(id).job;
  jobs::Queue queue;
  queue.name = "queue";
  queue.service = job.service;
  queue.attempts = job.attempts;
  return scheduler::MakeJob(id, queue, job.spec, std::move(progress), this->now,
                            {});
}

void SchedulerModel::DeliverJobFromFeed(std::size_t index,
                                        const std::string& id) {
  if (this->IsStoreDown()) {
    this->ScheduleAfter(this->store_down_until - this->now, [this, index, id] {
      this->DeliverJobFromFeed(index, id);
    });
    return;
  }
  const StoredJob& stored = this->jobs.at(id);
  scheduler::Job job = this->MakeJob(id, {});
  job.version = stored.first_version;
  scheduler::Scheduler& owner = *this->owners[index].scheduler;
  owner.AddJob(std::move(job), this->now);
  if (stored.cancelled)
    owner.CancelJob(id, this->now);
}

void SchedulerModel::ReadJob(std::size_t index, const std::string& id) {
  this->ScheduleAfter(this->Between(5, 300), [this, index, id] {
    if (this->IsStoreDown()) {
      this->ScheduleAfter(this->store_down_until - this->now,
                          [this, index, id] { this->ReadJob(index, id); });
      return;
    }
    scheduler::Scheduler& owner = *this->owners[index].scheduler;
    const StoredJob& stored = this->jobs.at(id);
    jobs::Progress progress = jobs::DecodeProgress(stored.progress).value();
    if (progress.IsOver()) {
      owner.UnknownJobIsOver(id, this->now);
      return;
    }
    scheduler::Job job = this->MakeJob(id, std::move(progress));
    job.version = stored.version;
    owner.AddJob(std::move(job), this->now);
    if (stored.cancelled)
      owner.CancelJob(id, this->now);
  });
}

void SchedulerModel::Save(std::size_t index,
                          const scheduler::SaveProgress& save) {
  const scheduler::SaveProgress kept{
      .job = save.job,
      .text = entry::EncodeProgressRecord({.text = save.text}),
      .version = save.version,
      .change = save.change,
      .is_over = save.is_over};
  const auto write = [this, save] {
    StoredJob& stored = this->jobs.at(save.job);
    if (stored.version != save.version)
      return false;
    stored.version = ++this->version;
    stored.progress = save.text;
    return true;
  };
  const auto answer = [this, index](const scheduler::SaveResult& result) {
    this->RunWhenAwake(index, [this, index, result] {
      this->owners[index].scheduler->ProgressSaved(result, this->now);
    });
  };
  const base::Micros away_for =
      this->jobs.at(save.job).unavailable_until - this->now;
  const bool away = away_for > base::Micros::zero();
  const bool late = this->Chance(this->faults.late_save);
  const bool lost = away || late || this->Chance(this->faults.lost_save);
  base::Micros delay = late ? this->Between(1000, 4000) : this->Between(1, 20);
  if (away)
    delay += away_for;
  if (lost) {
    const scheduler::SaveResult unknown{.job = save.job, .change = save.change};
    this->ScheduleAfter(milliseconds(1500),
                        [answer, unknown] { answer(unknown); });
  }
  if (away && this->Chance(0.5))
    return;
  this->ScheduleAfter(delay, [this, write, answer, lost, kept] {
    const bool written = write();
    const StoredJob& stored = this->jobs.at(kept.job);
    const platform::Row there{
        .at = entry::ProgressRow(kept.job),
        .value = entry::EncodeProgressRecord({.text = stored.progress}),
        .version = stored.version};
    const platform::WriteResult outcome{
        .outcome = written ? platform::WriteOutcome::kDone
                           : platform::WriteOutcome::kConflict,
        .version = stored.version};
    const auto result = entry::MakeSaveResult(kept, outcome, &there);
    if (!lost)
      this->ScheduleAfter(milliseconds(3),
                          [answer, result] { answer(result); });
  });
}

}  // namespace quartzhoist::testing
