#include "entry/ownerships.h"

#include <algorithm>
#include <utility>

#include "entry/renewal_schedule.h"

namespace quartzhoist::entry {

namespace {

// Delay of a read of the owner table after a renewal time. Holders check every
// 50 ms whether to renew, and a fast store answers in about 9 ms. One read then
// returns the renewals of all holders; a read after each change took 32,540
// store calls in a calm day of 50 s (97 daemons, four holders, calls counted by
// table).
constexpr base::Micros kReadDelayAfterRenewal = std::chrono::milliseconds(80);
// Pause between reads while the store's clock is unknown.
constexpr base::Micros kReadPauseWithoutClock = std::chrono::milliseconds(150);

platform::TableFollower::Pace PaceFor(const platform::Store& store,
                                      int shards) {
  platform::TableFollower::Pace pace;
  if (shards == 1)
    return pace;
  pace.pause = [&store] {
    if (!store.knows_clock())
      return kReadPauseWithoutClock;
    const std::int64_t now = store.StoreMillis(base::MonotonicNow());
    return TimeUntilRenewal(now, -kReadDelayAfterRenewal + base::Micros(1)) +
           kReadDelayAfterRenewal;
  };
  return pace;
}

}  // namespace

Ownerships::Ownerships(base::Loop& loop,
                       platform::Store& store,
                       const std::string& id,
                       double own_cores,
                       int shards,
                       std::uint64_t seed,
                       Events handlers)
    : cores(own_cores),
      events(std::move(handlers)),
      follower(loop,
               store,
               std::string(kOwnerTable),
               ShardParts(kOwnerTable, shards),
               this->Feed(),
               PaceFor(store, shards)) {
  for (int shard = 0; shard < shards; ++shard) {
    this->rows.push_back(std::make_unique<Ownership>(
        loop, store, Shard{.number = shard, .count = shards}, id,
        seed + static_cast<std::uint64_t>(shard), this->EventsOf(shard)));
  }
}

platform::TableFollower::Events Ownerships::Feed() {
  return {.on_all =
              [this](const std::vector<platform::Row>& all) {
                for (const auto& ownership : this->rows) {
                  ownership->OnTableRead();
                  for (const platform::Row& row : all)
                    ownership->OnRow(row, false);
                }
              },
          .on_changes =
              [this](const std::vector<platform::ChangedRow>& changes) {
                for (const auto& ownership : this->rows) {
                  for (const platform::ChangedRow& changed : changes)
                    ownership->OnRow(changed.row, changed.removed);
                }
              },
          .on_contact =
              [this](base::Micros) {
                for (const auto& ownership : this->rows)
                  ownership->OnStoreAnswered();
                this->events.on_store_answered();
              },
          .on_lost =
              [this] {
                for (const auto& ownership : this->rows)
                  ownership->OnFeedLost();
              }};
}

Ownership::Events Ownerships::EventsOf(int shard) {
  return {.on_gained =
              [this, shard](std::uint64_t epoch,
                            base::Micros previous_owner_renewal) {
                this->held_shards.push_back(shard);
                this->events.on_gained(shard, epoch, previous_owner_renewal);
              },
          .on_lost =
              [this, shard] {
                std::erase(this->held_shards, shard);
                this->events.on_lost(shard);
              },
          .on_renewed =
              [this, shard](base::Micros sent_at) {
                this->events.on_renewed(shard, sent_at);
              },
          .cores = [this, shard] { return this->CoresFor(shard); },
          .load = [this, shard] { return this->events.load(shard); }};
}

// The shards that a daemon holds share its processor. Each further shard counts
// with fewer cores, so that a daemon without a shard takes it over first. The
// first shard counts with all cores, so that other daemons request a handover
// of the later ones only.
double Ownerships::CoresFor(int shard) const {
  const auto at =
      std::find(this->held_shards.begin(), this->held_shards.end(), shard);
  auto earlier_shards = static_cast<double>(at - this->held_shards.begin());
  if (at == this->held_shards.end()) {
    for (const auto& other : this->rows)
      earlier_shards += other->is_takeover_pending();
  }
  return this->cores / (1.0 + earlier_shards);
}

std::vector<ShardLoad> Ownerships::Loads() const {
  std::vector<ShardLoad> loads;
  for (const auto& ownership : this->rows)
    loads.push_back(ownership->load());
  return loads;
}

void Ownerships::Release() {
  for (const auto& ownership : this->rows)
    ownership->Release();
}

}  // namespace quartzhoist::entry
