#include "entry/wave_records.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/event_log.h"
#include "entry/tables.h"
#include "platform/records.h"
#include "platform/table_reader.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Micros kRetryInterval = milliseconds(500);
// Interval at which an owner reads whether other shards have completed an open
// wave; it takes over their share with up to this delay. A box is unavailable
// for 2 s during upkeep (upkeep_s).
constexpr base::Micros kReadInterval = seconds(1);
constexpr std::string_view kDoneSuffix = "!done";

// Key of a row of kWaveTable, which lists the boxes whose upkeep has begun, or
// marks the wave as completed by the shard.
struct WaveKey {
  int wave = 0;
  bool is_done = false;
};

WaveKey ParseWaveKey(std::string_view key) {
  WaveKey parsed;
  parsed.is_done = key.ends_with(kDoneSuffix);
  std::from_chars(key.data(), key.data() + key.size(), parsed.wave);
  return parsed;
}

std::string DoneKey(int wave) {
  return std::to_string(wave) + std::string(kDoneSuffix);
}

}  // namespace

WaveRecords::WaveRecords(
    platform::Store& wave_store,
    const Shard& own_shard,
    std::function<void(const scheduler::Wave& share,
                       const std::vector<std::string>& begun)> handler)
    : store(wave_store),
      shard(own_shard),
      on_share_changed(std::move(handler)),
      alive(std::make_shared<bool>(true)) {}

WaveRecords::~WaveRecords() {
  *this->alive = false;
}

void WaveRecords::Load(const std::vector<platform::Row>& kept,
                       base::Micros now) {
  for (const platform::Row& row : kept)
    this->ApplyRow(row);
  this->is_loaded = true;
  this->next_read = now + kReadInterval;
  for (const auto& [number, record] : this->records)
    this->NotifyShare(record);
}

void WaveRecords::AddWave(const scheduler::Wave& wave) {
  Record& record = this->records[wave.number];
  record.wave = wave;
  record.has_wave = true;
  this->NotifyShare(record);
}

void WaveRecords::ApplyRow(const platform::Row& row) {
  const WaveKey key = ParseWaveKey(row.at.key);
  Record& record = this->records[key.wave];
  for (int number = 0; number < this->shard.count; ++number) {
    const Shard holder{.number = number, .count = this->shard.count};
    if (row.at.part != ShardPart(kWaveTable, holder))
      continue;
    if (key.is_done)
      record.done_shards.insert(number);
    else if (number == this->shard.number)
      record.started_boxes = DecodeNames(row.value);
  }
}

void WaveRecords::NotifyShare(const Record& record) {
  if (!this->is_loaded || !record.has_wave)
    return;
  this->on_share_changed(
      WaveShareFor(record.wave, this->shard, record.done_shards),
      record.started_boxes);
}

void WaveRecords::Report(const scheduler::ReportWave& report) {
  Record& record = this->records[report.wave];
  record.reported = true;
  this->WriteStartedBoxes(report);
  if (report.state == scheduler::WaveState::kCompleted)
    this->WriteDone(report);
  else if (!record.running_written)
    this->WriteStatus(report.wave, scheduler::WaveState::kRunning);
}

// Read by a later owner. Unconditional, because the list only grows.
void WaveRecords::WriteStartedBoxes(const scheduler::ReportWave& report) const {
  const platform::WriteBatch write{
      .conditions = {},
      .puts = {{.at = ShardRowKey(kWaveTable, std::to_string(report.wave),
                                  this->shard),
                .value = EncodeNames(report.begun)}},
      .removes = {}};
  this->store.Write(write, [](const platform::WriteResult&) {});
}

// The other shards take over this shard's share only after reading this row,
// which is final.
void WaveRecords::WriteDone(const scheduler::ReportWave& report) {
  const platform::WriteBatch write{
      .conditions = {},
      .puts = {{.at =
                    ShardRowKey(kWaveTable, DoneKey(report.wave), this->shard),
                .value = "1"}},
      .removes = {}};
  this->store.Write(write, [this, report, lives = this->alive](
                               const platform::WriteResult& result) {
    if (!*lives)
      return;
    Record& record = this->records[report.wave];
    if (result.outcome != platform::WriteOutcome::kDone) {
      record.unwritten_reports.push_back(report);
      return;
    }
    record.done_shards.insert(this->shard.number);
    this->WriteStatusIfCompleted(report.wave);
  });
}

