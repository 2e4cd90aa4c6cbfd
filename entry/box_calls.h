// Write-ahead record of the box calls of a shard's owner: a store row that is
// written before each call is made. A box accepts calls of an earlier owner
// until the next owner has called it, and the row tells the next owner which
// boxes to call.

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
    // The row is claimed: no earlier owner can record a call any more. Passes
    // the calls that earlier owners recorded and did not settle.
    std::function<void(const std::vector<scheduler::BoxCall>&)> on_claimed;
    // The call is recorded and may be made.
    std::function<void(const scheduler::BoxCall&)> on_recorded;
    // The store rejected the record: the call must not be made.
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
  // Queues a call for the next write. A box has at most one call at a time.
  void Add(const scheduler::BoxCall& call);
  // Claims the row, records pending calls, and removes calls that are not open:
  // their outcome is known, so that a later owner does not need them.
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
  // Returns false if the row was written by a later owner.
  bool LoadRow(const platform::Row& row);
  void Write(const CallsByBox& calls,
             std::function<void(const platform::WriteResult&)> done);

  platform::Store& store;
  platform::RowKey row;
  std::uint64_t epoch;
  Events events;
  bool is_claimed = false;
  bool store_call_in_flight = false;
  bool has_read = false;
  std::uint64_t version = 0;
  std::string last_written_value;
  CallsByBox pending;        // not written yet
  CallsByBox being_written;  // the write is in flight
  CallsByBox recorded;       // and not settled; includes earlier owners' calls
  bool row_has_settled_calls = false;
  base::Micros next_attempt{};
  base::Micros next_removal{};
  // Set to false on destruction; callbacks of store calls in flight check it.
  std::shared_ptr<bool> alive;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_BOX_CALLS_H_
