#include "entry/ownership.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "base/event_log.h"
#include "entry/renewal_schedule.h"
#include "entry/store_clock.h"
#include "entry/timing.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

constexpr base::Micros kOwnershipTickPeriod = milliseconds(50);
// A renewal time closer than this to the last write is skipped.
constexpr base::Micros kMinRenewalGap = milliseconds(250);
constexpr base::Micros kRenewalRetryDelay = milliseconds(150);
// Range of the random delay that a daemon adds before a takeover.
constexpr std::int64_t kTakeoverJitterMillis = 200;
// A daemon whose box is weaker than the last holder's by more than this factor
// delays its takeover, so that a stronger one, if any is left, goes first.
constexpr double kMuchStrongerFactor = 1.5;
constexpr base::Micros kWeakerBoxDelay = milliseconds(400);
// A holder on a much weaker box is asked to hand over once it has held the
// shard for this long: each change of holder interrupts placement for some
// 0.3 s.
constexpr base::Micros kHandoverRequestDelay = std::chrono::seconds(2);
// The row is read directly once it has not changed for this long. A feed
// without changes answers only after 1.5 s, and an unresponsive store must not
// be mistaken for a silent holder. Leaves a slow store (60 times 4 ms) 0.3 s to
// answer before a takeover is due.
constexpr base::Micros kReadRowAfter = milliseconds(1000);
// An owner that has not renewed for this long is taken to be lost. Two renewals
// are missing by then; a slow store (60 times 4 ms) delays one by half a
// second.
constexpr std::int64_t kStalledAfterMillis = 1000;
// A new holder repeats its predecessor's figures when it takes over and knows
// all jobs and workers only some renewals later.
constexpr base::Micros kWaitsUnknownAfterTakeover = std::chrono::seconds(1);
// Rows are read again at every renewal time (0.45 s), or for a job when they
// were read more than 0.6 s ago.
constexpr base::Micros kMaxWaitsAge = std::chrono::seconds(1);
// After a longer gap between answers of the store, the holder's silence is
// measured from the new answer: the holder may have renewed during the gap.
constexpr base::Micros kMaxAnswerGap = milliseconds(2600);
// Without an outage answers are at most this far apart: the row is read after
// kReadRowAfter, and a slow store takes up to 0.3 s to answer.
constexpr base::Micros kMaxNormalAnswerGap = milliseconds(1300);
// Time that the holder gets to renew after a shorter outage than kMaxAnswerGap:
// its calls of that time have to run out first.
constexpr base::Micros kRenewalTimeAfterOutage = milliseconds(700);

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
      timer(loop, [this] { this->OnTick(); }) {
  this->incarnation = fmt::format("{:016x}", this->random());
  this->unchanged_since = base::MonotonicNow();
  this->takeover_jitter = this->DrawTakeoverJitter();
  this->UpdateTimer();
}

void Ownership::SetWatched(bool watched) {
  this->is_watched = watched;
  this->UpdateTimer();
}

void Ownership::UpdateTimer() {
  const bool is_active = this->is_watched || this->is_holder;
  if (is_active == this->is_ticking)
    return;
  this->is_ticking = is_active;
  if (is_active)
    this->timer.StartEvery(kOwnershipTickPeriod);
  else
    this->timer.Stop();
}

void Ownership::OnStoreAnswered() {
  const base::Micros now = base::MonotonicNow();
  const base::Micros gap = now - this->last_answer;
  if (gap > kMaxAnswerGap)
    this->unchanged_since = now;
  else if (gap > kMaxNormalAnswerGap)
    this->unchanged_since = std::max(
        this->unchanged_since, now - kOwnerSilence + kRenewalTimeAfterOutage);
  this->last_answer = now;
}

void Ownership::OnFeedLost() {
  this->unchanged_since = base::MonotonicNow();
}

void Ownership::OnRow(const platform::Row& received, bool removed) {
  if (received.at != this->row || received.version <= this->version)
    return;
  const std::optional<OwnerRecord> decoded = DecodeOwner(received.value);
  if (removed || !decoded)
    return;
  const base::Micros now = base::MonotonicNow();
  if (decoded->epoch != this->record.epoch)
    this->holder_since = now;
  const bool is_own = this->IsOwn(*decoded);
  if (!is_own)
    this->previous_owner_renewal = this->LatestRenewal(*decoded, now);
  this->version = received.version;
  this->record = *decoded;
  this->unchanged_since = now;
  this->takeover_jitter = this->DrawTakeoverJitter();
  if (is_own)
    this->lease.OnRenewalWritten(decoded->epoch, decoded->beat);
  if (this->is_holder && !is_own)
    this->Lose();
  // The row contains a write of this daemon whose answer was lost.
  if (!this->is_holder && is_own && !this->released && !this->is_write_pending)
    this->Acquire();
  if (this->is_holder && !decoded->successor.empty())
    this->HandOver();
}

