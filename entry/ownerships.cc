#include "entry/ownerships.h"

#include <algorithm>
#include <cstddef>
#include <optional>
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

// A load that was read this recently is not read again for another job.
constexpr base::Micros kMaxLoadAge = std::chrono::milliseconds(600);
// A job waits this long at most for the loads. A slow store answers in some
// 300 ms.
constexpr base::Micros kLoadTimeout = std::chrono::milliseconds(500);
// A daemon that would wait for stronger ones before a takeover reads at every
// second renewal time only.
constexpr std::uint64_t kWeakBoxReadPeriods = 2;

// Time until the next read of owner rows, which follows a renewal time.
base::Micros TimeUntilRead(const platform::Store& store) {
  if (!store.knows_clock())
    return kReadPauseWithoutClock;
  const std::int64_t now = store.StoreMillis(base::MonotonicNow());
  return TimeUntilRenewal(now, -kReadDelayAfterRenewal + base::Micros(1)) +
         kReadDelayAfterRenewal;
}

platform::TableFollower::Pace PaceFor(const platform::Store& store,
                                      int shards) {
  platform::TableFollower::Pace pace;
  if (shards > 1)
    pace.pause = [&store] { return TimeUntilRead(store); };
  return pace;
}

}  // namespace

struct Ownerships::LoadRead {
  explicit LoadRead(base::Loop& loop)
      : timeout(loop, [this] { this->Finish(); }) {}

  void Finish() {
    this->timeout.Stop();
    if (this->on_read)
      std::exchange(this->on_read, nullptr)();
  }

  std::size_t pending = 0;
  std::function<void()> on_read;
  base::Timer timeout;
};

Ownerships::Ownerships(base::Loop& on,
                       platform::Store& rows_in,
                       const std::string& id,
                       double own_cores,
                       int shards,
                       std::uint64_t seed,
                       Events handlers)
    : loop(on),
      store(rows_in),
      cores(own_cores),
      events(std::move(handlers)),
      watch(id, own_cores, shards, seed),
      read_timer(on, [this] { this->ReadWatchedRows(); }) {
  for (int shard = 0; shard < shards; ++shard) {
    this->rows.push_back(std::make_unique<Ownership>(
        on, rows_in, Shard{.number = shard, .count = shards}, id,
        seed + static_cast<std::uint64_t>(shard), this->EventsOf(shard)));
  }
  if (shards <= kMaxFollowedShards) {
    this->follower = std::make_unique<platform::TableFollower>(
        on, rows_in, std::string(kOwnerTable), ShardParts(kOwnerTable, shards),
        this->Feed(), PaceFor(rows_in, shards));
    return;
  }
  this->UpdateWatched();
  this->ReadWatchedRows();
}

void Ownerships::UpdateWatched() {
  if (this->follows_table())
    return;
  this->watch.SetHeldShards(this->held_shards.size());
  const int shards = static_cast<int>(this->rows.size());
  for (int shard = 0; shard < shards; ++shard) {
    const bool is_visited = this->visited == shard && !this->visited_own_shard;
    this->At(shard).SetWatched(is_visited || this->watch.IsHome(shard));
  }
}

