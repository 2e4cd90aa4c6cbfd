// How a new owner learns what is kept, and the store's news after that.

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/event_log.h"
#include "entry/manager.h"
#include "entry/timing.h"
#include "platform/records.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

constexpr base::Micros kReadAgain = milliseconds(200);
// Workers come and go one by one, 80 a second while a pool grows: a feed then
// brings those of this time together (540 workers: 25,252 calls of four owners
// on a calm day, a quarter of all calls of the store, before the pause).
constexpr base::Micros kWorkerPause = milliseconds(50);
// The store's clock is known to about its quickest answer; a slow store takes
// some hundred ms.
constexpr base::Micros kStoreClockSlack = milliseconds(1000);

std::optional<jobs::Progress> ProgressOf(const platform::Row& row) {
  const auto kept = DecodeKept(row.value);
  return kept ? jobs::DecodeProgress(kept->text) : std::nullopt;
}

}  // namespace

// Jobs first: progress that is read later belongs to jobs that are known, and
// later jobs come by the feed.
void Manager::ReadKept() {
  this->RecordBoxCalls();
  this->job_follower = std::make_unique<platform::TableFollower>(
      this->loop, this->store, JobTable(this->shard), JobParts(),
      platform::TableFollower::Events{
          .on_all =
              [this](std::vector<platform::Row> rows) {
                if (this->begun) {
                  for (const platform::Row& row : rows)
                    this->TakeJobRow(row);
                  this->ActSoon();
                  return;
                }
                this->kept_jobs = std::move(rows);
                this->ReadRest();
              },
          .on_changes =
              [this](const std::vector<platform::ChangedRow>& rows) {
                for (const platform::ChangedRow& changed : rows) {
                  if (changed.removed)
                    continue;
                  if (this->begun)
                    this->TakeJobRow(changed.row);
                  else
                    this->kept_jobs->push_back(changed.row);
                }
                this->ActSoon();
              },
          .on_contact = [](base::Micros) {},
          .on_lost = [] {}});
  this->worker_follower = std::make_unique<platform::TableFollower>(
      this->loop, this->store, std::string(platform::kWorkerTable),
      std::vector<std::string>{""},
      platform::TableFollower::Events{
          .on_all =
              [this](const std::vector<platform::Row>& rows) {
                std::set<std::string> there;
                if (!this->announced)
                  this->announced.emplace();
                for (const platform::Row& row : rows) {
                  there.insert(row.at.key);
                  this->TakeWorkerRow({.row = row, .removed = false});
                }
                std::vector<std::string> gone;
                for (const auto& [id, info] : *this->announced) {
                  if (!there.contains(id))
                    gone.push_back(id);
                }
                for (const std::string& id : gone) {
                  platform::Row row;
                  row.at.key = id;
                  this->TakeWorkerRow({.row = row, .removed = true});
                }
                this->Begin();
              },
          .on_changes =
              [this](const std::vector<platform::ChangedRow>& rows) {
                for (const platform::ChangedRow& changed : rows)
                  this->TakeWorkerRow(changed);
                this->ActSoon();
              },
          .on_contact = [](base::Micros) {},
          .on_lost = [] {}},
      platform::TableFollower::Pace{.pause = [] { return kWorkerPause; }});
}

void Manager::ReadRest() {
  if (this->begun)
    return;
  const auto read = [this](std::string_view table,
                           const std::vector<std::string>& parts,
                           std::optional<std::vector<platform::Row>>& into) {
    // A slow store may still be at the last one.
    if (into || !this->reading.emplace(table).second)
      return;
    platform::ReadTable(this->store, std::string(table), parts,
                        [this, &into, table, lives = this->alive](
                            std::optional<platform::TableContent> content) {
                          if (!*lives)
                            return;
                          this->reading.erase(std::string(table));
                          if (content)
                            into = std::move(content->rows);
                          this->ReadRest();
                          this->Begin();
                        });
  };
  read(kProgressTable, JobParts(), this->kept_progress);
  // The list of workers after the progress: an earlier owner that has not
  // noticed its loss lists a worker before it places anything there. Read at
  // the same time, a placement could show whose worker the list lacks, and
  // that would pass for a worker without a lease.
  if (this->kept_progress)
    read(kLeaseTable, {SmallPart(kLeaseTable, this->shard)}, this->kept_leases);
  read(kWaveTable, SmallParts(kWaveTable, this->shard.count), this->kept_waves);
  this->timer.StartOnce(kReadAgain);
}

