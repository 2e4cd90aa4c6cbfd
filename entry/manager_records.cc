// Store writes of a shard's owner, and its load and state dump.

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/event_log.h"
#include "entry/manager.h"
#include "entry/save_result.h"
#include "platform/records.h"

namespace quartzhoist::entry {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Micros kCountWritePeriod = seconds(1);
constexpr base::Micros kPoolLogPeriod = seconds(1);
constexpr base::Micros kLeaseWriteRetryDelay = milliseconds(200);
// Delay after the store rejected the record's content, which may have changed
// by then.
constexpr base::Micros kLeaseWriteRejectedDelay = seconds(2);
// Minimum interval between builds of the record, which names every worker.
constexpr base::Micros kMinLeaseWriteInterval = milliseconds(40);
constexpr int kMaxSavesInFlight = 2;
constexpr std::size_t kMaxWaitsLogged = 4;

// Maximum number of queues whose expected waits are logged each second.
constexpr std::size_t kMaxExpectedWaitsLogged = 8;

// For each wait reason, the number of waiting tasks and the longest wait in ms.
std::string FormatWaitReasons(const scheduler::PoolState& state) {
  std::string text;
  for (const auto& [reason, waiting] : state.waiting_for) {
    text += fmt::format("{}{} {} oldest {}", text.empty() ? "" : ", ",
                        base::NameOf(scheduler::kWaitReasonNames, reason),
                        waiting.tasks, base::Millis(waiting.oldest));
  }
  return text;
}

// For each reason why boxes take no tasks, the number of these boxes.
std::string FormatLeavingReasons(const scheduler::PoolState& state) {
  std::string text;
  for (const auto& [reason, boxes] : state.leaving_for) {
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ",
                        base::NameOf(scheduler::kLeavingReasonNames, reason),
                        boxes);
  }
  return text;
}

std::string RunStateName(const std::optional<scheduler::RunState>& state) {
  return state ? std::string(base::NameOf(scheduler::kRunStateNames, *state))
               : "none";
}

std::size_t CountParts(const std::vector<scheduler::SaveProgress>& batch) {
  std::set<std::string> parts;
  for (const scheduler::SaveProgress& save : batch)
    parts.insert(ProgressRow(save.job).part);
  return parts.size();
}

}  // namespace

void ShardManager::SavePendingProgress() {
  const bool one_part =
      this->save_policy.single_part_only(base::MonotonicNow());
  while (!this->save_queue.empty()) {
    if (!one_part && this->saves_in_flight >= kMaxSavesInFlight)
      return;
    std::vector<scheduler::SaveProgress> batch =
        this->save_queue.Take(one_part);
    if (batch.empty())
      return;
    this->SaveBatch(std::move(batch));
  }
}

void ShardManager::SaveBatch(std::vector<scheduler::SaveProgress> batch) {
  platform::WriteBatch write;
  for (const scheduler::SaveProgress& save : batch) {
    const platform::RowKey row = ProgressRow(save.job);
    write.conditions.push_back({.at = row, .version = save.version});
    write.puts.push_back({.at = row, .value = save.text});
    if (save.is_over)
      write.removes.push_back(JobRow(save.job, this->shard));
  }
  ++this->saves_in_flight;
  const base::Micros sent = base::MonotonicNow();
  this->store.Write(write,
                    [this, batch = std::move(batch), sent,
                     alive = this->alive](const platform::WriteResult& result) {
                      if (!*alive)
                        return;
                      --this->saves_in_flight;
                      this->save_queue.OnWriteFinished(batch);
                      const base::Micros now = base::MonotonicNow();
                      this->save_policy.OnWriteFinished(
                          result, CountParts(batch), now - sent, now);
                      this->HandleSaveResult(batch, result);
                      // Placements that are now recorded are started without
                      // delay.
                      this->PerformActions();
                      this->ScheduleCycle();
                    });
}

