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
  void Begin(const std::vector<platform::Row>& kept, base::Micros now);
  void Put(const scheduler::Wave& wave);
  void Report(const scheduler::ReportWave& report);
  // Writes again what could not be written, and looks at the other shards.
  void Act(base::Micros now);

 private:
  struct Record {
    scheduler::Wave wave;  // whole, once it is known
    bool known = false;
    std::vector<std::string> begun;  // by earlier owners
    std::set<int> done;              // shards
    std::vector<scheduler::ReportWave> unwritten;
    bool reported = false;  // this shard has begun, or is done
    bool running_told = false;
    bool completed_told = false;
    bool telling = false;  // a write of its state is on its way
  };

  void TakeRow(const platform::Row& row);
  void ShareOut(const Record& record);
  void WriteBegun(const scheduler::ReportWave& report) const;
  void WriteDone(const scheduler::ReportWave& report);
  void Tell(int wave, scheduler::WaveState state);
  void TellIfCompleted(int wave);
  void TakeTold(int wave,
                scheduler::WaveState state,
                const platform::WriteResult& result);
  void ReadOthers();

  platform::Store& store;
  Shard shard;
  std::function<void(const scheduler::Wave& share,
                     const std::vector<std::string>& begun)>
      on_share;
  std::map<int, Record> records;  // by the wave's number
  bool has_begun = false;
  bool reading = false;
  base::Micros next_try{};
  base::Micros next_read{};
  // Calls still on their way when this is destroyed find it unset.
  std::shared_ptr<bool> alive;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_WAVE_RECORDS_H_
