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
  // `on_share`: what this shard may use of an organisation's quota from now on,
  // in thousandths.
  using OnShare =
      std::function<void(const std::string& organisation, int share)>;

  QuotaRecords(base::Loop& loop,
               platform::Store& store,
               const Shard& shard,
               std::uint64_t epoch,
               OnShare on_share);
  ~QuotaRecords();
  QuotaRecords(const QuotaRecords&) = delete;
  QuotaRecords& operator=(const QuotaRecords&) = delete;

  // Shares follow needs at a pace: is the next step due?
  bool IsDue(base::Micros now) const { return now >= this->next_act; }
  // The organisations with a quota, and how they stand.
  void Act(const std::map<std::string, scheduler::QuotaNeed>& needs,
           bool knows_all,
           base::Micros now);

 private:
  void Claim();
  void Follow();
  void TakeRow(const platform::Row& row);
  void Write(const QuotaShares::Write& wanted);
  void TakeWritten(const std::string& organisation,
                   const platform::WriteResult& result);
  void TellShares(const std::map<std::string, scheduler::QuotaNeed>& needs);

  base::Loop& loop;
  platform::Store& store;
  Shard shard;
  std::uint64_t epoch = 0;
  OnShare on_share;
  QuotaShares shares;
  bool claiming = false;
  std::uint64_t claimed_at = 0;  // the own row's version; 0: not written yet
  bool known = false;            // the rows have been read since
  base::Micros next_claim{};
  base::Micros next_act{};
  std::map<std::string, int> told;  // by organisation
  std::unique_ptr<platform::TableFollower> follower;
  // Calls still on their way when this is destroyed find it unset.
  std::shared_ptr<bool> alive;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_QUOTA_RECORDS_H_