bool Ownership::IsOwn(const OwnerRecord& other) const {
  return other.holder == this->id && other.incarnation == this->incarnation;
}

bool Ownership::IsMuchStronger() const {
  return this->events.cores() > kMuchStrongerFactor * this->record.cores;
}

// Drawn anew for each row version, so that one daemon takes over first and the
// others see its row.
base::Micros Ownership::DrawTakeoverJitter() {
  const bool is_free = this->version == 0 || this->record.holder.empty();
  const std::int64_t spread =
      is_free ? kClaimJitterMillis : kTakeoverJitterMillis;
  return milliseconds(this->random() % spread);
}

// Evaluated anew each time: a daemon that has acquired another shard since has
// fewer cores for this one and waits longer.
base::Micros Ownership::TakeoverDelay() const {
  const double cores = this->events.cores();
  if (this->version == 0)
    return FirstClaimDelay(cores) + this->takeover_jitter;
  return this->takeover_jitter + (this->is_holder_much_stronger()
                                      ? kWeakerBoxDelay
                                      : base::Micros::zero());
}

bool Ownership::ShouldTakeOver(base::Micros now) const {
  if (!this->table_read || this->released)
    return false;
  // While the store does not answer, the holder's silence proves nothing.
  if (now - this->last_answer > kMaxAnswerGap)
    return false;
  const base::Micros silent = now - this->unchanged_since;
  const bool is_seen_silent =
      this->last_answer >= this->unchanged_since + kReadRowAfter;
  const bool is_free = this->version == 0 || this->record.holder.empty();
  const bool was_own = this->record.holder == this->id;
  if (is_free || was_own)
    return silent >= this->TakeoverDelay();
  return is_seen_silent && silent >= kOwnerSilence + this->TakeoverDelay();
}

bool Ownership::is_unsettled(base::Micros now) const {
  const bool is_free = this->version == 0 || this->record.holder.empty();
  return !this->is_holder &&
         (is_free || now - this->unchanged_since >= kReadRowAfter ||
          this->IsMuchStronger());
}

bool Ownership::is_stalled() const {
  if (this->is_holder)
    return false;
  if (this->version == 0 || this->record.holder.empty())
    return true;
  if (this->record.renewed_store_ms == 0 || !this->store.knows_clock())
    return false;
  return this->store.StoreMillis(this->last_answer) -
             this->record.renewed_store_ms >
         kStalledAfterMillis;
}

bool Ownership::has_current_waits(base::Micros now) const {
  if (now - this->holder_since < kWaitsUnknownAfterTakeover)
    return false;
  if (this->is_holder)
    return now - this->lease.last_renewal() < kMaxWaitsAge;
  const bool is_dated =
      this->record.renewed_store_ms > 0 && this->store.knows_clock();
  return is_dated && !this->is_stalled() &&
         now - this->last_answer < kMaxWaitsAge;
}

// A confirmation counts from the first attempt of its renewal, whichever
// attempt is written.
std::int64_t Ownership::RenewalStoreMillis(std::uint64_t epoch,
                                           std::uint64_t beat,
                                           base::Micros now) const {
  return this->StoreMillisOrZero(
      this->lease.FirstAttempt(epoch, beat).value_or(now));
}

std::int64_t Ownership::StoreMillisOrZero(base::Micros at) const {
  return this->store.knows_clock() ? this->store.StoreMillis(at) : 0;
}

// A row may be read long after it was written: by a daemon that has restarted,
// or when the store answers again. Dating its renewal by the reading would
// extend the leases that a new owner waits out.
base::Micros Ownership::LatestRenewal(const OwnerRecord& other,
                                      base::Micros now) const {
  const auto& reading = this->store.clock_reading();
  if (other.renewed_store_ms == 0 || !reading)
    return now;
  return std::min(now, LatestLocalTime(*reading, other.renewed_store_ms));
}

bool Ownership::is_holder_much_stronger() const {
  return this->record.cores > kMuchStrongerFactor * this->events.cores();
}

