#include "entry/ownership.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "base/event_log.h"
#include "entry/beats.h"
#include "entry/timing.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

constexpr base::Micros kLookPeriod = milliseconds(50);
// A beat that is nearer than this is passed over.
constexpr base::Micros kLeastBetween = milliseconds(250);
constexpr base::Micros kRenewalAgain = milliseconds(150);
// Followers wait so much longer at most.
constexpr std::int64_t kSpreadMillis = 200;
// A daemon whose box is weaker than the last holder's by more than this factor
// waits so much longer: a stronger one, if any is left, goes first.
constexpr double kMuchStronger = 1.5;
constexpr base::Micros kWeakerWaits = milliseconds(400);
// A holder on a much weaker box is relieved after it has held for this: each
// change of holders interrupts placement for some 0.3 s.
constexpr base::Micros kRelieveAfter = std::chrono::seconds(2);
// The row is read once it has not changed for this: a feed without news answers
// after 1.5 s only, and the silence of a store that answers nobody is none of
// the holder. Leaves a slow store (60 times 4 ms) 0.3 s until a takeover is
// due.
constexpr base::Micros kLookAfter = milliseconds(1000);
// A gap between the store's answers after which the silence counts anew: the
// holder may have confirmed meanwhile.
constexpr base::Micros kAnswerGap = milliseconds(2600);

}  // namespace

Ownership::Ownership(base::Loop& loop,
                     platform::Store& on,
                     const Shard& shard,
                     std::string who,
                     std::uint64_t seed,
                     Events handlers)
    : store(on),
      row(OwnerRow(shard)),
      is_single(shard.count == 1),
      id(std::move(who)),
      random(seed),
      events(std::move(handlers)),
      timer(loop, [this] { this->Act(); }) {
  this->incarnation = fmt::format("{:016x}", this->random());
  this->unchanged_since = base::MonotonicNow();
  this->patience_draw = this->DrawPatience();
  this->timer.StartEvery(kLookPeriod);
}

void Ownership::StoreAnswered() {
  const base::Micros now = base::MonotonicNow();
  if (now - this->last_answer > kAnswerGap)
    this->unchanged_since = now;
  this->last_answer = now;
}

void Ownership::StoreSilent() {
  this->unchanged_since = base::MonotonicNow();
}

void Ownership::SeeRow(const platform::Row& shown, bool removed) {
  if (shown.at != this->row || shown.version <= this->version)
    return;
  const std::optional<OwnerRecord> seen = DecodeOwner(shown.value);
  if (removed || !seen)
    return;
  const base::Micros now = base::MonotonicNow();
  if (seen->epoch != this->record.epoch)
    this->holder_since = now;
  const bool mine = this->NamesThis(*seen);
  if (!mine)
    this->earlier_confirmed = now;
  this->version = shown.version;
  this->record = *seen;
  this->unchanged_since = now;
  this->patience_draw = this->DrawPatience();
  if (mine)
    this->lease.Made(seen->epoch, seen->beat);
  if (this->holding && !mine)
    this->Lose();
  // An own write whose answer was lost.
  if (!this->holding && mine && !this->released && !this->writing)
    this->Gain();
  if (this->holding && !seen->successor.empty())
    this->MakeWay();
}

bool Ownership::NamesThis(const OwnerRecord& seen) const {
  return seen.holder == this->id && seen.incarnation == this->incarnation;
}

bool Ownership::IsMuchStronger() const {
  return this->events.cores() > kMuchStronger * this->record.cores;
}

// Drawn anew each time, so that one daemon takes over and the others see it.
base::Micros Ownership::DrawPatience() {
  const bool is_free = this->version == 0 || this->record.holder.empty();
  const std::int64_t spread = is_free ? kClaimJitterMillis : kSpreadMillis;
  return milliseconds(this->random() % spread);
}

// A daemon that has come to hold another shard meanwhile waits longer.
base::Micros Ownership::Patience() const {
  const double cores = this->events.cores();
  if (this->version == 0)
    return FirstClaimDelay(cores) + this->patience_draw;
  const bool is_weak = this->record.cores > kMuchStronger * cores;
  return this->patience_draw + (is_weak ? kWeakerWaits : base::Micros::zero());
}

