// What the owner writes to the store.

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

constexpr base::Micros kCountPeriod = seconds(1);
constexpr base::Micros kPoolLogPeriod = seconds(1);
constexpr base::Micros kRecordAgain = milliseconds(200);
// The list as it is cannot be written; it is tried again when it has changed
// and some time has passed.
constexpr base::Micros kRecordRefused = seconds(2);
// The list is made and written this often at most: it names every worker.
constexpr base::Micros kRecordGap = milliseconds(40);
constexpr int kMaxSavesInFlight = 2;

// Of each reason, how many tasks wait and the longest of their waits in ms.
std::string WaitingText(const scheduler::PoolState& state) {
  std::string text;
  for (const auto& [reason, waiting] : state.waiting_for) {
    text += fmt::format("{}{} {} oldest {}", text.empty() ? "" : ", ",
                        base::NameOf(scheduler::kWaitReasonNames, reason),
                        waiting.tasks, base::Millis(waiting.oldest));
  }
  return text;
}

std::size_t PartsOf(const std::vector<scheduler::SaveProgress>& batch) {
  std::set<std::string> parts;
  for (const scheduler::SaveProgress& save : batch)
    parts.insert(ProgressRow(save.job).part);
  return parts.size();
}

}  // namespace

void Manager::SaveAll() {
  const bool one_part = this->save_policy.one_part(base::MonotonicNow());
  while (!this->saves.empty()) {
    if (!one_part && this->saves_in_flight >= kMaxSavesInFlight)
      return;
    std::vector<scheduler::SaveProgress> batch = this->saves.Take(one_part);
    if (batch.empty())
      return;
    this->Save(std::move(batch));
  }
}

void Manager::Save(std::vector<scheduler::SaveProgress> batch) {
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
  this->store.Write(
      write, [this, batch = std::move(batch), sent,
              lives = this->alive](const platform::WriteResult& result) {
        if (!*lives)
          return;
        --this->saves_in_flight;
        this->saves.Settled(batch);
        const base::Micros now = base::MonotonicNow();
        this->save_policy.Answered(result, PartsOf(batch), now - sent, now);
        this->TakeSaved(batch, result);
        // Placements that are recorded now are ordered at once.
        this->CarryAll();
        this->ActSoon();
      });
}

void Manager::TakeSaved(const std::vector<scheduler::SaveProgress>& batch,
                        const platform::WriteResult& result) {
  const base::Micros now = base::MonotonicNow();
  std::map<std::string, const platform::Row*> rows;
  for (const platform::Row& row : result.rows)
    rows[row.at.key] = &row;
  // One of them cannot be written as it is; the others can.
  const bool spoilt =
      result.outcome == platform::WriteOutcome::kRefused && batch.size() > 1;
  for (const scheduler::SaveProgress& save : batch) {
    if (spoilt) {
      this->saves.AddAlone(save);
      continue;
    }
    const auto found = rows.find(save.job);
    const platform::Row* there = found == rows.end() ? nullptr : found->second;
    if (this->MustSaveAgain(save, result.outcome, there)) {
      this->saves.Add(save);
      continue;
    }
    this->scheduler.ProgressSaved(SaveResultOf(save, result, there), now);
  }
}

// Nothing has changed for this row: its write was waited for in vain, and made
// again it finds its own row; or another row of the batch was in the way. One
// that failed at once is left to the scheduler, which lets some time pass.
bool Manager::MustSaveAgain(const scheduler::SaveProgress& save,
                            platform::WriteOutcome outcome,
                            const platform::Row* there) const {
  const std::uint64_t version = there ? there->version : 0;
  const bool was_waited_for = this->save_policy.slow();
  return (outcome == platform::WriteOutcome::kUnknown && was_waited_for) ||
         (outcome == platform::WriteOutcome::kConflict &&
          version == save.version);
}

// Every worker is in the stored list before it gets its first lease, so that a
// later owner knows whom to ask.
void Manager::RecordWorkers() {
  const base::Micros now = base::MonotonicNow();
  if (this->lease_writing || now < this->next_record)
    return;
  const std::uint64_t change = this->scheduler.worker_changes();
  if (change == this->recorded_change)
    return;
  this->next_record = now + kRecordGap;
  const LeaseRecord record = this->ListWorkers(now);
  const WorkerNames names = NamesOf(record);
  if (names == this->recorded) {
    // One that went and came back stands in the list as it was.
    this->recorded_change = change;
    this->scheduler.WorkersRecorded(names.held);
    return;
  }
  const platform::RowKey row = SmallRow(kLeaseTable, kLeaseKey, this->shard);
  const platform::WriteBatch write{
      .conditions = {{.at = row, .version = this->lease_version}},
      .puts = {{.at = row, .value = EncodeLeases(record)}},
      .removes = {}};
  this->lease_writing = true;
  this->store.Write(write, [this, names, change, lives = this->alive](
                               const platform::WriteResult& result) {
    if (!*lives)
      return;
    this->lease_writing = false;
    this->TakeRecorded(names, change, result);
  });
}

