// Loads the stored state of a shard that is taken over, and follows changes in
// the store.

#include <algorithm>
#include <chrono>
#include <limits>
#include <optional>
#include <utility>

#include "base/event_log.h"
#include "entry/manager.h"
#include "entry/store_clock.h"
#include "entry/timing.h"
#include "platform/records.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

constexpr base::Micros kReadRetryDelay = milliseconds(200);
// Pause between feed requests, so that one response covers several workers.
// They change one at a time, up to 80 a second while a pool grows. Without the
// pause, four owners of 540 workers made 25,252 calls on a calm day, a quarter
// of all calls to the store. A response has 500 rows at most and 6,001 workers
// change about 1,700 rows a second: an owner that paused for 400 ms would fall
// behind.
constexpr base::Micros kWorkerFeedPause = milliseconds(50);

std::optional<jobs::Progress> DecodeProgressRow(const platform::Row& row) {
  const auto stored = DecodeProgressRecord(row.value);
  return stored ? jobs::DecodeProgress(stored->text) : std::nullopt;
}

}  // namespace

// Jobs are read first, so that all progress that is read afterwards belongs to
// known jobs. Jobs that are accepted later arrive through the feed.
void ShardManager::StartTakeover() {
  this->RecordBoxCalls();
  this->job_follower = std::make_unique<platform::TableFollower>(
      this->loop, this->store, JobTable(this->shard), JobParts(),
      platform::TableFollower::Events{
          .on_all =
              [this](std::vector<platform::Row> rows) {
                if (this->started) {
                  for (const platform::Row& row : rows)
                    this->HandleJobRow(row);
                  this->ScheduleCycle();
                  return;
                }
                this->stored_jobs = std::move(rows);
                this->ReadStoredState();
              },
          .on_changes =
              [this](const std::vector<platform::ChangedRow>& rows) {
                for (const platform::ChangedRow& changed : rows) {
                  if (changed.removed)
                    continue;
                  if (this->started)
                    this->HandleJobRow(changed.row);
                  else
                    this->stored_jobs->push_back(changed.row);
                }
                this->ScheduleCycle();
              },
          .on_contact = [](std::optional<base::Micros>) {},
          .on_lost = [] {}});
  this->worker_follower = std::make_unique<platform::TableFollower>(
      this->loop, this->store, std::string(platform::kWorkerTable),
      std::vector<std::string>{""},
      platform::TableFollower::Events{
          .on_all =
              [this](const std::vector<platform::Row>& rows) {
                std::set<std::string> present;
                if (!this->registered_workers)
                  this->registered_workers.emplace();
                for (const platform::Row& row : rows) {
                  present.insert(row.at.key);
                  this->HandleWorkerRow({.row = row, .removed = false});
                }
                std::vector<std::string> deregistered;
                for (const auto& [id, info] : *this->registered_workers) {
                  if (!present.contains(id))
                    deregistered.push_back(id);
                }
                for (const std::string& id : deregistered) {
                  platform::Row row;
                  row.at.key = id;
                  this->HandleWorkerRow({.row = row, .removed = true});
                }
                this->StartIfLoaded();
              },
          .on_changes =
              [this](const std::vector<platform::ChangedRow>& rows) {
                for (const platform::ChangedRow& changed : rows)
                  this->HandleWorkerRow(changed);
                this->ScheduleCycle();
              },
          .on_contact = [](std::optional<base::Micros>) {},
          .on_lost = [] {}},
      platform::TableFollower::Pace{.pause = [] { return kWorkerFeedPause; }});
}

void ShardManager::ReadStoredState() {
  if (this->started)
    return;
  const auto read =
      [this](std::string_view table, const std::vector<std::string>& parts,
             std::optional<std::vector<platform::Row>>& destination) {
        // The table is loaded, or its read is still in flight at a slow store.
        if (destination || !this->tables_being_read.emplace(table).second)
          return;
        platform::ReadTable(this->store, std::string(table), parts,
                            [this, &destination, table, alive = this->alive](
                                std::optional<platform::TableContent> content) {
                              if (!*alive)
                                return;
                              this->tables_being_read.erase(std::string(table));
                              if (content)
                                destination = std::move(content->rows);
                              this->ReadStoredState();
                              this->StartIfLoaded();
                            });
      };
  read(kProgressTable, JobParts(), this->stored_progress);
  // The lease record is read after the progress. An earlier owner that has not
  // noticed its loss records a worker before it places tasks there. If both
  // were read concurrently, a placement could name a worker that is missing
  // from the record, and the worker would be taken to have no lease.
  if (this->stored_progress)
    read(kLeaseTable, {ShardPart(kLeaseTable, this->shard)},
         this->stored_leases);
  read(kWaveTable, ShardParts(kWaveTable, this->shard.count),
       this->stored_waves);
  this->tick_timer.StartOnce(kReadRetryDelay);
}

