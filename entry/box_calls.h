// What a shard's owner is about to ask of boxes, in a row of the store that is
// written before each call. A box takes an earlier owner's call until the next
// owner has called it: the row tells that one which boxes these are.

#ifndef ENTRY_BOX_CALLS_H_
#define ENTRY_BOX_CALLS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "entry/shards.h"
#include "platform/store.h"
#include "scheduler/actions.h"

namespace quartzhoist::entry {

class BoxCalls {
 public:
  struct Events {
    // The row is this owner's: no earlier one records anything from now on.
    // These are the calls that they recorded and did not see settled.
    std::function<void(const std::vector<scheduler::BoxCall>&)> on_claimed;
    // The call is recorded and may be made.
    std::function<void(const scheduler::BoxCall&)> on_recorded;
    // It cannot be recorded, and must not be made.
    std::function<void(const scheduler::BoxCall&)> on_rejected;
    // A later owner has claimed the row.
    std::function<void()> on_fenced;
  };

  BoxCalls(platform::Store& store,
           const Shard& shard,
           std::uint64_t epoch,
           Events events);
  ~BoxCalls();
  BoxCalls(const BoxCalls&) = delete;
  BoxCalls& operator=(const BoxCalls&) = delete;

  bool claimed() const { return this->is_claimed; }
  // To be recorded with the next write. One call a box at a time.
  void Add(const scheduler::BoxCall& call);
  // Claims the row, records what waits, removes what is not open any more: its
  // outcome is known, and a later owner need not know of it.
  void Sync(const std::function<bool(const std::string& box)>& is_open,
            base::Micros now);

 private:
  using CallsByBox = std::map<std::string, scheduler::BoxCall>;

  void Read();
  void Claim();
  void HandleClaimResult(const platform::WriteResult& result);
  void FinishClaim(std::uint64_t row_version);
  const platform::Row* FindOwnWrite(const platform::WriteResult& result) const;
  void Record();
  void HandleRecordResult(const platform::WriteResult& result);
  void FinishRecord(const CallsByBox& written, std::uint64_t row_version);
  // False if the row is a later owner's.
  bool LoadRow(const platform::Row& row);
  void Write(const CallsByBox& calls,
             std::function<void(const platform::WriteResult&)> done);

  platform::Store& store;
  platform::RowKey row;
  std::uint64_t epoch;
  Events events;
  bool is_claimed = false;
  bool store_call_in_flight = false;  // a call to the store is on its way
  bool has_read = false;
  std::uint64_t version = 0;
  std::string last_written_value;  // of the last write
  CallsByBox pending;              // to be recorded
  CallsByBox being_written;        // of them, with the write on its way
  CallsByBox recorded;  // the earlier owners' among them, and not settled
  bool row_has_settled_calls = false;  // the row names some that are settled
  base::Micros next_attempt{};
  base::Micros next_removal{};
  // Calls still on their way when this is destroyed find it unset.
  std::shared_ptr<bool> alive;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_BOX_CALLS_H_