void ShardManager::HandleSaveResult(
    const std::vector<scheduler::SaveProgress>& batch,
    const platform::WriteResult& result) {
  const base::Micros now = base::MonotonicNow();
  std::map<std::string, const platform::Row*> rows;
  for (const platform::Row& row : result.rows)
    rows[row.at.key] = &row;
  // The store rejected the content of at least one save. Each is written alone
  // from now on, so that the others succeed.
  const bool is_batch_rejected =
      result.outcome == platform::WriteOutcome::kRefused && batch.size() > 1;
  for (const scheduler::SaveProgress& save : batch) {
    if (is_batch_rejected) {
      this->save_queue.AddUnbatched(save);
      continue;
    }
    const auto found = rows.find(save.job);
    const platform::Row* stored = found == rows.end() ? nullptr : found->second;
    if (this->ShouldRetrySave(save, result.outcome, stored)) {
      this->save_queue.Add(save);
      continue;
    }
    this->scheduler.ProgressSaved(MakeSaveResult(save, result, stored), now);
  }
}

// A save is retried if nothing has changed for its row: either the write timed
// out, and a retry finds its own row if the write was carried out, or another
// row of the batch caused the conflict. A write that failed at once is left to
// the scheduler, which retries after a delay.
bool ShardManager::ShouldRetrySave(const scheduler::SaveProgress& save,
                                   platform::WriteOutcome outcome,
                                   const platform::Row* stored) const {
  const std::uint64_t version = stored ? stored->version : 0;
  const bool was_waited_for = this->save_policy.is_slow();
  return (outcome == platform::WriteOutcome::kUnknown && was_waited_for) ||
         (outcome == platform::WriteOutcome::kConflict &&
          version == save.version);
}

// Each worker is recorded before it is granted its first lease, so that a later
// owner knows which workers to poll.
void ShardManager::RecordWorkers() {
  const base::Micros now = base::MonotonicNow();
  if (this->lease_write_in_flight || now < this->next_lease_write)
    return;
  const std::uint64_t change = this->scheduler.worker_changes();
  if (change == this->recorded_worker_changes)
    return;
  this->next_lease_write = now + kMinLeaseWriteInterval;
  const LeaseRecord record = this->MakeLeaseRecord(now);
  const RecordedWorkers recorded = RecordedWorkersOf(record);
  if (recorded == this->recorded_workers) {
    // A worker that was removed and added again is already in the record.
    this->recorded_worker_changes = change;
    this->scheduler.WorkersRecorded(recorded.held);
    return;
  }
  this->WriteLeaseRecord(record, [this, recorded, change, alive = this->alive](
                                     const platform::WriteResult& result) {
    if (!*alive)
      return;
    this->lease_write_in_flight = false;
    this->HandleRecordResult(recorded, change, result);
  });
}

void ShardManager::WriteLeaseRecord(
    const LeaseRecord& record,
    std::function<void(platform::WriteResult)> on_written) {
  const platform::RowKey row = ShardRowKey(kLeaseTable, kLeaseKey, this->shard);
  const platform::WriteBatch write{
      .conditions = {{.at = row, .version = this->lease_version}},
      .puts = {{.at = row, .value = EncodeLeases(record)}},
      .removes = {}};
  this->lease_write_in_flight = true;
  this->store.Write(write, std::move(on_written));
}

// Without the ends of the leases, the next owner waits out the longest ones
// that this owner could have granted. If a write of the record is in flight,
// this one would conflict with it.
void ShardManager::RecordFinalLeases() {
  if (!this->started || this->lease_write_in_flight)
    return;
  LeaseRecord record = this->MakeLeaseRecord(base::MonotonicNow());
  for (LeaseHolder& holder : record.workers)
    holder.held = false;
  this->WriteLeaseRecord(record, [](const platform::WriteResult&) {});
}

