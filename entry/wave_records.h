// What a shard's owner keeps in the store of the waves, and what it learns of
// the other shards there: which boxes' upkeep has begun, which shards are done,
// and what the operators are told.

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
  // `on_share` is called when what this shard may have away has changed, or a
  // wave is new; `begun` are boxes whose upkeep an earlier owner saw begin.
  WaveRecords(
      platform::Store& store,
      const Shard& shard,
      std::function<void(const scheduler::Wave& share,
                         const std::vector<std::string>& begun)> on_share);
  ~WaveRecords();
  WaveRecords(const WaveRecords&) = delete;
  WaveRecords& operator=(const WaveRecords&) = delete;

  // What the store holds at the beginning; waves are kept back until then.
  void Load(const std::vector<platform::Row>& kept, base::Micros now);
  void AddWave(const scheduler::Wave& wave);
  void Report(const scheduler::ReportWave& report);
  // Writes again what could not be written, and looks at the other shards.
  void Poll(base::Micros now);

 private:
  struct Record {
    scheduler::Wave wave;  // whole, once it is known
    bool has_wave = false;
    std::vector<std::string> started_boxes;  // by earlier owners
    std::set<int> done_shards;               // shards
    std::vector<scheduler::ReportWave> unwritten_reports;
    bool reported = false;  // this shard has begun, or is done
    bool running_written = false;
    bool completed_written = false;
    bool status_write_in_flight = false;  // a write of its state is on its way
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
  std::map<int, Record> records;  // by the wave's number
  bool is_loaded = false;
  bool read_in_flight = false;
  base::Micros next_retry{};
  base::Micros next_read{};
  // Calls still on their way when this is destroyed find it unset.
  std::shared_ptr<bool> alive;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_WAVE_RECORDS_H_
