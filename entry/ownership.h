// Which daemon schedules a shard. The shard's owner row in the store names
// holder and epoch; the holder confirms it by rewriting it under its version,
// and others take it over, under its version too, when it has not changed for a
// while.

#ifndef ENTRY_OWNERSHIP_H_
#define ENTRY_OWNERSHIP_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include "base/loop.h"
#include "entry/owner_lease.h"
#include "entry/tables.h"
#include "platform/store.h"

namespace quartzhoist::entry {

class Ownership {
 public:
  struct Events {
    // No holder before this one was confirmed after `previous_owner_renewal`.
    std::function<void(std::uint64_t epoch,
                       base::Micros previous_owner_renewal)>
        on_gained;
    std::function<void()> on_lost;
    // The row holds a confirmation that was first asked for at `asked`; calls
    // for boxes leave before valid_until().
    std::function<void(base::Micros sent_at)> on_renewed;
    // The share of a processor that this daemon has for the shard: one with
    // more takes the ownership from one with much less.
    std::function<double()> cores;
    // How the shard stands, while this daemon holds it.
    std::function<ShardLoad()> load;
  };

  // `id` names the daemon.
  Ownership(base::Loop& loop,
            platform::Store& store,
            const Shard& shard,
            std::string id,
            std::uint64_t seed,
            Events events);

  // --- The owner table's news, from whoever follows it ---
  // All its rows have been shown by now.
  void OnTableRead() { this->table_read = true; }
  void OnRow(const platform::Row& row, bool removed);
  void OnStoreAnswered();
  void OnFeedLost();

  // Gives it up, for good: others take over at once.
  void Release();
  // A worker has seen a higher epoch: it is lost, whatever the row says.
  void OnFenced();

  bool holds() const { return this->is_holder; }
  // Its own write of a takeover is on its way.
  bool is_takeover_pending() const { return this->takeover_pending; }
  // No other daemon takes over before this, with some slack for what is on its
  // way.
  base::Micros valid_until() const { return this->lease.valid_until(); }
  const std::string& holder() const { return this->record.holder; }
  std::uint64_t epoch() const { return this->record.epoch; }
  // As the holder last said.
  const ShardLoad& load() const { return this->record.load; }

 private:
  void OnTick();
  bool ShouldTakeOver(base::Micros now) const;
  bool ShouldRequestHandover(base::Micros now) const;
  void RequestHandover();
  bool ShouldReadRow(base::Micros now) const;
  void ReadRow();
  void HandOver();
  bool IsMuchStronger() const;
  base::Micros DrawTakeoverJitter();
  base::Micros TakeoverDelay() const;
  bool IsOwn(const OwnerRecord& other) const;
  base::Micros NextRenewalDelay(base::Micros now) const;
  void Write(const OwnerRecord& next, bool is_takeover);
  void OnWriteResult(const platform::WriteResult& result,
                     const OwnerRecord& next,
                     bool is_takeover);
  void ApplyWriteResult(const platform::WriteResult& result,
                        const OwnerRecord& next,
                        bool is_takeover,
                        base::Micros now);
  void WriteRelease();
  void OnConflict(const platform::WriteResult& result);
  void Acquire();
  void Lose();

  platform::Store& store;
  platform::RowKey row;
  bool is_single;  // the fleet is one shard: nobody else beats
  std::string id;
  std::string incarnation;
  std::mt19937_64 random;
  Events events;
  OwnerLease lease;
  OwnerRecord record;         // as last seen
  std::uint64_t version = 0;  // of the row; 0: there is none
  bool table_read = false;    // the row, or its absence, has been seen
  bool is_holder = false;
  bool released = false;
  bool is_handing_over = false;  // gives up for a stronger one
  bool is_write_pending = false;
  bool takeover_pending = false;
  bool is_read_pending = false;  // reads the row before it takes over
  // The last epochs that this daemon held, and lost: an old row that shows up
  // late does not bring one back.
  std::uint64_t held_epoch = 0;
  std::uint64_t lost_epoch = 0;
  base::Micros unchanged_since{};
  // When the last row of another holder was first seen: none of them was
  // confirmed later.
  base::Micros previous_owner_renewal{};
  base::Micros holder_since{};  // when the present holder was first seen
  base::Micros last_answer{};
  base::Micros next_renewal{};
  base::Micros
      takeover_jitter{};  // of the wait until a silent holder is replaced
  base::Timer timer;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_OWNERSHIP_H_
