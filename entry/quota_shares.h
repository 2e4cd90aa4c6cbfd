// Division of each organisation's quota among the shards, whose owners enforce
// it independently. Pure decisions: takes the rows read and the needs of this
// shard, and returns the rows to write and the share in effect.
//
// A row holds the share of each shard, in thousandths that add up to the whole
// quota. Only the owner of a shard lowers the shard's share, and it applies the
// lower value before it writes the row. A share raised by another owner takes
// effect only when the row is read. The shares in effect therefore never add up
// to more than the quota, even if writes are lost, delayed or repeated. Without
// a row the shares are equal.

#ifndef ENTRY_QUOTA_SHARES_H_
#define ENTRY_QUOTA_SHARES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "entry/shards.h"
#include "scheduler/quotas.h"

namespace quartzhoist::entry {

// By shard, in thousandths of the quota.
struct QuotaRow {
  std::vector<int> shares;
  // The total share that a shard requests; 0: it needs no more than it has.
  std::vector<int> wants;

  bool operator==(const QuotaRow&) const = default;
};
QuotaRow EqualShares(int shards);
std::string EncodeQuotaRow(const QuotaRow& row);
// Nothing if the text is malformed, is for another number of shards, or its
// shares exceed the quota.
std::optional<QuotaRow> DecodeQuotaRow(std::string_view text, int shards);

class QuotaShares {
 public:
  struct Write {
    std::string organisation;
    std::uint64_t version = 0;  // precondition; 0: no such row
    QuotaRow row;
  };

  explicit QuotaShares(const Shard& shard) : shard(shard) {}

  // Applies a row that was read; `row` is nullopt if it was malformed. Versions
  // that are not newer than the last one are ignored.
  void OnRowRead(const std::string& organisation,
                 const std::optional<QuotaRow>& row,
                 std::uint64_t version);
  // The rows to write now, for organisations without a pending write.
  // `usage_complete`: the owner knows all runs of its shard and may therefore
  // give away the share that it does not use.
  std::vector<Write> PlanWrites(
      const std::map<std::string, scheduler::QuotaNeed>& needs,
      bool usage_complete);
  // Ends a pending write. `written_version`: the row's new version; nothing if
  // the write failed or its outcome is unknown.
  void OnWriteFinished(const std::string& organisation,
                       std::optional<std::uint64_t> written_version);

  // The share in effect for this shard, in thousandths.
  int ShareOf(const std::string& organisation) const;

 private:
  struct Entry {
    QuotaRow row;
    std::uint64_t version = 0;
    int effective_share = 0;
    std::optional<QuotaRow> pending_write;
  };

  Entry& EntryFor(const std::string& organisation);
  int OwnShare(const QuotaRow& row) const;
  void UpdateRequest(QuotaRow& row, const scheduler::QuotaNeed& need) const;
  void GrantSurplus(QuotaRow& row, const scheduler::QuotaNeed& need) const;

  Shard shard;
  std::map<std::string, Entry> entries;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_QUOTA_SHARES_H_