void ShardManager::StartIfLoaded() {
  const bool complete = this->has_config && this->has_evacuated_zones &&
                        this->stored_jobs && this->stored_progress &&
                        this->stored_leases && this->stored_waves &&
                        this->registered_workers && this->box_calls.claimed();
  if (this->started || !complete)
    return;
  this->started = true;
  this->scheduler.InheritBoxCalls(std::exchange(this->inherited_box_calls, {}),
                                  base::MonotonicNow());
  this->AddStoredWorkers();
  this->scheduler.SetConfig(this->config, base::MonotonicNow());
  this->AddStoredJobs();
  this->waves.Load(*this->stored_waves, base::MonotonicNow());
  this->LogReady();
  this->tick_timer.StartEvery(kTickPeriod);
  this->ScheduleCycle();
}

// The tasks of an inherited worker that does not answer wait for the end of its
// lease.
void ShardManager::LogReady() const {
  const base::Micros now = base::MonotonicNow();
  int leased = 0;
  base::Micros longest{};
  for (const auto& [id, worker] : this->scheduler.all_workers()) {
    leased += worker.latest_lease_end > now;
    longest = std::max(longest, worker.latest_lease_end - now);
  }
  base::Log(base::Event::kOwnershipReady,
            {{"shard", this->shard.number},
             {"epoch", this->epoch},
             {"jobs", this->scheduler.all_jobs().size()},
             {"workers", this->scheduler.all_workers().size()},
             {"leased", leased},
             {"longest_lease_ms", base::Millis(longest)},
             {"after_end", this->is_lease_writer_ended}});
}

void ShardManager::AddStoredWorkers() {
  const base::Micros now = base::MonotonicNow();
  for (const platform::Row& row : *this->stored_leases) {
    if (row.at.key == kLeaseKey)
      this->LoadLeaseRecord(row);
  }
  for (const auto& [id, info] : *this->registered_workers)
    this->scheduler.UpdateWorker(info, now);
}

void ShardManager::AddStoredJobs() {
  const base::Micros now = base::MonotonicNow();
  std::map<std::string, const platform::Row*> progress;
  for (const platform::Row& row : *this->stored_progress)
    progress[row.at.key] = &row;
  for (const platform::Row& row : *this->stored_jobs) {
    const JobKey key = ParseJobKey(row.at.key);
    if (key.is_cancel) {
      this->cancelled_jobs.insert(key.job);
      continue;
    }
    const auto found = progress.find(key.job);
    const bool has_progress = found != progress.end();
    const auto accepted = DecodeAccepted(row.value);
    auto stored = has_progress
                      ? DecodeProgressRow(*found->second)
                      : std::optional<jobs::Progress>(jobs::Progress{});
    if (!accepted || !stored) {
      base::Log(base::Event::kRowMalformed, {{"row", row.at.key}});
      continue;
    }
    // A failed or cancelled job is not over while its runs may use capacity.
    if (stored->IsOver())
      continue;
    auto job =
        this->MakeJob(key.job, *accepted, std::move(*stored),
                      has_progress ? found->second->version : row.version);
    if (!job)
      continue;
    this->scheduler.AddJob(std::move(*job), now);
  }
  for (const std::string& id : this->cancelled_jobs)
    this->scheduler.CancelJob(id, now);
  this->stored_jobs->clear();
  this->stored_progress->clear();
}