LeaseRecord ShardManager::MakeLeaseRecord(base::Micros now) const {
  LeaseRecord record{.epoch = this->epoch,
                     .writer = LeaseWriterOf(this->settings),
                     .writer_address = this->settings.metrics_address,
                     .workers = {}};
  for (const auto& [id, worker] : this->scheduler.all_workers()) {
    if (!worker.has_reported && worker.latest_lease_end <= now)
      continue;
    record.workers.push_back(
        {.worker = worker.info,
         .held = worker.has_reported,
         .expires_store_ms = this->LeaseEndMillis(worker, now)});
  }
  return record;
}

// The inherited end is passed on as it was recorded: with the clock's slack, it
// would move by a second with each owner.
std::int64_t ShardManager::LeaseEndMillis(const scheduler::Worker& worker,
                                          base::Micros now) const {
  const std::int64_t end =
      this->store.StoreMillis(std::max(worker.latest_lease_end, now));
  const auto inherited =
      this->inherited_lease_ends_ms.find(worker.info.incarnation);
  return worker.has_reported || inherited == this->inherited_lease_ends_ms.end()
             ? end
             : std::min(end, inherited->second);
}

ShardManager::RecordedWorkers ShardManager::RecordedWorkersOf(
    const LeaseRecord& record) {
  RecordedWorkers recorded;
  for (const LeaseHolder& holder : record.workers)
    (holder.held ? recorded.held : recorded.inherited)
        .push_back(holder.worker.incarnation);
  return recorded;
}

void ShardManager::HandleRecordResult(const RecordedWorkers& recorded,
                                      std::uint64_t change,
                                      const platform::WriteResult& result) {
  const base::Micros now = base::MonotonicNow();
  switch (result.outcome) {
    case platform::WriteOutcome::kDone:
      this->lease_version = result.version;
      this->recorded_workers = recorded;
      this->recorded_worker_changes = change;
      this->scheduler.WorkersRecorded(recorded.held);
      this->ScheduleCycle();
      return;
    case platform::WriteOutcome::kConflict:
      // The row was changed by an own write whose response was lost, by a late
      // write of an earlier owner, or by the next owner.
      if (!result.rows.empty() && !this->LoadLeaseRecord(result.rows.front())) {
        // Commands stop at once; this object is destroyed shortly after.
        this->authority.on_fenced();
        return;
      }
      this->next_lease_write = now;
      this->ScheduleCycle();
      return;
    case platform::WriteOutcome::kUnknown:
      // The write timed out; it is retried without a further delay.
      this->recorded_workers.reset();
      this->next_lease_write = now;
      this->ScheduleCycle();
      return;
    case platform::WriteOutcome::kNotDone:
      this->next_lease_write = now + kLeaseWriteRetryDelay;
      return;
    case platform::WriteOutcome::kRefused:
      this->next_lease_write = now + kLeaseWriteRejectedDelay;
      return;
  }
}

void ShardManager::WriteWaitingCounts() {
  const base::Micros now = base::MonotonicNow();
  if (now < this->next_count_write)
    return;
  this->next_count_write = now + kCountWritePeriod;
  const std::map<std::string, int> counts = this->scheduler.WaitingJobs();
  if (counts == this->written_counts)
    return;
  const platform::RowKey row = QueueLengthRow(this->shard);
  const platform::WriteBatch write{
      .conditions = {{.at = row, .version = this->count_version}},
      .puts = {{.at = row, .value = EncodeQueueLengths(counts)}},
      .removes = {}};
  this->store.Write(write, [this, counts, alive = this->alive](
                               const platform::WriteResult& result) {
    if (!*alive)
      return;
    if (result.outcome == platform::WriteOutcome::kDone) {
      this->written_counts = counts;
      this->count_version = result.version;
    }
    // The row was changed by an earlier owner, or by an own write whose
    // response was lost.
    if (result.outcome == platform::WriteOutcome::kConflict &&
        !result.rows.empty()) {
      this->count_version = result.rows.front().version;
      this->written_counts.clear();
      this->next_count_write = {};
    }
  });
}

