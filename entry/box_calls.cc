#include "entry/box_calls.h"

#include <chrono>
#include <optional>
#include <utility>

#include "base/event_log.h"
#include "entry/tables.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

constexpr base::Micros kAgain = milliseconds(200);
// What is settled is removed with the next call that is recorded, or after
// this, so that a height of moves costs a write for each plan and not two. A
// moved box serves again after 1.5 s (move_s): nothing runs on it before.
constexpr base::Micros kRemoveAfter = milliseconds(500);

std::string BoxOf(const scheduler::BoxCall& call) {
  return std::visit([](const auto& one) { return one.box; }, call);
}

}  // namespace

BoxCalls::BoxCalls(platform::Store& on,
                   const Shard& shard,
                   std::uint64_t own_epoch,
                   Events handlers)
    : store(on),
      row(ShardRowKey(kBoxCallTable, kBoxCallKey, shard)),
      epoch(own_epoch),
      events(std::move(handlers)),
      alive(std::make_shared<bool>(true)) {}

BoxCalls::~BoxCalls() {
  *this->alive = false;
}

void BoxCalls::Ask(const scheduler::BoxCall& call) {
  this->waiting[BoxOf(call)] = call;
}

void BoxCalls::Act(const std::function<bool(const std::string& box)>& is_open,
                   base::Micros now) {
  if (this->busy || now < this->next_try)
    return;
  if (!this->has_read) {
    this->Read();
    return;
  }
  if (!this->is_claimed) {
    this->Claim();
    return;
  }
  const auto settled = std::erase_if(
      this->recorded,
      [&is_open](const auto& entry) { return !is_open(entry.first); });
  if (settled > 0 && !this->is_stale) {
    this->is_stale = true;
    this->next_removal = now + kRemoveAfter;
  }
  if (!this->waiting.empty() || (this->is_stale && now >= this->next_removal))
    this->Record();
}

void BoxCalls::Read() {
  this->busy = true;
  const platform::ReadQuery query{.table = this->row.table,
                                  .part = this->row.part,
                                  .from = this->row.key,
                                  .to = {},
                                  .limit = 1};
  this->store.Read(
      query, [this, lives = this->alive](
                 const std::optional<platform::ReadResult>& result) {
        if (!*lives)
          return;
        this->busy = false;
        if (!result) {
          this->next_try = base::MonotonicNow() + kAgain;
          return;
        }
        this->has_read = true;
        for (const platform::Row& found : result->rows) {
          if (found.at.key == this->row.key && !this->TakeRow(found)) {
            this->events.on_fenced();
            return;
          }
        }
        this->Claim();
      });
}

// An earlier owner's write that is still on its way does not fit any more.
void BoxCalls::Claim() {
  this->Write(this->recorded, [this](const platform::WriteResult& result) {
    this->TakeClaim(result);
  });
}

void BoxCalls::TakeClaim(const platform::WriteResult& result) {
  switch (result.outcome) {
    case platform::WriteOutcome::kDone:
      this->Claimed(result.version);
      return;
    case platform::WriteOutcome::kConflict:
      if (const platform::Row* own = this->FindOwnWrite(result))
        this->Claimed(own->version);
      else if (!result.rows.empty() && !this->TakeRow(result.rows.front()))
        this->events.on_fenced();
      else
        this->Claim();
      return;
    case platform::WriteOutcome::kUnknown:
      // The wait for its answer was long enough.
      this->Claim();
      return;
    case platform::WriteOutcome::kNotDone:
    case platform::WriteOutcome::kRefused:
      this->next_try = base::MonotonicNow() + kAgain;
      return;
  }
}

void BoxCalls::Claimed(std::uint64_t at) {
  this->version = at;
  this->is_claimed = true;
  std::vector<scheduler::BoxCall> calls;
  for (const auto& [box, call] : this->recorded)
    calls.push_back(call);
  this->events.on_claimed(calls);
}

// The write that was in the way is the one that was made, with its answer lost.
const platform::Row* BoxCalls::FindOwnWrite(
    const platform::WriteResult& result) const {
  const bool is_own =
      !result.rows.empty() && result.rows.front().value == this->written_text;
  return is_own ? &result.rows.front() : nullptr;
}

void BoxCalls::Record() {
  this->writing = std::exchange(this->waiting, {});
  CallsByBox calls = this->recorded;
  for (const auto& [box, call] : this->writing)
    calls[box] = call;
  this->Write(calls, [this](const platform::WriteResult& result) {
    this->TakeRecorded(result);
  });
}

void BoxCalls::TakeRecorded(const platform::WriteResult& result) {
  CallsByBox written = std::exchange(this->writing, {});
  switch (result.outcome) {
    case platform::WriteOutcome::kDone:
      this->Recorded(written, result.version);
      return;
    case platform::WriteOutcome::kConflict:
      if (const platform::Row* own = this->FindOwnWrite(result)) {
        this->Recorded(written, own->version);
        return;
      }
      if (!result.rows.empty() && !this->TakeRow(result.rows.front())) {
        this->events.on_fenced();
        return;
      }
      break;
    case platform::WriteOutcome::kUnknown:
      // The wait for its answer was long enough.
      break;
    case platform::WriteOutcome::kNotDone:
      this->next_try = base::MonotonicNow() + kAgain;
      break;
    case platform::WriteOutcome::kRefused:
      this->next_try = base::MonotonicNow() + kAgain;
      for (const auto& [box, call] : written)
        this->events.on_refused(call);
      return;
  }
  this->waiting.merge(written);
}

void BoxCalls::Recorded(const CallsByBox& written, std::uint64_t at) {
  this->version = at;
  this->is_stale = false;
  for (const auto& [box, call] : written) {
    this->recorded[box] = call;
    this->events.on_recorded(call);
  }
}

bool BoxCalls::TakeRow(const platform::Row& found) {
  // A row that cannot be read is written anew, under its version.
  this->version = found.version;
  const auto record = DecodeBoxCalls(found.value);
  if (!record) {
    base::Log(base::Event::kRowMalformed, {{"row", found.at.key}});
    return true;
  }
  if (record->epoch > this->epoch)
    return false;
  // Once it is claimed, nobody else's calls come into it.
  if (this->is_claimed)
    return true;
  this->recorded.clear();
  for (const scheduler::BoxCall& call : record->calls)
    this->recorded[BoxOf(call)] = call;
  return true;
}

void BoxCalls::Write(const CallsByBox& calls,
                     std::function<void(const platform::WriteResult&)> done) {
  BoxCallRecord record{.epoch = this->epoch, .calls = {}};
  for (const auto& [box, call] : calls)
    record.calls.push_back(call);
  this->written_text = EncodeBoxCalls(record);
  const platform::WriteBatch write{
      .conditions = {{.at = this->row, .version = this->version}},
      .puts = {{.at = this->row, .value = this->written_text}},
      .removes = {}};
  this->busy = true;
  this->store.Write(write, [this, done = std::move(done), lives = this->alive](
                               const platform::WriteResult& result) {
    if (!*lives)
      return;
    this->busy = false;
    done(result);
  });
}

}  // namespace quartzhoist::entry
