#include "entry/quota_shares.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

#include <nlohmann/json.hpp>

namespace quartzhoist::entry {

namespace {

using Json = nlohmann::json;
using scheduler::kWholeQuota;

// A request that changes by less is not rewritten: under peak demand it grows
// with each waiting task. In thousandths of the quota.
constexpr int kMinRequestChange = 50;
// The share that a shard keeps beyond what it wants, so that its next tasks can
// start without a request. In thousandths of the quota.
constexpr int kReservedShare = 20;

std::vector<int> ParseShareArray(const Json& list, std::size_t count) {
  std::vector<int> values;
  if (!list.is_array() || list.size() != count)
    return values;
  for (const Json& number : list) {
    if (!number.is_number_integer() || number < 0 || number > kWholeQuota)
      return {};
    values.push_back(number.get<int>());
  }
  return values;
}

}  // namespace

QuotaRow EqualShares(int shards) {
  const auto count = static_cast<std::size_t>(shards);
  QuotaRow row{.shares = std::vector<int>(count, kWholeQuota / shards),
               .wants = std::vector<int>(count)};
  row.shares[0] += kWholeQuota % shards;
  return row;
}

std::string EncodeQuotaRow(const QuotaRow& row) {
  return Json{{"shares", row.shares}, {"wants", row.wants}}.dump();
}

std::optional<QuotaRow> DecodeQuotaRow(std::string_view text, int shards) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("shares") || !json.contains("wants"))
    return std::nullopt;
  const auto count = static_cast<std::size_t>(shards);
  QuotaRow row{.shares = ParseShareArray(json["shares"], count),
               .wants = ParseShareArray(json["wants"], count)};
  const int sum = std::accumulate(row.shares.begin(), row.shares.end(), 0);
  if (row.shares.empty() || row.wants.empty() || sum > kWholeQuota)
    return std::nullopt;
  return row;
}

QuotaShares::Entry& QuotaShares::EntryFor(const std::string& organisation) {
  const auto [entry, is_new] = this->entries.try_emplace(organisation);
  if (is_new) {
    entry->second.row = EqualShares(this->shard.count);
    entry->second.effective_share = this->OwnShare(entry->second.row);
  }
  return entry->second;
}

int QuotaShares::OwnShare(const QuotaRow& row) const {
  return row.shares[static_cast<std::size_t>(this->shard.number)];
}

// While a write that lowers the own share is pending, the lower value applies,
// since the write may take effect at any time.
void QuotaShares::OnRowRead(const std::string& organisation,
                            const std::optional<QuotaRow>& row,
                            std::uint64_t version) {
  Entry& entry = this->EntryFor(organisation);
  if (version <= entry.version)
    return;
  entry.row = row.value_or(EqualShares(this->shard.count));
  entry.version = version;
  const int own = this->OwnShare(entry.row);
  entry.effective_share = row ? own : std::min(entry.effective_share, own);
  if (entry.pending_write)
    entry.effective_share =
        std::min(entry.effective_share, this->OwnShare(*entry.pending_write));
}

std::vector<QuotaShares::Write> QuotaShares::PlanWrites(
    const std::map<std::string, scheduler::QuotaNeed>& needs,
    bool usage_complete) {
  std::vector<Write> writes;
  if (this->shard.count == 1)
    return writes;
  for (const auto& [organisation, need] : needs) {
    Entry& entry = this->EntryFor(organisation);
    if (entry.pending_write)
      continue;
    QuotaRow next = entry.row;
    this->UpdateRequest(next, need);
    if (usage_complete)
      this->GrantSurplus(next, need);
    // After a write of unknown outcome the lowered share stays in effect.
    // Writing the row again, even unchanged, raises its version, so that the
    // earlier write's version condition can no longer hold.
    const bool must_rewrite =
        entry.effective_share < this->OwnShare(entry.row) &&
        need.wanted > entry.effective_share;
    if (next == entry.row && !must_rewrite)
      continue;
    entry.pending_write = next;
    entry.effective_share =
        std::min(entry.effective_share, this->OwnShare(next));
    writes.push_back({.organisation = organisation,
                      .version = entry.version,
                      .row = std::move(next)});
  }
  return writes;
}

void QuotaShares::UpdateRequest(QuotaRow& row,
                                const scheduler::QuotaNeed& need) const {
  const auto own = static_cast<std::size_t>(this->shard.number);
  const bool above_share = need.wanted > row.shares[own];
  const int want = above_share ? std::min(need.wanted, kWholeQuota) : 0;
  const int asked = row.wants[own];
  const bool request_met = above_share && asked <= row.shares[own];
  const bool differs = (want == 0) != (asked == 0) ||
                       std::abs(want - asked) >= kMinRequestChange;
  if (differs || request_met)
    row.wants[own] = want;
}

// Transfers this shard's surplus to the shards that request more than they
// have. A shard that wants more than an equal share keeps that or what it uses,
// whichever is larger, so that no shard is starved.
void QuotaShares::GrantSurplus(QuotaRow& row,
                               const scheduler::QuotaNeed& need) const {
  const auto own = static_cast<std::size_t>(this->shard.number);
  const int equal = kWholeQuota / this->shard.count;
  const int needed =
      std::max(need.used, std::min(need.wanted + kReservedShare, equal));
  int surplus = row.shares[own] - needed;
  for (std::size_t other = 0; other < row.shares.size() && surplus > 0;
       ++other) {
    const int shortfall = row.wants[other] - row.shares[other];
    if (other == own || row.wants[other] == 0 || shortfall <= 0)
      continue;
    const int granted = std::min(surplus, shortfall);
    row.shares[own] -= granted;
    row.shares[other] += granted;
    surplus -= granted;
  }
}

// A write of unknown outcome may still be applied: a share that it lowers stays
// lowered until a version of the row is read under which the write's version
// condition fails.
void QuotaShares::OnWriteFinished(
    const std::string& organisation,
    std::optional<std::uint64_t> written_version) {
  Entry& entry = this->EntryFor(organisation);
  if (!entry.pending_write)
    return;
  const QuotaRow written = *entry.pending_write;
  entry.pending_write.reset();
  if (written_version)
    this->OnRowRead(organisation, written, *written_version);
}

int QuotaShares::ShareOf(const std::string& organisation) const {
  const auto found = this->entries.find(organisation);
  return found == this->entries.end()
             ? this->OwnShare(EqualShares(this->shard.count))
             : found->second.effective_share;
}

}  // namespace quartzhoist::entry