ShardLoad ShardManager::Load() const {
  const base::Micros now = base::MonotonicNow();
  ShardLoad load;
  for (const scheduler::PoolState& state : this->scheduler.PoolStates(now)) {
    load.load_percent_by_pool[state.pool] = state.load_percent;
    load.free_cores_by_pool[state.pool] = static_cast<int>(state.free_cores);
  }
  load.box_kinds = this->scheduler.BoxKinds();
  load.waits = this->Waits(now);
  if (this->scheduler.KnowsLoad(now))
    load.over_rate = this->scheduler.OrganisationsOverRate(now);
  return load;
}

std::map<std::string, ReportedWait> ShardManager::Waits(
    base::Micros now) const {
  std::map<std::string, ReportedWait> waits;
  for (const auto& [queue, wait] : this->scheduler.ReportableWaits(now)) {
    waits[queue] = {
        .within_rate_ms = static_cast<int>(base::Millis(wait.within_rate)),
        .over_rate_ms = static_cast<int>(base::Millis(wait.over_rate))};
  }
  return waits;
}

// Queues of one pool and priority have the same wait, and a pool may have
// dozens of queues.
void ShardManager::LogExpectedWaits(base::Micros now) const {
  const std::map<std::string, ReportedWait> waits = this->Waits(now);
  std::vector<std::pair<std::string, ReportedWait>> longest(
      std::min(waits.size(), kMaxExpectedWaitsLogged));
  std::partial_sort_copy(waits.begin(), waits.end(), longest.begin(),
                         longest.end(), [](const auto& a, const auto& b) {
                           return a.second.over_rate_ms > b.second.over_rate_ms;
                         });
  for (const auto& [queue, wait] : longest) {
    base::Log(base::Event::kExpectedWait,
              {{"shard", this->shard.number},
               {"queue", queue},
               {"within_rate_ms", wait.within_rate_ms},
               {"over_rate_ms", wait.over_rate_ms}});
  }
}

void ShardManager::LogPoolStates() {
  const base::Micros now = base::MonotonicNow();
  if (now < this->next_pool_log)
    return;
  this->next_pool_log = now + kPoolLogPeriod;
  this->LogLongestWaits(now);
  for (const scheduler::PoolState& state : this->scheduler.PoolStates(now)) {
    base::Log(base::Event::kPoolState,
              {{"shard", this->shard.number},
               {"pool", state.pool},
               {"boxes", state.boxes},
               {"usable", state.usable},
               {"leaving", state.leaving},
               {"leaving_for", FormatLeavingReasons(state)},
               {"idle", state.idle},
               {"pinned", state.pinned},
               {"busy_cores", fmt::format("{:.0f}", state.busy_cores)},
               {"load_percent", state.load_percent},
               {"waiting", state.waiting},
               {"waiting_cores", fmt::format("{:.0f}", state.waiting_cores)},
               {"oldest_ms", base::Millis(state.oldest)},
               {"waiting_for", FormatWaitReasons(state)},
               {"given_up", state.given_up},
               {"vain_visits", state.placement_effort.vain_visits},
               {"spent_passes", state.placement_effort.spent_passes}});
  }
  this->LogLongRunningWaits(now);
  this->LogExpectedWaits(now);
  this->LogAdviceCalls();
}

// Only while calls are made.
void ShardManager::LogAdviceCalls() {
  const scheduler::AdviceCalls& calls = this->scheduler.advice();
  if (calls.counts() == this->logged_advice_calls)
    return;
  this->logged_advice_calls = calls.counts();
  base::Log(base::Event::kAdviceCalls,
            {{"shard", this->shard.number},
             {"sent", calls.counts().sent},
             {"answered", calls.counts().answered},
             {"rejected", calls.counts().rejected},
             {"unanswered", calls.counts().unanswered},
             {"open", calls.open()},
             {"answer_ms", base::Millis(calls.expected_answer_time())}});
}