void Manager::Begin() {
  const bool complete = this->has_config && this->kept_jobs &&
                        this->kept_progress && this->kept_leases &&
                        this->kept_waves && this->announced &&
                        this->box_calls.claimed();
  if (this->begun || !complete)
    return;
  this->begun = true;
  this->scheduler.InheritBoxCalls(std::exchange(this->kept_calls, {}),
                                  base::MonotonicNow());
  this->AddWorkers();
  this->scheduler.SetConfig(this->config, base::MonotonicNow());
  this->AddKeptJobs();
  this->waves.Load(*this->kept_waves, base::MonotonicNow());
  base::Log(base::Event::kOwnershipReady,
            {{"shard", this->shard.number},
             {"epoch", this->epoch},
             {"jobs", this->scheduler.all_jobs().size()},
             {"workers", this->scheduler.all_workers().size()}});
  this->timer.StartEvery(kTick);
  this->ActSoon();
}

void Manager::AddWorkers() {
  const base::Micros now = base::MonotonicNow();
  for (const platform::Row& row : *this->kept_leases) {
    if (row.at.key == kLeaseKey)
      this->TakeLeases(row);
  }
  for (const auto& [id, info] : *this->announced)
    this->scheduler.PutWorker(info, now);
}

void Manager::AddKeptJobs() {
  const base::Micros now = base::MonotonicNow();
  std::map<std::string, const platform::Row*> progress;
  for (const platform::Row& row : *this->kept_progress)
    progress[row.at.key] = &row;
  for (const platform::Row& row : *this->kept_jobs) {
    const JobKey key = ParseJobKey(row.at.key);
    if (key.is_cancel) {
      this->cancels.insert(key.job);
      continue;
    }
    const auto found = progress.find(key.job);
    const bool is_kept = found != progress.end();
    const auto accepted = DecodeAccepted(row.value);
    auto kept = is_kept ? ProgressOf(*found->second)
                        : std::optional<jobs::Progress>(jobs::Progress{});
    if (!accepted || !kept) {
      base::Log(base::Event::kRowMalformed, {{"row", row.at.key}});
      continue;
    }
    // Runs of a job that failed or was cancelled may still take room.
    if (kept->IsOver())
      continue;
    auto job = this->MakeJob(key.job, *accepted, std::move(*kept),
                             is_kept ? found->second->version : row.version);
    if (!job)
      continue;
    this->scheduler.AddJob(std::move(*job), now);
  }
  for (const std::string& id : this->cancels)
    this->scheduler.CancelJob(id, now);
  this->kept_jobs->clear();
  this->kept_progress->clear();
}

// Workers that an earlier owner may have granted a lease; false if the row is a
// later owner's.
bool Manager::TakeLeases(const platform::Row& row) {
  // A row that cannot be read is written anew, under its version.
  this->lease_version = row.version;
  const auto record = DecodeLeases(row.value);
  if (!record) {
    base::Log(base::Event::kRowMalformed, {{"row", row.at.key}});
    return true;
  }
  if (record->epoch > this->epoch)
    return false;
  // An own write whose answer was lost.
  if (record->epoch == this->epoch) {
    this->recorded = NamesOf(*record);
    this->scheduler.WorkersRecorded(this->recorded.held);
    return true;
  }
  const base::Micros latest =
      this->earlier_confirmed + WithClockSlack(this->GrantBound());
  for (const LeaseHolder& holder : record->workers) {
    const base::Micros carried =
        this->store.LocalTime(holder.until_store_ms) + kStoreClockSlack;
    // A time that was not known is no bound.
    const bool is_bounded =
        !holder.held && holder.until_store_ms > 0 && this->store.knows_clock();
    this->scheduler.InheritWorker(
        holder.worker, is_bounded ? std::min(latest, carried) : latest);
  }
  return true;
}

std::optional<scheduler::Job> Manager::MakeJob(const std::string& id,
                                               const AcceptedJob& accepted,
                                               jobs::Progress progress,
                                               std::uint64_t version) const {
  const base::Micros offset = TimeOfDayOffset();
  try {
    scheduler::Job job = scheduler::MakeJob(
        id, accepted.queue, platform::ParseJob(accepted.body),
        std::move(progress), milliseconds(accepted.accepted_ms) + offset,
        offset);
    job.version = version;
    job.organisation = accepted.organisation;
    return job;
  } catch (const platform::BadInput& problem) {
    base::Log(base::Event::kRowMalformed,
              {{"row", id}, {"problem", problem.what()}});
    return std::nullopt;
  }
}

