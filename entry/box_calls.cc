#include "entry/box_calls.h"

#include <chrono>
#include <optional>
#include <utility>

#include "base/event_log.h"
#include "entry/tables.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

constexpr base::Micros kRetryDelay = milliseconds(200);
// Settled calls are removed with the next record, or after this delay, so that
// a burst of moves costs one write per plan instead of two. A moved box serves
// again after 1.5 s (move_s); nothing runs on it before.
constexpr base::Micros kRemovalDelay = milliseconds(500);

std::string BoxOf(const scheduler::BoxCall& call) {
  return std::visit([](const auto& one) { return one.box; }, call);
}

}  // namespace

BoxCalls::BoxCalls(platform::Store& store,
                   const Shard& shard,
                   std::uint64_t epoch,
                   Events events)
    : store(store),
      row(ShardRowKey(kBoxCallTable, kBoxCallKey, shard)),
      epoch(epoch),
      events(std::move(events)),
      alive(std::make_shared<bool>(true)) {}

BoxCalls::~BoxCalls() {
  *this->alive = false;
}

void BoxCalls::Add(const scheduler::BoxCall& call) {
  this->pending[BoxOf(call)] = call;
}

void BoxCalls::Sync(const std::function<bool(const std::string& box)>& is_open,
                    base::Micros now) {
  if (this->store_call_in_flight || now < this->next_attempt)
    return;
  if (!this->has_read) {
    this->Read();
    return;
  }
  if (!this->is_claimed) {
    this->Claim();
    return;
  }
  const auto settled_count = std::erase_if(
      this->recorded,
      [&is_open](const auto& entry) { return !is_open(entry.first); });
  if (settled_count > 0 && !this->row_has_settled_calls) {
    this->row_has_settled_calls = true;
    this->next_removal = now + kRemovalDelay;
  }
  if (!this->pending.empty() ||
      (this->row_has_settled_calls && now >= this->next_removal))
    this->Record();
}

void BoxCalls::Read() {
  this->store_call_in_flight = true;
  const platform::ReadQuery query{.table = this->row.table,
                                  .part = this->row.part,
                                  .from = this->row.key,
                                  .to = {},
                                  .limit = 1};
  this->store.Read(
      query, [this, alive = this->alive](
                 const std::optional<platform::ReadResult>& result) {
        if (!*alive)
          return;
        this->store_call_in_flight = false;
        if (!result) {
          this->next_attempt = base::MonotonicNow() + kRetryDelay;
          return;
        }
        this->has_read = true;
        for (const platform::Row& found : result->rows) {
          if (found.at.key == this->row.key && !this->LoadRow(found)) {
            this->events.on_fenced();
            return;
          }
        }
        this->Claim();
      });
}

// Writing the row changes its version, so that a write of an earlier owner that
// is still in flight fails its condition.
void BoxCalls::Claim() {
  this->Write(this->recorded, [this](const platform::WriteResult& result) {
    this->HandleClaimResult(result);
  });
}

void BoxCalls::HandleClaimResult(const platform::WriteResult& result) {
  switch (result.outcome) {
    case platform::WriteOutcome::kDone:
      this->FinishClaim(result.version);
      return;
    case platform::WriteOutcome::kConflict:
      if (const platform::Row* own = this->FindOwnWrite(result))
        this->FinishClaim(own->version);
      else if (!result.rows.empty() && !this->LoadRow(result.rows.front()))
        this->events.on_fenced();
      else
        this->Claim();
      return;
    case platform::WriteOutcome::kUnknown:
      // The write timed out; it is retried without a further delay.
      this->Claim();
      return;
    case platform::WriteOutcome::kNotDone:
    case platform::WriteOutcome::kRefused:
      this->next_attempt = base::MonotonicNow() + kRetryDelay;
      return;
  }
}

void BoxCalls::FinishClaim(std::uint64_t row_version) {
  this->version = row_version;
  this->is_claimed = true;
  std::vector<scheduler::BoxCall> calls;
  for (const auto& [box, call] : this->recorded)
    calls.push_back(call);
  this->events.on_claimed(calls);
}

// The conflicting row if it holds this owner's last write, whose response was
// lost; null otherwise.
const platform::Row* BoxCalls::FindOwnWrite(
    const platform::WriteResult& result) const {
  const bool is_own = !result.rows.empty() &&
                      result.rows.front().value == this->last_written_value;
  return is_own ? &result.rows.front() : nullptr;
}

void BoxCalls::Record() {
  this->being_written = std::exchange(this->pending, {});
  CallsByBox calls = this->recorded;
  for (const auto& [box, call] : this->being_written)
    calls[box] = call;
  this->Write(calls, [this](const platform::WriteResult& result) {
    this->HandleRecordResult(result);
  });
}

void BoxCalls::HandleRecordResult(const platform::WriteResult& result) {
  CallsByBox written = std::exchange(this->being_written, {});
  switch (result.outcome) {
    case platform::WriteOutcome::kDone:
      this->FinishRecord(written, result.version);
      return;
    case platform::WriteOutcome::kConflict:
      if (const platform::Row* own = this->FindOwnWrite(result)) {
        this->FinishRecord(written, own->version);
        return;
      }
      if (!result.rows.empty() && !this->LoadRow(result.rows.front())) {
        this->events.on_fenced();
        return;
      }
      break;
    case platform::WriteOutcome::kUnknown:
      // The write timed out; it is retried without a further delay.
      break;
    case platform::WriteOutcome::kNotDone:
      this->next_attempt = base::MonotonicNow() + kRetryDelay;
      break;
    case platform::WriteOutcome::kRefused:
      this->next_attempt = base::MonotonicNow() + kRetryDelay;
      for (const auto& [box, call] : written)
        this->events.on_rejected(call);
      return;
  }
  this->pending.merge(written);
}

void BoxCalls::FinishRecord(const CallsByBox& written,
                            std::uint64_t row_version) {
  this->version = row_version;
  this->row_has_settled_calls = false;
  for (const auto& [box, call] : written) {
    this->recorded[box] = call;
    this->events.on_recorded(call);
  }
}

bool BoxCalls::LoadRow(const platform::Row& found) {
  // A malformed row is overwritten, on condition of its version.
  this->version = found.version;
  const auto record = DecodeBoxCalls(found.value);
  if (!record) {
    base::Log(base::Event::kRowMalformed, {{"row", found.at.key}});
    return true;
  }
  if (record->epoch > this->epoch)
    return false;
  // No other owner can add calls to a claimed row.
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
  this->last_written_value = EncodeBoxCalls(record);
  const platform::WriteBatch write{
      .conditions = {{.at = this->row, .version = this->version}},
      .puts = {{.at = this->row, .value = this->last_written_value}},
      .removes = {}};
  this->store_call_in_flight = true;
  this->store.Write(write, [this, done = std::move(done), alive = this->alive](
                               const platform::WriteResult& result) {
    if (!*alive)
      return;
    this->store_call_in_flight = false;
    done(result);
  });
}

}  // namespace quartzhoist::entry