platform::TableFollower::Events Ownerships::Feed() {
  return {.on_all =
              [this](const std::vector<platform::Row>& all) {
                for (const auto& ownership : this->rows)
                  ownership->OnTableRead();
                for (const platform::Row& row : all)
                  this->ApplyRow(row, false);
              },
          .on_changes =
              [this](const std::vector<platform::ChangedRow>& changes) {
                for (const platform::ChangedRow& changed : changes)
                  this->ApplyRow(changed.row, changed.removed);
              },
          .on_contact =
              [this](std::optional<base::Micros>) {
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

void Ownerships::ApplyRow(const platform::Row& row, bool removed) {
  for (const auto& ownership : this->rows) {
    if (ownership->row_key() == row.at)
      ownership->OnRow(row, removed);
  }
}

bool Ownerships::IsHeld(int shard) const {
  return std::find(this->held_shards.begin(), this->held_shards.end(), shard) !=
         this->held_shards.end();
}

void Ownerships::ReadWatchedRows() {
  this->read_timer.StartOnce(TimeUntilRead(this->store));
  ++this->read_rounds;
  const std::vector<int> home = this->watch.home();
  for (const int shard : home) {
    const bool is_due = !this->At(shard).is_holder_much_stronger() ||
                        this->read_rounds % kWeakBoxReadPeriods == 0;
    if (is_due && !this->IsHeld(shard))
      this->ReadHomeRow(shard);
  }
  this->UpdateVisit();
}

// While the part of the store with the row does not answer, a visit tells
// whether other parts do.
void Ownerships::ReadHomeRow(int shard) {
  this->At(shard).ReadRow([this, shard](bool answered) {
    if (answered) {
      this->events.on_store_answered();
      return;
    }
    this->At(shard).OnFeedLost();
    this->watch.VisitNow(base::MonotonicNow());
    this->UpdateVisit();
  });
}

ShardWatch::Finding Ownerships::FindingOfVisit(base::Micros now) {
  if (!this->visited || this->visited_own_shard)
    return ShardWatch::Finding::kRenewed;
  if (this->IsHeld(*this->visited))
    return ShardWatch::Finding::kHeld;
  return this->At(*this->visited).is_unsettled(now)
             ? ShardWatch::Finding::kUnsettled
             : ShardWatch::Finding::kRenewed;
}

// The ownership of a visited shard reads its row again by itself once it has
// not changed for a second.
void Ownerships::UpdateVisit() {
  const base::Micros now = base::MonotonicNow();
  this->watch.Advance(now, this->FindingOfVisit(now));
  const std::optional<int> next = this->watch.visited();
  if (next == this->visited)
    return;
  this->visited = next;
  this->visited_own_shard = next && this->IsHeld(*next);
  this->UpdateWatched();
  if (!next || this->visited_own_shard)
    return;
  this->At(*next).ReadRow([this](bool answered) {
    if (answered)
      this->events.on_store_answered();
  });
}

void Ownerships::RefreshLoads(const std::vector<int>& shards,
                              std::function<void()> on_read) {
  const base::Micros now = base::MonotonicNow();
  std::vector<int> outdated;
  for (const int shard : shards) {
    const bool is_recent = this->follows_table() || this->IsHeld(shard) ||
                           now - this->At(shard).last_read() < kMaxLoadAge;
    if (!is_recent)
      outdated.push_back(shard);
  }
  if (outdated.empty()) {
    on_read();
    return;
  }
  const auto read = std::make_shared<LoadRead>(this->loop);
  read->pending = outdated.size();
  read->on_read = std::move(on_read);
  read->timeout.StartOnce(kLoadTimeout);
  for (const int shard : outdated) {
    this->At(shard).ReadRow([read](bool) {
      if (--read->pending == 0)
        read->Finish();
    });
  }
}

Ownership::Events Ownerships::EventsOf(int shard) {
  return {.on_gained =
              [this, shard](std::uint64_t epoch,
                            base::Micros previous_owner_renewal) {
                this->held_shards.push_back(shard);
                this->UpdateWatched();
                this->events.on_gained(shard, epoch, previous_owner_renewal);
              },
          .on_lost =
              [this, shard] {
                std::erase(this->held_shards, shard);
                this->UpdateWatched();
                this->events.on_lost(shard);
              },
          .on_renewed =
              [this, shard](base::Micros sent_at) {
                // With a feed, only its answers show that changes of all rows
                // are received.
                if (!this->follows_table())
                  this->events.on_store_answered();
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

// Jobs are rejected by waits, so that they must hold now. Older figures of the
// load still tell which shard is likely to be the less loaded one.
ShardLoad Ownerships::Load(int shard) const {
  const Ownership& ownership = *this->rows[static_cast<std::size_t>(shard)];
  ShardLoad load = ownership.load();
  load.is_stalled = ownership.is_stalled();
  if (!ownership.has_current_waits(base::MonotonicNow())) {
    load.waits.clear();
    load.over_rate.clear();
  }
  return load;
}

std::vector<ShardLoad> Ownerships::Loads() const {
  std::vector<ShardLoad> loads;
  for (std::size_t shard = 0; shard < this->rows.size(); ++shard)
    loads.push_back(this->Load(static_cast<int>(shard)));
  return loads;
}

void Ownerships::Release() {
  for (const auto& ownership : this->rows)
    ownership->Release();
}

}  // namespace quartzhoist::entry