bool Ownership::ShouldTake(base::Micros now) const {
  if (!this->known || this->released)
    return false;
  // The store must be answering: else the holder's silence says nothing.
  if (now - this->last_answer > kAnswerGap)
    return false;
  const base::Micros silent = now - this->unchanged_since;
  const bool is_seen_silent =
      this->last_answer >= this->unchanged_since + kLookAfter;
  const bool is_free = this->version == 0 || this->record.holder.empty();
  const bool was_own = this->record.holder == this->id;
  if (is_free || was_own)
    return silent >= this->Patience();
  return is_seen_silent && silent >= kOwnerSilence + this->Patience();
}

bool Ownership::ShouldLook(base::Micros now) const {
  return this->known && !this->released && !this->looking &&
         this->version > 0 && now >= this->unchanged_since + kLookAfter &&
         this->last_answer < this->unchanged_since + kLookAfter;
}

void Ownership::Look() {
  this->looking = true;
  const platform::ReadQuery query{.table = this->row.table,
                                  .part = this->row.part,
                                  .from = this->row.key,
                                  .to = {},
                                  .limit = 1};
  this->store.Read(query,
                   [this](const std::optional<platform::ReadResult>& result) {
                     this->looking = false;
                     if (!result)
                       return;
                     for (const platform::Row& found : result->rows)
                       this->SeeRow(found, false);
                     this->StoreAnswered();
                   });
}

// A holder on a much weaker box is asked to give up, once; it is not taken over
// while it lives, since what it orders may be on its way.
bool Ownership::ShouldAskForWay(base::Micros now) const {
  return this->known && !this->released && this->version > 0 &&
         !this->record.holder.empty() && this->record.holder != this->id &&
         this->record.successor.empty() && this->IsMuchStronger() &&
         now - this->last_answer <= kAnswerGap &&
         now - this->holder_since >= kRelieveAfter + this->Patience();
}

void Ownership::AskForWay() {
  OwnerRecord next = this->record;
  next.successor = this->id;
  next.cores = this->events.cores();
  this->Write(next, false);
}

// The successor's cores stand in the row that it leaves, so that no weaker
// daemon is quicker.
void Ownership::MakeWay() {
  this->makes_way = true;
  this->Lose();
  if (!this->writing)
    this->WriteRelease();
}

void Ownership::Act() {
  const base::Micros now = base::MonotonicNow();
  if (this->writing)
    return;
  if (this->holding) {
    if (now < this->next_renewal)
      return;
    OwnerRecord next = this->record;
    ++next.beat;
    next.cores = this->events.cores();
    next.load = this->events.load();
    this->Write(next, false);
    return;
  }
  if (this->ShouldAskForWay(now)) {
    this->AskForWay();
    return;
  }
  if (this->ShouldLook(now))
    this->Look();
  if (!this->ShouldTake(now))
    return;
  this->Write({.holder = this->id,
               .incarnation = this->incarnation,
               .epoch = this->record.epoch + 1,
               .beat = 0,
               .cores = this->events.cores(),
               .successor = "",
               .load = this->record.load},
              true);
}

base::Micros Ownership::UntilRenewal(base::Micros now) const {
  if (this->is_single || !this->store.knows_clock())
    return kBeat;
  return UntilBeat(this->store.StoreMillis(now), kLeastBetween);
}

void Ownership::Write(const OwnerRecord& next, bool taking) {
  const base::Micros asked = base::MonotonicNow();
  this->writing = true;
  this->taking_now = taking;
  this->next_renewal = asked + this->UntilRenewal(asked);
  if (this->NamesThis(next))
    this->lease.Asked(next.epoch, next.beat, asked, kOwnerSilence);
  const platform::WriteBatch batch{
      .conditions = {{.at = this->row, .version = this->version}},
      .puts = {{.at = this->row, .value = EncodeOwner(next)}},
      .removes = {}};
  this->store.Write(batch,
                    [this, next, taking](const platform::WriteResult& result) {
                      this->TakeAnswer(result, next, taking);
                    });
}

