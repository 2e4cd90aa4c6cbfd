#include "entry/ownerships.h"

#include <algorithm>
#include <utility>

#include "entry/beats.h"

namespace quartzhoist::entry {

namespace {

// A look at the owner table follows a beat by this: the holders' loops turn
// each 50 ms, and a quick store takes some 9 ms. One look shows the beats of
// all holders; a look at each change took 32,540 calls of the store on a calm
// day of 50 s (97 daemons, four holders, counted by table).
constexpr base::Micros kAfterBeat = std::chrono::milliseconds(80);
// While the store's clock is not known.
constexpr base::Micros kPauseWithoutClock = std::chrono::milliseconds(150);

platform::TableFollower::Pace PaceFor(const platform::Store& store,
                                      int shards) {
  platform::TableFollower::Pace pace;
  if (shards == 1)
    return pace;
  pace.pause = [&store] {
    if (!store.knows_clock())
      return kPauseWithoutClock;
    const std::int64_t now = store.StoreMillis(base::MonotonicNow());
    return UntilBeat(now, -kAfterBeat + base::Micros(1)) + kAfterBeat;
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
                  ownership->TableRead();
                  for (const platform::Row& row : all)
                    ownership->SeeRow(row, false);
                }
              },
          .on_changes =
              [this](const std::vector<platform::ChangedRow>& changes) {
                for (const auto& ownership : this->rows) {
                  for (const platform::ChangedRow& changed : changes)
                    ownership->SeeRow(changed.row, changed.removed);
                }
              },
          .on_contact =
              [this](base::Micros) {
                for (const auto& ownership : this->rows)
                  ownership->StoreAnswered();
                this->events.on_store_answered();
              },
          .on_lost =
              [this] {
                for (const auto& ownership : this->rows)
                  ownership->StoreSilent();
              }};
}

Ownership::Events Ownerships::EventsOf(int shard) {
  return {
      .on_gained =
          [this, shard](std::uint64_t epoch, base::Micros earlier_confirmed) {
            this->held_shards.push_back(shard);
            this->events.on_gained(shard, epoch, earlier_confirmed);
          },
      .on_lost =
          [this, shard] {
            std::erase(this->held_shards, shard);
            this->events.on_lost(shard);
          },
      .on_confirmed =
          [this, shard](base::Micros asked) {
            this->events.on_confirmed(shard, asked);
          },
      .cores = [this, shard] { return this->CoresFor(shard); },
      .load = [this, shard] { return this->events.load(shard); }};
}

// A daemon's processor is shared by what it holds: with each further shard it
// counts as a weaker box, so that one which holds none goes first. The shard
// that it came to first keeps counting whole, so that only the later ones are
// asked for.
double Ownerships::CoresFor(int shard) const {
  const auto at =
      std::find(this->held_shards.begin(), this->held_shards.end(), shard);
  auto before = static_cast<double>(at - this->held_shards.begin());
  if (at == this->held_shards.end()) {
    for (const auto& other : this->rows)
      before += other->is_taking();
  }
  return this->cores / (1.0 + before);
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
