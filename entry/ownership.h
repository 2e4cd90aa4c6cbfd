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
    // No holder before this one was confirmed after `earlier_confirmed`.
    std::function<void(std::uint64_t epoch, base::Micros earlier_confirmed)>
        on_gained;
    std::function<void()> on_lost;
    // The row holds a confirmation that was first asked for at `asked`; calls
    // for boxes leave before certain_until().
    std::function<void(base::Micros asked)> on_confirmed;
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
  void TableRead() { this->known = true; }
  void SeeRow(const platform::Row& row, bool removed);
  void StoreAnswered();
  void StoreSilent();

  // Gives it up, for good: others take over at once.
  void Release();
  // A worker has seen a higher epoch: it is lost, whatever the row says.
  void Fenced();

  bool holds() const { return this->holding; }
  // Its own write of a takeover is on its way.
  bool is_taking() const { return this->taking_now; }
  // No other daemon takes over before this, with some slack for what is on its
  // way.
  base::Micros certain_until() const { return this->lease.certain_until(); }
  const std::string& holder() const { return this->record.holder; }
  std::uint64_t epoch() const { return this->record.epoch; }
  // As the holder last said.
  const ShardLoad& load() const { return this->record.load; }

 private:
  void Act();
  bool ShouldTake(base::Micros now) const;
  bool ShouldAskForWay(base::Micros now) const;
  void AskForWay();
  bool ShouldLook(base::Micros now) const;
  void Look();
  void MakeWay();
  bool IsMuchStronger() const;
  base::Micros DrawPatience();
  base::Micros Patience() const;
  bool NamesThis(const OwnerRecord& seen) const;
  base::Micros UntilRenewal(base::Micros now) const;
  void Write(const OwnerRecord& next, bool taking);
  void TakeAnswer(const platform::WriteResult& result,
                  const OwnerRecord& next,
                  bool taking);
  void Settle(const platform::WriteResult& result,
              const OwnerRecord& next,
              bool taking,
              base::Micros now);
  void WriteRelease();
  void TakeConflict(const platform::WriteResult& result);
  void Gain();
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
  bool known = false;         // the row, or its absence, has been seen
  bool holding = false;
  bool released = false;
  bool makes_way = false;  // gives up for a stronger one
  bool writing = false;
  bool taking_now = false;
  bool looking = false;  // reads the row before it takes over
  // The last epochs that this daemon held, and lost: an old row that shows up
  // late does not bring one back.
  std::uint64_t held_epoch = 0;
  std::uint64_t lost_epoch = 0;
  base::Micros unchanged_since{};
  // When the last row of another holder was first seen: none of them was
  // confirmed later.
  base::Micros earlier_confirmed{};
  base::Micros holder_since{};  // when the present holder was first seen
  base::Micros last_answer{};
  base::Micros next_renewal{};
  base::Micros
      patience_draw{};  // of the wait until a silent holder is replaced
  base::Timer timer;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_OWNERSHIP_H_
