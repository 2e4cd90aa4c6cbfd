// The owner rows of all shards, followed by one feed, and which of them this
// daemon holds.

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
  // What comes of the shard of this number; see Ownership::Events.
  struct Events {
    std::function<void(int shard,
                       std::uint64_t epoch,
                       base::Micros previous_owner_renewal)>
        on_gained;
    std::function<void(int shard)> on_lost;
    std::function<void(int shard, base::Micros sent_at)> on_renewed;
    std::function<ShardLoad(int shard)> load;
    // The store answered this daemon.
    std::function<void()> on_store_answered;
  };

  // `id` names the daemon, `cores` is its box's share of a processor.
  Ownerships(base::Loop& loop,
             platform::Store& store,
             const std::string& id,
             double cores,
             int shards,
             std::uint64_t seed,
             Events events);

  // Gives all of them up, for good: others take over at once.
  void Release();

  Ownership& At(int shard) {
    return *this->rows[static_cast<std::size_t>(shard)];
  }
  // How each shard stands, as its holder last said.
  std::vector<ShardLoad> Loads() const;
  // Shards that this daemon holds, in the order in which it came to them.
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
