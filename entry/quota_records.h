// Reads, follows and writes the rows that divide the organisations' quotas
// among the shards, for the owner of one shard. QuotaShares decides what to
// write.

#ifndef ENTRY_QUOTA_RECORDS_H_
#define ENTRY_QUOTA_RECORDS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/loop.h"
#include "entry/quota_shares.h"
#include "entry/shards.h"
#include "platform/store.h"
#include "platform/table_follower.h"
#include "scheduler/quotas.h"

namespace quartzhoist::entry {

class QuotaRecords {
 public:
  // Receives the share of an organisation's quota that this shard may use from
  // now on, in thousandths.
  using OnShareChanged =
      std::function<void(const std::string& organisation, int share)>;

  QuotaRecords(base::Loop& loop,
               platform::Store& store,
               const Shard& shard,
               std::uint64_t epoch,
               OnShareChanged on_share_changed);
  ~QuotaRecords();
  QuotaRecords(const QuotaRecords&) = delete;
  QuotaRecords& operator=(const QuotaRecords&) = delete;

  // Whether the update period has passed since the last Update.
  bool IsDue(base::Micros now) const { return now >= this->next_update; }
  // Adapts the shares to `needs`, by organisation with a quota.
  // `usage_complete`: see QuotaShares::PlanWrites.
  void Update(const std::map<std::string, scheduler::QuotaNeed>& needs,
              bool usage_complete,
              base::Micros now);

 private:
  void ClaimOwnership();
  void StartFollower();
  void ApplyRow(const platform::Row& row);
  void Write(const QuotaShares::Write& wanted);
  void OnWriteResult(const std::string& organisation,
                     const platform::WriteResult& result);
  void ReportShares(const std::map<std::string, scheduler::QuotaNeed>& needs);

  base::Loop& loop;
  platform::Store& store;
  Shard shard;
  std::uint64_t epoch = 0;
  OnShareChanged on_share_changed;
  QuotaShares shares;
  bool claiming = false;
  std::uint64_t claim_version = 0;  // of this shard's owner row; 0: not claimed
  bool rows_loaded = false;         // since the claim
  base::Micros next_claim{};
  base::Micros next_update{};
  std::map<std::string, int> reported_shares;  // by organisation
  std::unique_ptr<platform::TableFollower> follower;
  // Set to false on destruction; callbacks of calls in flight check it.
  std::shared_ptr<bool> alive;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_QUOTA_RECORDS_H_