void ShardManager::LogLongRunningWaits(base::Micros now) {
  for (const scheduler::LongRunningWait& wait :
       this->scheduler.LongRunningWaits(now)) {
    base::Log(base::Event::kLongRunningWait,
              {{"shard", this->shard.number},
               {"pool", wait.pool},
               {"waiting", wait.waiting},
               {"interrupted", wait.interrupted},
               {"task", platform::TaskName(wait.task)},
               {"waited_ms", base::Millis(wait.waited)},
               {"cpu_millis", wait.takes.cpu_millis},
               {"memory_mb", wait.takes.memory_mb},
               {"gpus", wait.takes.gpus},
               {"usable", wait.usable},
               {"cores", wait.with_cores},
               {"memory", wait.with_memory},
               {"fitting", wait.fitting},
               {"at_limit", wait.at_limit},
               {"unlabelled", wait.unlabelled},
               {"reserved", wait.reserved}});
  }
}

void ShardManager::LogLongestWaits(base::Micros now) const {
  for (const scheduler::WaitingTask& waiting :
       this->scheduler.LongestWaits(kMaxWaitsLogged, now)) {
    base::Log(
        base::Event::kTaskWaits,
        {{"shard", this->shard.number},
         {"task", platform::TaskName(waiting.task)},
         {"pool", waiting.pool},
         {"waited_ms", base::Millis(waiting.waited)},
         {"state", base::NameOf(scheduler::kTaskStateNames, waiting.state)},
         {"queued", waiting.is_queued},
         {"reason", base::NameOf(scheduler::kWaitReasonNames, waiting.reason)},
         {"worker", waiting.worker.id},
         {"run", waiting.run},
         {"run_state", RunStateName(waiting.run_state)},
         {"heard_ms",
          base::Millis(waiting.last_answer_ago.value_or(milliseconds(-1)))},
         {"failed_calls", waiting.failed_calls},
         {"lease_ms", base::Millis(waiting.lease_left)}});
  }
}

// While the store does not confirm the ownership, nothing is placed.
std::optional<OwnedJob> ShardManager::Explain(const std::string& job) const {
  const base::Micros now = base::MonotonicNow();
  auto tasks = this->scheduler.ExplainJob(job, kMaxExplainedTasks, now);
  if (!tasks)
    return std::nullopt;
  for (scheduler::ExplainedTask& task : tasks->tasks) {
    if (this->commands_suspended && task.state == scheduler::TaskState::kReady)
      task.waits_for = scheduler::kWaitsForStore;
    if (this->commands_suspended || !this->scheduler.KnowsLoad(now))
      task.expected_start.reset();
  }
  return OwnedJob{.job = &this->scheduler.all_jobs().at(job),
                  .tasks = std::move(*tasks),
                  .shard = this->shard.number,
                  .age = now - this->confirmed_at};
}

std::string ShardManager::Dump() const {
  Json dump = {{"shard", this->shard.number},
               {"epoch", this->epoch},
               {"begun", this->started},
               {"workers", Json::array()},
               {"jobs", Json::array()}};
  for (const auto& [id, worker] : this->scheduler.all_workers()) {
    Json runs = Json::array();
    for (const auto& [task, run] : worker.runs)
      runs.push_back({platform::TaskName(task), run.number, run.percent});
    dump["workers"].push_back({{"id", id.id},
                               {"born_ms", id.start_ms},
                               {"box", worker.info.box},
                               {"pool", worker.info.service},
                               {"listed", worker.has_reported},
                               {"failed_calls", worker.failed_calls},
                               {"failure_rate", worker.failure_rate},
                               {"runs", std::move(runs)}});
  }
  for (const auto& [id, job] : this->scheduler.all_jobs()) {
    dump["jobs"].push_back(
        {{"id", id},
         {"queue", job.queue.name},
         {"state", base::NameOf(jobs::kJobStateNames, job.progress.state)},
         {"given_up", scheduler::CountGivenUpTasks(job)}});
  }
  return dump.dump();
}

}  // namespace quartzhoist::entry
