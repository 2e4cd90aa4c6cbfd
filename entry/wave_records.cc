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

constexpr base::Micros kWriteAgain = milliseconds(500);
// How often an owner looks whether other shards are done with an open wave: it
// takes up their share that much later. A box is away for 2 s (upkeep_s).
constexpr base::Micros kReadOthers = seconds(1);
constexpr std::string_view kDoneSuffix = "!done";

// A row of kWaveTable: the boxes of the wave that have begun, or that the shard
// is done with it.
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
    platform::Store& on,
    const Shard& of,
    std::function<void(const scheduler::Wave& share,
                       const std::vector<std::string>& begun)> handler)
    : store(on),
      shard(of),
      on_share(std::move(handler)),
      alive(std::make_shared<bool>(true)) {}

WaveRecords::~WaveRecords() {
  *this->alive = false;
}

void WaveRecords::Begin(const std::vector<platform::Row>& kept,
                        base::Micros now) {
  for (const platform::Row& row : kept)
    this->TakeRow(row);
  this->has_begun = true;
  this->next_read = now + kReadOthers;
  for (const auto& [number, record] : this->records)
    this->ShareOut(record);
}

void WaveRecords::Put(const scheduler::Wave& wave) {
  Record& record = this->records[wave.number];
  record.wave = wave;
  record.known = true;
  this->ShareOut(record);
}

void WaveRecords::TakeRow(const platform::Row& row) {
  const WaveKey key = ParseWaveKey(row.at.key);
  Record& record = this->records[key.wave];
  for (int number = 0; number < this->shard.count; ++number) {
    const Shard holder{.number = number, .count = this->shard.count};
    if (row.at.part != ShardPart(kWaveTable, holder))
      continue;
    if (key.is_done)
      record.done.insert(number);
    else if (number == this->shard.number)
      record.begun = DecodeNames(row.value);
  }
}

void WaveRecords::ShareOut(const Record& record) {
  if (!this->has_begun || !record.known)
    return;
  this->on_share(WaveShareFor(record.wave, this->shard, record.done),
                 record.begun);
}

void WaveRecords::Report(const scheduler::ReportWave& report) {
  Record& record = this->records[report.wave];
  record.reported = true;
  this->WriteBegun(report);
  if (report.state == scheduler::WaveState::kCompleted)
    this->WriteDone(report);
  else if (!record.running_told)
    this->Tell(report.wave, scheduler::WaveState::kRunning);
}

// For a later owner. Without a condition: the list only grows.
void WaveRecords::WriteBegun(const scheduler::ReportWave& report) const {
  const platform::WriteBatch write{
      .conditions = {},
      .puts = {{.at = ShardRowKey(kWaveTable, std::to_string(report.wave),
                                  this->shard),
                .value = EncodeNames(report.begun)}},
      .removes = {}};
  this->store.Write(write, [](const platform::WriteResult&) {});
}

// The other shards take up this one's share only by this row, which is final.
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
      record.unwritten.push_back(report);
      return;
    }
    record.done.insert(this->shard.number);
    this->TellIfCompleted(report.wave);
  });
}

void WaveRecords::TellIfCompleted(int wave) {
  const Record& record = this->records[wave];
  if (!record.known || record.completed_told)
    return;
  for (int number = 0; number < this->shard.count; ++number) {
    const Shard other{.number = number, .count = this->shard.count};
    const bool has_boxes = std::any_of(
        record.wave.boxes.begin(), record.wave.boxes.end(),
        [&](const std::string& box) { return ShardContainsBox(other, box); });
    if (has_boxes && !record.done.contains(number))
      return;
  }
  this->Tell(wave, scheduler::WaveState::kCompleted);
}

// For the operators. A late `running` cannot replace `completed`: it must find
// no status.
void WaveRecords::Tell(int wave, scheduler::WaveState state) {
  Record& record = this->records[wave];
  if (record.telling)
    return;
  record.telling = true;
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
      this->TakeTold(wave, state, result);
  });
}

void WaveRecords::TakeTold(int wave,
                           scheduler::WaveState state,
                           const platform::WriteResult& result) {
  Record& record = this->records[wave];
  record.telling = false;
  const bool completed = state == scheduler::WaveState::kCompleted;
  const bool settled = result.outcome == platform::WriteOutcome::kDone ||
                       result.outcome == platform::WriteOutcome::kConflict;
  base::Log(base::Event::kWaveReported,
            {{"wave", wave}, {"completed", completed}, {"settled", settled}});
  if (settled)
    (completed ? record.completed_told : record.running_told) = true;
}

void WaveRecords::Act(base::Micros now) {
  if (now >= this->next_try) {
    this->next_try = now + kWriteAgain;
    for (auto& [number, record] : this->records) {
      for (const scheduler::ReportWave& report :
           std::exchange(record.unwritten, {}))
        this->WriteDone(report);
      if (record.done.contains(this->shard.number))
        this->TellIfCompleted(number);
      else if (record.reported && !record.running_told)
        this->Tell(number, scheduler::WaveState::kRunning);
    }
  }
  const bool is_open = std::any_of(
      this->records.begin(), this->records.end(),
      [](const auto& entry) { return !entry.second.completed_told; });
  if (this->shard.count == 1 || !is_open || this->reading ||
      now < this->next_read)
    return;
  this->next_read = now + kReadOthers;
  this->ReadOthers();
}

void WaveRecords::ReadOthers() {
  this->reading = true;
  platform::ReadTable(
      this->store, std::string(kWaveTable),
      ShardParts(kWaveTable, this->shard.count),
      [this, lives = this->alive](
          const std::optional<platform::TableContent>& content) {
        if (!*lives)
          return;
        this->reading = false;
        if (!content)
          return;
        for (const platform::Row& row : content->rows) {
          const WaveKey key = ParseWaveKey(row.at.key);
          Record& record = this->records[key.wave];
          const std::size_t before = record.done.size();
          if (key.is_done)
            this->TakeRow(row);
          if (record.done.size() != before)
            this->ShareOut(record);
        }
      });
}

}  // namespace quartzhoist::entry