// Adds the workers to which an earlier owner may have granted a lease. Returns
// false if the row was written by a later owner.
bool ShardManager::LoadLeaseRecord(const platform::Row& row) {
  const auto record = DecodeLeases(row.value);
  // Without the version of a later owner's row, no write replaces it.
  if (record && record->epoch > this->epoch)
    return false;
  this->lease_version = row.version;
  if (!record) {
    // The row is overwritten, on condition of its version.
    base::Log(base::Event::kRowMalformed, {{"row", row.at.key}});
    return true;
  }
  // An own write whose response was lost.
  if (record->epoch == this->epoch) {
    this->recorded_workers = RecordedWorkersOf(*record);
    this->scheduler.WorkersRecorded(this->recorded_workers->held);
    return true;
  }
  const EarlierOwners earlier = this->EarlierOwnersOf(*record);
  this->is_lease_writer_ended = earlier.writer_ended.has_value();
  this->AskLeaseWriter(*record);
  const GrantBounds bounds = this->EarlierGrantBounds();
  for (const LeaseHolder& holder : record->workers) {
    const std::optional<base::Micros> recorded_end = this->RecordedEnd(holder);
    const bool is_bounded = !holder.held && recorded_end;
    std::int64_t& inherited_end =
        this->inherited_lease_ends_ms[holder.worker.incarnation];
    inherited_end = std::max(
        inherited_end, is_bounded ? holder.expires_store_ms
                                  : std::numeric_limits<std::int64_t>::max());
    this->scheduler.InheritWorker(
        holder.worker,
        InheritedLeaseEnd(holder, recorded_end, earlier, bounds));
  }
  return true;
}

// Empty if the end is not recorded, or the store's clock is not known.
std::optional<base::Micros> ShardManager::RecordedEnd(
    const LeaseHolder& holder) const {
  const auto& clock = this->store.clock_reading();
  if (holder.expires_store_ms == 0 || !clock)
    return std::nullopt;
  return LatestLocalTime(*clock, holder.expires_store_ms);
}

// An owner that the store does not answer renews leases for as long as workers
// may hold them, so that a long outage interrupts no run. Unless it is known to
// be over, the tasks of a worker that is lost with it wait that long.
void ShardManager::AskLeaseWriter(const LeaseRecord& record) {
  this->lease_writer.reset();
  this->writer_held.clear();
  for (const LeaseHolder& holder : record.workers) {
    if (holder.held)
      this->writer_held.push_back(holder);
  }
  const bool is_worth_asking = !this->is_lease_writer_ended &&
                               !record.writer_address.empty() &&
                               !this->writer_held.empty();
  if (!is_worth_asking)
    return;
  this->lease_writer = std::make_unique<EarlierOwner>(
      this->loop, this->command_client, record.writer_address,
      OwnerQuestion{.shard = this->shard.number, .epoch = this->epoch},
      this->earlier_confirmed + this->EarlierGrantBounds().after_confirmation,
      [this] { this->OnLeaseWriterEnded(); });
}

void ShardManager::OnLeaseWriterEnded() {
  const base::Micros now = base::MonotonicNow();
  this->is_lease_writer_ended = true;
  const EarlierOwners earlier{.confirmed = this->earlier_confirmed,
                              .writer_ended = now};
  const GrantBounds bounds = this->EarlierGrantBounds();
  for (const LeaseHolder& holder : std::exchange(this->writer_held, {}))
    this->scheduler.InheritedLeaseEndsBy(
        holder.worker.incarnation,
        InheritedLeaseEnd(holder, this->RecordedEnd(holder), earlier, bounds));
  base::Log(base::Event::kEarlierOwnerEnded,
            {{"shard", this->shard.number},
             {"epoch", this->epoch},
             {"renewed_ago_ms", base::Millis(now - this->earlier_confirmed)}});
  this->ScheduleCycle();
}

// Two processes cannot listen on one address, and a process has one manager of
// the shard: an earlier owner with this daemon's id and address is over once
// this one exists.
EarlierOwners ShardManager::EarlierOwnersOf(const LeaseRecord& record) const {
  EarlierOwners earlier{.confirmed = this->earlier_confirmed,
                        .writer_ended = {}};
  if (record.writer == LeaseWriterOf(this->settings))
    earlier.writer_ended = base::MonotonicNow();
  return earlier;
}