void WaveRecords::WriteStatusIfCompleted(int wave) {
  const Record& record = this->records[wave];
  if (!record.has_wave || record.completed_written)
    return;
  for (int number = 0; number < this->shard.count; ++number) {
    const Shard other{.number = number, .count = this->shard.count};
    const bool has_boxes = std::any_of(
        record.wave.boxes.begin(), record.wave.boxes.end(),
        [&](const std::string& box) { return ShardContainsBox(other, box); });
    if (has_boxes && !record.done_shards.contains(number))
      return;
  }
  this->WriteStatus(wave, scheduler::WaveState::kCompleted);
}

// Publishes the status for operators. `running` is written only if there is no
// status row, so that a late write cannot replace `completed`.
void WaveRecords::WriteStatus(int wave, scheduler::WaveState state) {
  Record& record = this->records[wave];
  if (record.status_write_in_flight)
    return;
  record.status_write_in_flight = true;
  const platform::RowKey status{
      .table = std::string(platform::kStatusTable),
      .part = "",
      .key = std::string(platform::kWavePrefix) + std::to_string(wave)};
  platform::WriteBatch write;
  if (state == scheduler::WaveState::kRunning)
    write.conditions.push_back({.at = status, .version = 0});
  write.puts.push_back(
      {.at = status, .value = platform::WaveStatusText(state)});
  this->store.Write(write, [this, wave, state, lives = this->alive](
                               const platform::WriteResult& result) {
    if (*lives)
      this->OnStatusWritten(wave, state, result);
  });
}

void WaveRecords::OnStatusWritten(int wave,
                                  scheduler::WaveState state,
                                  const platform::WriteResult& result) {
  Record& record = this->records[wave];
  record.status_write_in_flight = false;
  const bool completed = state == scheduler::WaveState::kCompleted;
  const bool settled = result.outcome == platform::WriteOutcome::kDone ||
                       result.outcome == platform::WriteOutcome::kConflict;
  base::Log(base::Event::kWaveReported,
            {{"wave", wave}, {"completed", completed}, {"settled", settled}});
  if (settled)
    (completed ? record.completed_written : record.running_written) = true;
}

void WaveRecords::Poll(base::Micros now) {
  if (now >= this->next_retry) {
    this->next_retry = now + kRetryInterval;
    for (auto& [number, record] : this->records) {
      for (const scheduler::ReportWave& report :
           std::exchange(record.unwritten_reports, {}))
        this->WriteDone(report);
      if (record.done_shards.contains(this->shard.number))
        this->WriteStatusIfCompleted(number);
      else if (record.reported && !record.running_written)
        this->WriteStatus(number, scheduler::WaveState::kRunning);
    }
  }
  const bool is_open = std::any_of(
      this->records.begin(), this->records.end(),
      [](const auto& entry) { return !entry.second.completed_written; });
  if (this->shard.count == 1 || !is_open || this->read_in_flight ||
      now < this->next_read)
    return;
  this->next_read = now + kReadInterval;
  this->ReadOtherShards();
}

void WaveRecords::ReadOtherShards() {
  this->read_in_flight = true;
  platform::ReadTable(
      this->store, std::string(kWaveTable),
      ShardParts(kWaveTable, this->shard.count),
      [this, lives = this->alive](
          const std::optional<platform::TableContent>& content) {
        if (!*lives)
          return;
        this->read_in_flight = false;
        if (!content)
          return;
        for (const platform::Row& row : content->rows) {
          const WaveKey key = ParseWaveKey(row.at.key);
          Record& record = this->records[key.wave];
          const std::size_t before = record.done_shards.size();
          if (key.is_done)
            this->ApplyRow(row);
          if (record.done_shards.size() != before)
            this->NotifyShare(record);
        }
      });
}

}  // namespace quartzhoist::entry