void Ownership::TakeAnswer(const platform::WriteResult& result,
                           const OwnerRecord& next,
                           bool taking) {
  const base::Micros now = base::MonotonicNow();
  this->writing = false;
  this->taking_now = false;
  this->Settle(result, next, taking, now);
  // The row showed the takeover before its write was answered, or given up.
  if (taking && this->NamesThis(this->record) && !this->holding &&
      !this->released)
    this->Gain();
  // The stop came while another write was on its way.
  const bool may_be_written =
      result.outcome != platform::WriteOutcome::kNotDone &&
      result.outcome != platform::WriteOutcome::kRefused;
  const bool gives_up = this->released || this->makes_way;
  const bool still_named = gives_up && !this->writing &&
                           this->NamesThis(this->record) && may_be_written;
  if (still_named)
    this->WriteRelease();
}

void Ownership::Settle(const platform::WriteResult& result,
                       const OwnerRecord& next,
                       bool taking,
                       base::Micros now) {
  const bool is_own = this->NamesThis(next);
  switch (result.outcome) {
    case platform::WriteOutcome::kDone:
      if (is_own)
        this->lease.Made(next.epoch, next.beat);
      if (result.version > this->version) {
        this->version = result.version;
        this->record = next;
        this->unchanged_since = now;
      }
      if (taking && !this->released)
        this->Gain();
      else if (this->holding)
        this->events.on_confirmed(this->lease.confirmed());
      return;
    case platform::WriteOutcome::kConflict:
      if (is_own)
        this->lease.NotMade(next.epoch, next.beat);
      this->TakeConflict(result);
      return;
    case platform::WriteOutcome::kUnknown:
      // The wait for its answer was long enough.
      this->next_renewal = now;
      this->unchanged_since = taking ? now : this->unchanged_since;
      return;
    case platform::WriteOutcome::kNotDone:
    case platform::WriteOutcome::kRefused:
      if (is_own)
        this->lease.NotMade(next.epoch, next.beat);
      this->next_renewal = now + kRenewalAgain;
      this->unchanged_since = taking ? now : this->unchanged_since;
      return;
  }
}

void Ownership::TakeConflict(const platform::WriteResult& result) {
  for (const platform::Row& there : result.rows)
    this->SeeRow(there, false);
  this->unchanged_since = base::MonotonicNow();
  // An own write whose answer was lost was in the way: the row still names
  // this daemon.
  if (this->holding && !result.rows.empty() &&
      result.rows.front().version == this->version)
    this->events.on_confirmed(this->lease.confirmed());
}

void Ownership::Gain() {
  if (this->holding || this->record.epoch <= this->lost_epoch)
    return;
  this->holding = true;
  this->makes_way = false;
  this->held_epoch = this->record.epoch;
  base::Log(base::Event::kOwnershipGained, {{"shard", this->row.part},
                                            {"epoch", this->record.epoch},
                                            {"version", this->version}});
  this->events.on_gained(this->record.epoch, this->earlier_confirmed);
  this->events.on_confirmed(this->lease.confirmed());
}

void Ownership::Lose() {
  if (!this->holding)
    return;
  this->holding = false;
  this->earlier_confirmed =
      std::max(this->earlier_confirmed, this->lease.confirmed());
  this->lost_epoch = this->held_epoch;
  base::Log(base::Event::kOwnershipLost, {{"shard", this->row.part},
                                          {"epoch", this->record.epoch},
                                          {"holder", this->record.holder}});
  this->events.on_lost();
}

void Ownership::Fenced() {
  // The row tells the new holder soon; until then nothing is confirmed.
  this->Lose();
  this->unchanged_since = base::MonotonicNow();
}

void Ownership::Release() {
  this->released = true;
  if (!this->holding)
    return;
  this->Lose();
  if (!this->writing)
    this->WriteRelease();
}

void Ownership::WriteRelease() {
  OwnerRecord next = this->record;
  next.holder.clear();
  next.successor.clear();
  this->Write(next, false);
}

}  // namespace quartzhoist::entry