std::optional<scheduler::Job> ShardManager::MakeJob(
    const std::string& id,
    const AcceptedJob& accepted,
    jobs::Progress progress,
    std::uint64_t version) const {
  const base::Micros offset = MonotonicTimeAt1970();
  // Rows saved by earlier versions lack them. Once the job is over, its
  // accepted row is removed and nothing else names them.
  if (!progress.organisation)
    progress.organisation = accepted.organisation;
  if (progress.queue.empty())
    progress.queue = accepted.queue.name;
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

// --- Jobs reported by a worker before they are loaded ---

// Passes the row to `on_read`, or null if there is none. If the store does not
// answer, the job is read again later.
void ShardManager::ReadRow(
    const std::string& job,
    const platform::RowKey& at,
    std::function<void(const platform::Row* row)> on_read) {
  const platform::ReadQuery query{
      .table = at.table, .part = at.part, .from = job, .to = {}, .limit = 1};
  this->store.Read(
      query, [this, job, on_read = std::move(on_read), alive = this->alive](
                 const std::optional<platform::ReadResult>& result) {
        if (!*alive)
          return;
        if (!result) {
          this->jobs_to_reload.insert(job);
          return;
        }
        const bool exists =
            !result->rows.empty() && result->rows.front().at.key == job;
        on_read(exists ? &result->rows.front() : nullptr);
      });
}

void ShardManager::LoadJob(const std::string& job) {
  this->ReadRow(job, ProgressRow(job), [this, job](const platform::Row* row) {
    const auto progress =
        row ? DecodeProgressRow(*row) : std::optional<jobs::Progress>();
    if (row && !progress)
      base::Log(base::Event::kRowMalformed, {{"row", job}});
    const bool is_over = !progress || progress->IsOver();
    if (is_over)
      this->scheduler.UnknownJobIsOver(job, base::MonotonicNow());
    else
      this->LoadAcceptedJob(job, *progress, row->version);
  });
}

void ShardManager::LoadAcceptedJob(const std::string& job,
                                   const jobs::Progress& progress,
                                   std::uint64_t version) {
  const auto on_read = [this, job, progress,
                        version](const platform::Row* row) {
    const base::Micros now = base::MonotonicNow();
    const auto accepted =
        row ? DecodeAccepted(row->value) : std::optional<AcceptedJob>();
    auto loaded = accepted ? this->MakeJob(job, *accepted, progress, version)
                           : std::optional<scheduler::Job>();
    if (!loaded) {
      base::Log(base::Event::kRowMalformed, {{"row", job}});
      this->scheduler.UnknownJobIsOver(job, now);
      return;
    }
    this->scheduler.AddJob(std::move(*loaded), now);
    if (this->cancelled_jobs.contains(job))
      this->scheduler.CancelJob(job, now);
    this->ScheduleCycle();
  };
  this->ReadRow(job, JobRow(job, this->shard), on_read);
}

void ShardManager::RetryJobReads() {
  const base::Micros now = base::MonotonicNow();
  if (this->jobs_to_reload.empty() || now < this->next_job_reload)
    return;
  this->next_job_reload = now + kReadRetryDelay;
  for (const std::string& job : std::exchange(this->jobs_to_reload, {}))
    this->LoadJob(job);
}

// --- Changes in the store ---

void ShardManager::HandleJobRow(const platform::Row& row) {
  const base::Micros now = base::MonotonicNow();
  const JobKey key = ParseJobKey(row.at.key);
  if (key.is_cancel) {
    this->cancelled_jobs.insert(key.job);
    this->scheduler.CancelJob(key.job, now);
    return;
  }
  const auto accepted = DecodeAccepted(row.value);
  if (!accepted) {
    base::Log(base::Event::kRowMalformed, {{"row", row.at.key}});
    return;
  }
  // The progress row was written in the same batch and has the same version.
  auto job = this->MakeJob(key.job, *accepted, {}, row.version);
  if (job)
    this->scheduler.AddJob(std::move(*job), now);
  if (this->cancelled_jobs.contains(key.job))
    this->scheduler.CancelJob(key.job, now);
}

void ShardManager::HandleWorkerRow(const platform::ChangedRow& changed) {
  const base::Micros now = base::MonotonicNow();
  const std::string& id = changed.row.at.key;
  if (!this->registered_workers)
    this->registered_workers.emplace();
  const auto deregister = [this, &id, now] {
    this->registered_workers->erase(id);
    if (this->started)
      this->scheduler.WorkerDeregistered(id, now);
  };
  if (changed.removed) {
    deregister();
    return;
  }
  try {
    const scheduler::WorkerInfo info =
        platform::ParseWorker(id, changed.row.value);
    if (!ShardContainsBox(this->shard, info.box))
      return;
    (*this->registered_workers)[id] = info;
    if (this->started)
      this->scheduler.UpdateWorker(info, now);
  } catch (const platform::BadInput& problem) {
    base::Log(base::Event::kRowMalformed,
              {{"row", id}, {"problem", problem.what()}});
    deregister();
  }
}

}  // namespace quartzhoist::entry
