// Ownership of all shards. A daemon of a small fleet follows the owner rows of
// all shards through one feed; in a fleet of many shards it reads only the rows
// of those that it watches (ShardWatch). Tracks which shards it holds.

#ifndef ENTRY_OWNERSHIPS_H_
#define ENTRY_OWNERSHIPS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/loop.h"
#include "entry/ownership.h"
#include "entry/shard_watch.h"
#include "platform/store.h"
#include "platform/table_follower.h"

namespace quartzhoist::entry {

class Ownerships {
 public:
  // Callbacks with the number of the shard; see Ownership::Events.
  struct Events {
    std::function<void(int shard,
                       std::uint64_t epoch,
                       base::Micros previous_owner_renewal)>
        on_gained;
    std::function<void(int shard)> on_lost;
    std::function<void(int shard, base::Micros sent_at)> on_renewed;
    std::function<ShardLoad(int shard)> load;
    // Called when the store has answered a read of owner rows, or a renewal.
    std::function<void()> on_store_answered;
  };

  // `id` identifies the daemon; `cores` are the processor cores of its box.
  Ownerships(base::Loop& loop,
             platform::Store& store,
             const std::string& id,
             double cores,
             int shards,
             std::uint64_t seed,
             Events events);

  // Gives up all shards for the rest of the process, so that other daemons take
  // over at once.
  void Release();

  Ownership& At(int shard) {
    return *this->rows[static_cast<std::size_t>(shard)];
  }
  // The load of a shard, as last reported by its holder to this daemon. Its
  // waits are empty unless they are known to be current.
  ShardLoad Load(int shard) const;
  // The load of each shard.
  std::vector<ShardLoad> Loads() const;
  // Reads the loads of these shards that are not recent. Calls `on_read` when
  // the store has answered or a time limit has passed, at once if all are
  // recent.
  void RefreshLoads(const std::vector<int>& shards,
                    std::function<void()> on_read);
  // Shards that this daemon holds, in the order in which it acquired them.
  const std::vector<int>& held() const { return this->held_shards; }

 private:
  // Loads that one caller of RefreshLoads() waits for.
  struct LoadRead;

  Ownership::Events EventsOf(int shard);
  platform::TableFollower::Events Feed();
  void ApplyRow(const platform::Row& row, bool removed);
  bool follows_table() const { return this->follower != nullptr; }
  bool IsHeld(int shard) const;
  double CoresFor(int shard) const;
  // Reads the rows of watched shards that are due, after a renewal time.
  void ReadWatchedRows();
  void ReadHomeRow(int shard);
  ShardWatch::Finding FindingOfVisit(base::Micros now);
  void UpdateVisit();
  // Watches the home shards and the visited one.
  void UpdateWatched();

  base::Loop& loop;
  platform::Store& store;
  double cores;
  Events events;
  std::vector<int> held_shards;
  std::vector<std::unique_ptr<Ownership>> rows;       // by shard
  std::unique_ptr<platform::TableFollower> follower;  // null with many shards
  ShardWatch watch;
  std::optional<int> visited;  // the shard whose ownership is watched for it
  bool visited_own_shard = false;  // held when the visit began
  std::uint64_t read_rounds = 0;
  base::Timer read_timer;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_OWNERSHIPS_H_
