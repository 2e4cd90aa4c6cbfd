#include "scheduler/due_shares.h"

#include <algorithm>

namespace quartzhoist::scheduler {

namespace {

// An organisation may be due so much at once: jobs come in bunches, and go to
// shards at random.
constexpr double kBurstSeconds = 2.0;

}  // namespace

void DueShares::SetOrganisations(
    const std::vector<jobs::Organisation>& organisations) {
  for (const jobs::Organisation& organisation : organisations) {
    const auto [entry, is_new] = this->accounts.try_emplace(organisation.name);
    Account& account = entry->second;
    account.jobs_a_second = organisation.jobs_per_second / this->shard_count;
    if (is_new)
      account.left = std::max(1.0, account.jobs_a_second * kBurstSeconds);
  }
}

bool DueShares::Take(const std::string& organisation, base::Micros now) {
  const auto found = this->accounts.find(organisation);
  if (found == this->accounts.end() || found->second.jobs_a_second <= 0.0)
    return true;
  Account& account = found->second;
  const double most = std::max(1.0, account.jobs_a_second * kBurstSeconds);
  const double since = base::Seconds(now - account.counted);
  account.left = std::min(most, account.left + since * account.jobs_a_second);
  account.counted = now;
  if (account.left < 1.0)
    return false;
  account.left -= 1.0;
  return true;
}

}  // namespace quartzhoist::scheduler
