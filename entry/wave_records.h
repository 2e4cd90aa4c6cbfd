// Store records of maintenance waves, as the owner of a shard writes and reads
// them: the boxes whose upkeep has begun, the shards that have completed a
// wave, and the status published to operators.

#ifndef ENTRY_WAVE_RECORDS_H_
#define ENTRY_WAVE_RECORDS_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "entry/shards.h"
#include "platform/store.h"
#include "scheduler/actions.h"
#include "scheduler/facts.h"

namespace quartzhoist::entry {

class WaveRecords {
 public:
  // `on_share` is called for a new wave, and when this shard's share of boxes
  // that may be unavailable at once has changed; `begun` are the boxes whose
  // upkeep began under an earlier owner.
  WaveRecords(
      platform::Store& store,
      const Shard& shard,
      std::function<void(const scheduler::Wave& share,
                         const std::vector<std::string>& begun)> on_share);
  ~WaveRecords();
  WaveRecords(const WaveRecords&) = delete;
  WaveRecords& operator=(const WaveRecords&) = delete;

  // Loads the stored rows at takeover; `on_share` is not called before.
  void Load(const std::vector<platform::Row>& kept, base::Micros now);
  void AddWave(const scheduler::Wave& wave);
  void Report(const scheduler::ReportWave& report);
  // Retries failed writes and reads the records of the other shards.
  void Poll(base::Micros now);

 private:
  struct Record {
    scheduler::Wave wave;  // of all shards; set if has_wave
    bool has_wave = false;
    std::vector<std::string> started_boxes;  // under earlier owners
    std::set<int> done_shards;               // numbers of shards
    std::vector<scheduler::ReportWave> unwritten_reports;
    bool reported = false;  // this shard has begun or completed
    bool running_written = false;
    bool completed_written = false;
    bool status_write_in_flight = false;
  };

  void ApplyRow(const platform::Row& row);
  void NotifyShare(const Record& record);
  void WriteStartedBoxes(const scheduler::ReportWave& report) const;
  void WriteDone(const scheduler::ReportWave& report);
  void WriteStatus(int wave, scheduler::WaveState state);
  void WriteStatusIfCompleted(int wave);
  void OnStatusWritten(int wave,
                       scheduler::WaveState state,
                       const platform::WriteResult& result);
  void ReadOtherShards();

  platform::Store& store;
  Shard shard;
  std::function<void(const scheduler::Wave& share,
                     const std::vector<std::string>& begun)>
      on_share_changed;
  std::map<int, Record> records;  // by wave number
  bool is_loaded = false;
  bool read_in_flight = false;
  base::Micros next_retry{};
  base::Micros next_read{};
  // Cleared on destruction, so that callbacks of calls in flight do nothing.
  std::shared_ptr<bool> alive;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_WAVE_RECORDS_H_