bool Ownership::ShouldReadRow(base::Micros now) const {
  return this->table_read && !this->released && !this->is_read_pending &&
         this->version > 0 && now >= this->unchanged_since + kReadRowAfter &&
         this->last_answer < this->unchanged_since + kReadRowAfter;
}

// Requests that arrive while a read is in flight share its result.
void Ownership::ReadRow(std::function<void(bool answered)> on_read) {
  this->read_waiters.push_back(std::move(on_read));
  if (this->is_read_pending)
    return;
  this->is_read_pending = true;
  const platform::ReadQuery query{.table = this->row.table,
                                  .part = this->row.part,
                                  .from = this->row.key,
                                  .to = {},
                                  .limit = 1};
  this->store.Read(
      query, [this](const std::optional<platform::ReadResult>& result) {
        this->is_read_pending = false;
        if (result) {
          this->table_read = true;
          for (const platform::Row& found : result->rows)
            this->OnRow(found, false);
          this->OnStoreAnswered();
        }
        for (const auto& waiter : std::exchange(this->read_waiters, {}))
          waiter(result.has_value());
      });
}

// A holder on a much weaker box is asked once to hand over. It is not taken
// over while it is alive, since commands of it may be in flight.
bool Ownership::ShouldRequestHandover(base::Micros now) const {
  return this->table_read && !this->released && this->version > 0 &&
         !this->record.holder.empty() && this->record.holder != this->id &&
         this->record.successor.empty() && this->IsMuchStronger() &&
         now - this->last_answer <= kMaxAnswerGap &&
         now - this->holder_since >=
             kHandoverRequestDelay + this->TakeoverDelay();
}

void Ownership::RequestHandover() {
  OwnerRecord next = this->record;
  next.successor = this->id;
  next.cores = this->events.cores();
  this->Write(next, false);
}

// The released row carries the successor's core count, which delays weaker
// daemons.
void Ownership::HandOver() {
  this->is_handing_over = true;
  this->Lose();
  if (!this->is_write_pending)
    this->WriteRelease();
}

void Ownership::OnTick() {
  const base::Micros now = base::MonotonicNow();
  if (this->is_write_pending)
    return;
  if (this->is_holder) {
    if (now < this->next_renewal)
      return;
    OwnerRecord next = this->record;
    ++next.beat;
    next.cores = this->events.cores();
    next.load = this->events.load();
    next.renewed_store_ms =
        this->RenewalStoreMillis(next.epoch, next.beat, now);
    this->Write(next, false);
    return;
  }
  if (this->ShouldRequestHandover(now)) {
    this->RequestHandover();
    return;
  }
  if (this->ShouldReadRow(now))
    this->ReadRow([](bool) {});
  if (!this->ShouldTakeOver(now))
    return;
  // Dated by this attempt: an earlier one may have failed before the holder's
  // last renewal, whose leases an owner after this one waits out.
  this->Write({.holder = this->id,
               .incarnation = this->incarnation,
               .epoch = this->record.epoch + 1,
               .beat = 0,
               .cores = this->events.cores(),
               .successor = "",
               .load = this->record.load,
               .renewed_store_ms = this->StoreMillisOrZero(now)},
              true);
}

base::Micros Ownership::NextRenewalDelay(base::Micros now) const {
  if (this->is_single || !this->store.knows_clock())
    return kRenewalPeriod;
  return TimeUntilRenewal(this->store.StoreMillis(now), kMinRenewalGap);
}

void Ownership::Write(const OwnerRecord& next, bool is_takeover) {
  const base::Micros sent_at = base::MonotonicNow();
  this->is_write_pending = true;
  this->takeover_pending = is_takeover;
  this->next_renewal = sent_at + this->NextRenewalDelay(sent_at);
  if (this->IsOwn(next))
    this->lease.OnRenewalSent(next.epoch, next.beat, sent_at, kOwnerSilence);
  const platform::WriteBatch batch{
      .conditions = {{.at = this->row, .version = this->version}},
      .puts = {{.at = this->row, .value = EncodeOwner(next)}},
      .removes = {}};
  this->store.Write(
      batch, [this, next, is_takeover](const platform::WriteResult& result) {
        this->OnWriteResult(result, next, is_takeover);
      });
}

