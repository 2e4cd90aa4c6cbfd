// Ownership of a shard: which daemon schedules it. The shard's owner row in the
// store names the holder and its epoch. The holder renews the row by a
// conditional write on its version; other daemons take it over, by the same
// kind of write, when it has not changed for kOwnerSilence.

#ifndef ENTRY_OWNERSHIP_H_
#define ENTRY_OWNERSHIP_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/loop.h"
#include "entry/owner_lease.h"
#include "entry/tables.h"
#include "platform/store.h"

namespace quartzhoist::entry {

class Ownership {
 public:
  struct Events {
    // No previous holder renewed the row after `previous_owner_renewal`.
    std::function<void(std::uint64_t epoch,
                       base::Micros previous_owner_renewal)>
        on_gained;
    std::function<void()> on_lost;
    // The row contains a renewal that was first sent at `sent_at`. Calls for
    // boxes are sent before valid_until().
    std::function<void(base::Micros sent_at)> on_renewed;
    // Processor cores that this daemon has for the shard. A daemon with many
    // more cores than the holder asks it to hand over.
    std::function<double()> cores;
    // Load of the shard, reported with each renewal by its holder.
    std::function<ShardLoad()> load;
  };

  // `id` identifies the daemon.
  Ownership(base::Loop& loop,
            platform::Store& store,
            const Shard& shard,
            std::string id,
            std::uint64_t seed,
            Events events);

  // Only the holder and daemons that watch the shard act on its row. Watched at
  // first.
  void SetWatched(bool watched);
  // Reads the row instead of waiting for the follower. `on_read` is told
  // whether the store answered, after the row has been taken in.
  void ReadRow(std::function<void(bool answered)> on_read);

  // --- Notifications from the follower of the owner table ---
  // The whole table has been read; OnRow() is called with each of its rows.
  void OnTableRead() { this->table_read = true; }
  void OnRow(const platform::Row& row, bool removed);
  void OnStoreAnswered();
  void OnFeedLost();

  // Gives up the ownership for the rest of the process, so that another daemon
  // takes over at once.
  void Release();
  // A worker has seen a higher epoch: the ownership is lost, even if the row
  // still names this daemon.
  void OnFenced();

  const platform::RowKey& row_key() const { return this->row; }
  bool holds() const { return this->is_holder; }
  // A takeover write of this daemon is in flight.
  bool is_takeover_pending() const { return this->takeover_pending; }
  // No other daemon takes over before this time; includes a margin for commands
  // in flight.
  base::Micros valid_until() const { return this->lease.valid_until(); }
  const std::string& holder() const { return this->record.holder; }
  std::uint64_t epoch() const { return this->record.epoch; }
  // As last reported by the holder.
  const ShardLoad& load() const { return this->record.load; }
  // When the row was last known to be current, no owner had renewed it for some
  // time: a new job would wait for a takeover.
  bool is_stalled() const;
  // Whether the expected waits in load() are those of the present holder, and
  // recent.
  bool has_current_waits(base::Micros now) const;
  // When the row was last known to be current; zero: never.
  base::Micros last_read() const { return this->last_answer; }
  // The holder has not been seen to renew for long enough to read the row
  // again, or a stronger daemon should replace it.
  bool is_unsettled(base::Micros now) const;
  // The holder's box is much stronger than that of this daemon.
  bool is_holder_much_stronger() const;

 private:
  void OnTick();
  bool ShouldTakeOver(base::Micros now) const;
  bool ShouldRequestHandover(base::Micros now) const;
  void RequestHandover();
  bool ShouldReadRow(base::Micros now) const;
  void UpdateTimer();
  void HandOver();
  bool IsMuchStronger() const;
  base::Micros DrawTakeoverJitter();
  base::Micros TakeoverDelay() const;
  bool IsOwn(const OwnerRecord& other) const;
  base::Micros NextRenewalDelay(base::Micros now) const;
  // The time of this renewal on the store's clock; 0 if that is unknown.
  std::int64_t RenewalStoreMillis(std::uint64_t epoch,
                                  std::uint64_t beat,
                                  base::Micros now) const;
  std::int64_t StoreMillisOrZero(base::Micros at) const;
  // Upper bound on when the row's holder renewed it last.
  base::Micros LatestRenewal(const OwnerRecord& other, base::Micros now) const;
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
  bool is_single;  // only shard of the fleet, so renewals need no alignment
  std::string id;
  std::string incarnation;
  std::mt19937_64 random;
  Events events;
  OwnerLease lease;
  OwnerRecord record;         // last row received
  std::uint64_t version = 0;  // of the row; 0: no row
  bool table_read = false;    // the row, or its absence, is known
  bool is_holder = false;
  bool released = false;
  bool is_handing_over = false;  // to a daemon on a stronger box
  bool is_write_pending = false;
  bool takeover_pending = false;
  bool is_watched = true;
  bool is_ticking = false;
  bool is_read_pending = false;  // of the row, instead of the follower
  std::vector<std::function<void(bool answered)>> read_waiters;
  // The last epochs that this daemon held and lost. They keep an old row that
  // arrives late from restoring a lost ownership.
  std::uint64_t held_epoch = 0;
  std::uint64_t lost_epoch = 0;
  base::Micros unchanged_since{};
  // Upper bound on the last renewal by any previous holder.
  base::Micros previous_owner_renewal{};
  base::Micros holder_since{};  // when the current holder was first seen
  base::Micros last_answer{};
  base::Micros next_renewal{};
  base::Micros takeover_jitter{};  // random part of TakeoverDelay()
  base::Timer timer;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_OWNERSHIP_H_