// --- Jobs that a worker tells of first ---

// `take` gets the row, null if there is none. While the store does not answer,
// the job is read again later.
void Manager::ReadRowOf(const std::string& job,
                        const platform::RowKey& at,
                        std::function<void(const platform::Row* row)> take) {
  const platform::ReadQuery query{
      .table = at.table, .part = at.part, .from = job, .to = {}, .limit = 1};
  this->store.Read(
      query, [this, job, take = std::move(take), lives = this->alive](
                 const std::optional<platform::ReadResult>& result) {
        if (!*lives)
          return;
        if (!result) {
          this->unread_jobs.insert(job);
          return;
        }
        const bool is_there =
            !result->rows.empty() && result->rows.front().at.key == job;
        take(is_there ? &result->rows.front() : nullptr);
      });
}

void Manager::ReadJob(const std::string& job) {
  this->ReadRowOf(job, ProgressRow(job), [this, job](const platform::Row* row) {
    const auto progress =
        row ? ProgressOf(*row) : std::optional<jobs::Progress>();
    if (row && !progress)
      base::Log(base::Event::kRowMalformed, {{"row", job}});
    const bool is_over = !progress || progress->IsOver();
    if (is_over)
      this->scheduler.JobIsOver(job, base::MonotonicNow());
    else
      this->ReadJobRow(job, *progress, row->version);
  });
}

void Manager::ReadJobRow(const std::string& job,
                         const jobs::Progress& progress,
                         std::uint64_t version) {
  const auto take = [this, job, progress, version](const platform::Row* row) {
    const base::Micros now = base::MonotonicNow();
    const auto accepted =
        row ? DecodeAccepted(row->value) : std::optional<AcceptedJob>();
    auto made = accepted ? this->MakeJob(job, *accepted, progress, version)
                         : std::optional<scheduler::Job>();
    if (!made) {
      base::Log(base::Event::kRowMalformed, {{"row", job}});
      this->scheduler.JobIsOver(job, now);
      return;
    }
    this->scheduler.AddJob(std::move(*made), now);
    if (this->cancels.contains(job))
      this->scheduler.CancelJob(job, now);
    this->ActSoon();
  };
  this->ReadRowOf(job, JobRow(job, this->shard), take);
}

void Manager::ReadJobsAgain() {
  const base::Micros now = base::MonotonicNow();
  if (this->unread_jobs.empty() || now < this->next_job_read)
    return;
  this->next_job_read = now + kReadAgain;
  for (const std::string& job : std::exchange(this->unread_jobs, {}))
    this->ReadJob(job);
}

// --- The store's news ---

void Manager::TakeJobRow(const platform::Row& row) {
  const base::Micros now = base::MonotonicNow();
  const JobKey key = ParseJobKey(row.at.key);
  if (key.is_cancel) {
    this->cancels.insert(key.job);
    this->scheduler.CancelJob(key.job, now);
    return;
  }
  const auto accepted = DecodeAccepted(row.value);
  if (!accepted) {
    base::Log(base::Event::kRowMalformed, {{"row", row.at.key}});
    return;
  }
  // Its progress was written with it, under the same version.
  auto job = this->MakeJob(key.job, *accepted, {}, row.version);
  if (job)
    this->scheduler.AddJob(std::move(*job), now);
  if (this->cancels.contains(key.job))
    this->scheduler.CancelJob(key.job, now);
}

void Manager::TakeWorkerRow(const platform::ChangedRow& changed) {
  const base::Micros now = base::MonotonicNow();
  const std::string& id = changed.row.at.key;
  if (!this->announced)
    this->announced.emplace();
  const auto withdraw = [this, &id, now] {
    this->announced->erase(id);
    if (this->begun)
      this->scheduler.WorkerUnlisted(id, now);
  };
  if (changed.removed) {
    withdraw();
    return;
  }
  try {
    const scheduler::WorkerInfo info =
        platform::ParseWorker(id, changed.row.value);
    if (!HoldsBox(this->shard, info.box))
      return;
    (*this->announced)[id] = info;
    if (this->begun)
      this->scheduler.PutWorker(info, now);
  } catch (const platform::BadInput& problem) {
    base::Log(base::Event::kRowMalformed,
              {{"row", id}, {"problem", problem.what()}});
    withdraw();
  }
}

}  // namespace quartzhoist::entry
