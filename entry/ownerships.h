// Ownership of all shards: follows the owner rows through one table feed and
// tracks which shards this daemon holds.

#ifndef ENTRY_OWNERSHIPS_H_
#define ENTRY_OWNERSHIPS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/loop.h"
#include "entry/ownership.h"
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
    // Called with every answer of the store to the owner table's feed.
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
  // Load of each shard, as last reported by its holder.
  std::vector<ShardLoad> Loads() const;
  // Shards that this daemon holds, in the order in which it acquired them.
  const std::vector<int>& held() const { return this->held_shards; }

 private:
  Ownership::Events EventsOf(int shard);
  platform::TableFollower::Events Feed();
  double CoresFor(int shard) const;

  double cores;
  Events events;
  std::vector<int> held_shards;
  std::vector<std::unique_ptr<Ownership>> rows;  // by shard
  platform::TableFollower follower;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_OWNERSHIPS_H_