LeaseRecord Manager::ListWorkers(base::Micros now) const {
  LeaseRecord record{.epoch = this->epoch, .workers = {}};
  for (const auto& [id, worker] : this->scheduler.all_workers()) {
    if (!worker.has_reported && worker.latest_lease_end <= now)
      continue;
    record.workers.push_back(
        {.worker = worker.info,
         .held = worker.has_reported,
         .until_store_ms = this->store.StoreMillis(worker.latest_lease_end)});
  }
  return record;
}

Manager::WorkerNames Manager::NamesOf(const LeaseRecord& record) {
  WorkerNames names;
  for (const LeaseHolder& holder : record.workers)
    (holder.held ? names.held : names.carried)
        .push_back(holder.worker.incarnation);
  return names;
}

void Manager::TakeRecorded(const WorkerNames& names,
                           std::uint64_t change,
                           const platform::WriteResult& result) {
  const base::Micros now = base::MonotonicNow();
  switch (result.outcome) {
    case platform::WriteOutcome::kDone:
      this->lease_version = result.version;
      this->recorded = names;
      this->recorded_change = change;
      this->scheduler.WorkersRecorded(names.held);
      this->ActSoon();
      return;
    case platform::WriteOutcome::kConflict:
      // An own write that was thought lost, an earlier owner's that came late,
      // or the next owner's.
      if (!result.rows.empty() && !this->TakeLeases(result.rows.front())) {
        // A moment later this is destroyed: orders stop leaving at once.
        this->authority.on_fenced();
        return;
      }
      this->next_record = now;
      this->ActSoon();
      return;
    case platform::WriteOutcome::kUnknown:
      // The wait for its answer was long enough.
      this->next_record = now;
      this->ActSoon();
      return;
    case platform::WriteOutcome::kNotDone:
      this->next_record = now + kRecordAgain;
      return;
    case platform::WriteOutcome::kRefused:
      this->next_record = now + kRecordRefused;
      return;
  }
}

void Manager::WriteCounts() {
  const base::Micros now = base::MonotonicNow();
  if (now < this->next_count)
    return;
  this->next_count = now + kCountPeriod;
  const std::map<std::string, int> counts = this->scheduler.WaitingJobs();
  if (counts == this->counted)
    return;
  const platform::RowKey row = CountRow(this->shard);
  const platform::WriteBatch write{
      .conditions = {{.at = row, .version = this->count_version}},
      .puts = {{.at = row, .value = EncodeCounts(counts)}},
      .removes = {}};
  this->store.Write(write, [this, counts, lives = this->alive](
                               const platform::WriteResult& result) {
    if (!*lives)
      return;
    if (result.outcome == platform::WriteOutcome::kDone) {
      this->counted = counts;
      this->count_version = result.version;
    }
    // An earlier owner's, or an own write that was thought lost.
    if (result.outcome == platform::WriteOutcome::kConflict &&
        !result.rows.empty()) {
      this->count_version = result.rows.front().version;
      this->counted.clear();
      this->next_count = {};
    }
  });
}

ShardLoad Manager::Load() const {
  ShardLoad load;
  for (const scheduler::PoolState& state :
       this->scheduler.PoolStates(base::MonotonicNow()))
    load.pools[state.pool] = state.load_percent;
  load.kinds = this->scheduler.BoxKinds();
  return load;
}

void Manager::LogPools() {
  const base::Micros now = base::MonotonicNow();
  if (now < this->next_pool_log)
    return;
  this->next_pool_log = now + kPoolLogPeriod;
  for (const scheduler::PoolState& state : this->scheduler.PoolStates(now)) {
    base::Log(base::Event::kPoolState,
              {{"shard", this->shard.number},
               {"pool", state.pool},
               {"boxes", state.boxes},
               {"usable", state.usable},
               {"leaving", state.leaving},
               {"idle", state.idle},
               {"pinned", state.pinned},
               {"busy_cores", fmt::format("{:.0f}", state.busy_cores)},
               {"load_percent", state.load_percent},
               {"waiting", state.waiting},
               {"waiting_cores", fmt::format("{:.0f}", state.waiting_cores)},
               {"oldest_ms", base::Millis(state.oldest)},
               {"waiting_for", WaitingText(state)},
               {"given_up", state.given_up}});
  }
}

std::string Manager::Dump() const {
  Json dump = {{"shard", this->shard.number},
               {"epoch", this->epoch},
               {"begun", this->begun},
               {"workers", Json::array()},
               {"jobs", Json::array()}};
  for (const auto& [id, worker] : this->scheduler.all_workers()) {
    Json runs = Json::array();
    for (const auto& [task, run] : worker.runs)
      runs.push_back({platform::TaskName(task), run.number, run.percent});
    dump["workers"].push_back({{"id", id.id},
                               {"born_ms", id.born_ms},
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
