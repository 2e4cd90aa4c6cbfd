// The rows in which the shards share organisations' quotas: reads, follows and
// writes them for one owner. What is to be shared how is decided by
// QuotaShares.

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
  // `on_share_changed`: what this shard may use of an organisation's quota from
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

  // Shares follow needs at a pace: is the next step due?
  bool IsDue(base::Micros now) const { return now >= this->next_update; }
  // The organisations with a quota, and how they stand.
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
  std::uint64_t claim_version = 0;  // the own row's version; 0: not written yet
  bool rows_loaded = false;         // the rows have been read since
  base::Micros next_claim{};
  base::Micros next_update{};
  std::map<std::string, int> reported_shares;  // by organisation
  std::unique_ptr<platform::TableFollower> follower;
  // Calls still on their way when this is destroyed find it unset.
  std::shared_ptr<bool> alive;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_QUOTA_RECORDS_H_
