// What each organisation may have running at once, and what it has, as far as
// one owner is concerned: of an organisation's quota a shard holds a share.

#ifndef SCHEDULER_QUOTAS_H_
#define SCHEDULER_QUOTAS_H_

#include <map>
#include <string>
#include <vector>

#include "jobs/job.h"
#include "jobs/organisation.h"

namespace quartzhoist::scheduler {

// Shares are counted in thousandths of the quota.
inline constexpr int kWholeQuota = 1000;

// How an organisation stands in this shard, in thousandths of its quota: of the
// resource that it needs most.
struct QuotaNeed {
  int used = 0;
  int wanted = 0;  // with what was refused for want of quota; may be above all
};

class Quotas {
 public:
  // An organisation that is not listed any more keeps its last quota.
  void SetOrganisations(const std::vector<jobs::Organisation>& organisations);
  // This shard's share; none until it is set.
  void SetShare(const std::string& organisation, int share);

  // May runs that take this begin? What may not is noted as wanted.
  bool Allows(const std::string& organisation, const jobs::Resources& needed);
  // Forgets what was wanted: the tasks that wait are tried anew.
  void ResetRefused();

  // Where what the organisation's runs take is counted; it stays in place.
  jobs::Resources& UsageOf(const std::string& organisation);

  // By organisation, of those with a quota.
  std::map<std::string, QuotaNeed> Needs() const;

 private:
  struct Account {
    jobs::Resources quota;  // 0: no limit
    jobs::Resources used;
    jobs::Resources refused;  // in this turn
    int share = 0;
  };

  std::map<std::string, Account> accounts;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_QUOTAS_H_