void Ownership::OnWriteResult(const platform::WriteResult& result,
                              const OwnerRecord& next,
                              bool is_takeover) {
  const base::Micros now = base::MonotonicNow();
  this->is_write_pending = false;
  this->takeover_pending = false;
  this->ApplyWriteResult(result, next, is_takeover, now);
  // The row was received before the takeover write completed or timed out.
  if (is_takeover && this->IsOwn(this->record) && !this->is_holder &&
      !this->released)
    this->Acquire();
  // Release() or HandOver() was called while this write was in flight.
  const bool may_be_written =
      result.outcome != platform::WriteOutcome::kNotDone &&
      result.outcome != platform::WriteOutcome::kRefused;
  const bool gives_up = this->released || this->is_handing_over;
  const bool still_named = gives_up && !this->is_write_pending &&
                           this->IsOwn(this->record) && may_be_written;
  if (still_named)
    this->WriteRelease();
}

void Ownership::ApplyWriteResult(const platform::WriteResult& result,
                                 const OwnerRecord& next,
                                 bool is_takeover,
                                 base::Micros now) {
  const bool is_own = this->IsOwn(next);
  switch (result.outcome) {
    case platform::WriteOutcome::kDone:
      if (is_own)
        this->lease.OnRenewalWritten(next.epoch, next.beat);
      if (result.version > this->version) {
        this->version = result.version;
        this->record = next;
        this->unchanged_since = now;
      }
      if (is_takeover && !this->released)
        this->Acquire();
      else if (this->is_holder)
        this->events.on_renewed(this->lease.last_renewal());
      return;
    case platform::WriteOutcome::kConflict:
      if (is_own)
        this->lease.OnRenewalNotWritten(next.epoch, next.beat);
      this->OnConflict(result);
      return;
    case platform::WriteOutcome::kUnknown:
      // The wait for the answer was long enough; renew without another delay.
      this->next_renewal = now;
      this->unchanged_since = is_takeover ? now : this->unchanged_since;
      return;
    case platform::WriteOutcome::kNotDone:
    case platform::WriteOutcome::kRefused:
      if (is_own)
        this->lease.OnRenewalNotWritten(next.epoch, next.beat);
      this->next_renewal = now + kRenewalRetryDelay;
      this->unchanged_since = is_takeover ? now : this->unchanged_since;
      return;
  }
}

void Ownership::OnConflict(const platform::WriteResult& result) {
  for (const platform::Row& current : result.rows)
    this->OnRow(current, false);
  this->unchanged_since = base::MonotonicNow();
  // The conflicting write was made by this daemon, and its answer was lost: the
  // row still names this daemon.
  if (this->is_holder && !result.rows.empty() &&
      result.rows.front().version == this->version)
    this->events.on_renewed(this->lease.last_renewal());
}

void Ownership::Acquire() {
  if (this->is_holder || this->record.epoch <= this->lost_epoch)
    return;
  this->is_holder = true;
  this->holder_since = base::MonotonicNow();
  this->UpdateTimer();
  this->is_handing_over = false;
  this->held_epoch = this->record.epoch;
  const bool had_owner = this->previous_owner_renewal > base::Micros::zero();
  const base::Micros renewed_ago =
      base::MonotonicNow() - this->previous_owner_renewal;
  base::Log(
      base::Event::kOwnershipGained,
      {{"shard", this->row.part},
       {"epoch", this->record.epoch},
       {"version", this->version},
       {"earlier_renewed_ms", had_owner ? base::Millis(renewed_ago) : -1}});
  this->events.on_gained(this->record.epoch, this->previous_owner_renewal);
  this->events.on_renewed(this->lease.last_renewal());
}

void Ownership::Lose() {
  if (!this->is_holder)
    return;
  this->is_holder = false;
  this->UpdateTimer();
  this->previous_owner_renewal =
      std::max(this->previous_owner_renewal, this->lease.last_renewal());
  this->lost_epoch = this->held_epoch;
  base::Log(base::Event::kOwnershipLost, {{"shard", this->row.part},
                                          {"epoch", this->record.epoch},
                                          {"holder", this->record.holder}});
  this->events.on_lost();
}

void Ownership::OnFenced() {
  // The row of the new holder will follow; until then this daemon renews
  // nothing.
  this->Lose();
  this->unchanged_since = base::MonotonicNow();
}

void Ownership::Release() {
  this->released = true;
  if (!this->is_holder)
    return;
  this->Lose();
  if (!this->is_write_pending)
    this->WriteRelease();
}

void Ownership::WriteRelease() {
  OwnerRecord next = this->record;
  next.holder.clear();
  next.successor.clear();
  this->Write(next, false);
}

}  // namespace quartzhoist::entry
