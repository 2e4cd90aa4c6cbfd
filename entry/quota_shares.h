// How the shards share each organisation's quota: a limit that several owners
// hold together. Rows and needs go in, rows to be written and the own shares
// come out.
//
// A row holds a share for each shard, in thousandths; they add up to the whole.
// Only a shard's own owner lowers its share, and it counts with the lower one
// before the row is written; another's raise counts once the row shows it. So
// what all of them go by never adds up to more than the whole, whatever is
// lost, late or done twice. Where no row stands, the shares are equal.

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
  // What a shard asks for in all; 0: it has what it needs.
  std::vector<int> wants;

  bool operator==(const QuotaRow&) const = default;
};
QuotaRow EqualShares(int shards);
std::string EncodeQuotaRow(const QuotaRow& row);
// Nothing if the text is no sharing out among so many shards.
std::optional<QuotaRow> DecodeQuotaRow(std::string_view text, int shards);

class QuotaShares {
 public:
  struct Write {
    std::string organisation;
    std::uint64_t version = 0;  // that the row must have; 0: none
    QuotaRow row;
  };

  explicit QuotaShares(const Shard& shard) : shard(shard) {}

  // The store has this row, or one that cannot be read; rows that come late are
  // passed over.
  void OnRowRead(const std::string& organisation,
                 const std::optional<QuotaRow>& row,
                 std::uint64_t version);
  // What is to be written now, of organisations with no write on its way.
  // `usage_complete`: the owner knows all that runs in its shard, so that it
  // may give away what it does not use.
  std::vector<Write> PlanWrites(
      const std::map<std::string, scheduler::QuotaNeed>& needs,
      bool usage_complete);
  // A write has been answered or granted up; `written_version`: the version it
  // made.
  void OnWriteFinished(const std::string& organisation,
                       std::optional<std::uint64_t> written_version);

  // What this shard may use.
  int ShareOf(const std::string& organisation) const;

 private:
  struct Entry {
    QuotaRow row;
    std::uint64_t version = 0;
    int effective_share = 0;                // what this shard goes by
    std::optional<QuotaRow> pending_write;  // the row on its way
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
