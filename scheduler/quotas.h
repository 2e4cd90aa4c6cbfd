// Limits and counts the resources of each organisation's concurrent runs in one
// shard. Each shard holds a share of an organisation's quota.

#ifndef SCHEDULER_QUOTAS_H_
#define SCHEDULER_QUOTAS_H_

#include <map>
#include <string>
#include <vector>

#include "jobs/job.h"
#include "jobs/organisation.h"

namespace quartzhoist::scheduler {

// Quota shares are in thousandths (per mille) of the quota.
inline constexpr int kWholeQuota = 1000;

// An organisation's usage in this shard, in thousandths of its quota, for the
// resource with the highest fraction.
struct QuotaNeed {
  int used = 0;
  int wanted = 0;  // with what the quota refused; may exceed kWholeQuota
};

class Quotas {
 public:
  // An organisation missing from the list keeps its last quota.
  void SetOrganisations(const std::vector<jobs::Organisation>& organisations);
  // Sets this shard's share in thousandths; 0 until set.
  void SetShare(const std::string& organisation, int share);

  // Whether runs that take `needed` may start. Refused amounts count as wanted.
  bool Allows(const std::string& organisation, const jobs::Resources& needed);
  // Call before each scheduling pass, which attempts all waiting tasks again.
  void ResetRefused();

  // The counter of what the organisation's runs take. The reference stays
  // valid.
  jobs::Resources& UsageOf(const std::string& organisation);

  // By organisation; only those with a quota.
  std::map<std::string, QuotaNeed> Needs() const;

 private:
  struct Account {
    jobs::Resources quota;  // 0: no limit
    jobs::Resources used;
    jobs::Resources refused;  // in this scheduling pass
    int share = 0;
  };

  std::map<std::string, Account> accounts;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_QUOTAS_H_
