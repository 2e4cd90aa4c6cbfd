#include "scheduler/quotas.h"

#include <algorithm>
#include <array>

namespace quartzhoist::scheduler {

namespace {

constexpr std::array<std::int64_t jobs::Resources::*, 3> kResourceTypes{
    &jobs::Resources::cpu_millis, &jobs::Resources::memory_mb,
    &jobs::Resources::gpus};

bool IsLimited(const jobs::Resources& quota) {
  return quota != jobs::Resources{};
}

// The highest fraction of the quota over all resource types, in thousandths,
// rounded up.
int PermilleOf(const jobs::Resources& amount, const jobs::Resources& quota) {
  std::int64_t permille = 0;
  for (const auto type : kResourceTypes) {
    if (quota.*type > 0)
      permille =
          std::max(permille, (amount.*type * kWholeQuota + quota.*type - 1) /
                                 (quota.*type));
  }
  constexpr std::int64_t kMaxPermille = 1'000'000'000;
  return static_cast<int>(std::min(permille, kMaxPermille));
}

// Whether the amount is within this share of the quota for every resource type.
bool IsWithin(const jobs::Resources& amount,
              const jobs::Resources& quota,
              int share) {
  return std::all_of(kResourceTypes.begin(), kResourceTypes.end(),
                     [&](auto type) {
                       return quota.*type == 0 ||
                              amount.*type <= quota.*type * share / kWholeQuota;
                     });
}

}  // namespace

void Quotas::SetOrganisations(
    const std::vector<jobs::Organisation>& organisations) {
  for (const jobs::Organisation& organisation : organisations)
    this->accounts[organisation.name].quota = organisation.quota;
}

void Quotas::SetShare(const std::string& organisation, int share) {
  this->accounts[organisation].share = share;
}

// The shard with more than half of the quota may start one task beyond its
// share while its usage is below the share, so that a task larger than the
// whole quota can run alone. Only one shard at a time can hold more than half,
// so all shards together exceed the quota by at most one task.
bool Quotas::Allows(const std::string& organisation,
                    const jobs::Resources& needed) {
  if (organisation.empty())
    return true;
  Account& account = this->accounts[organisation];
  if (!IsLimited(account.quota))
    return true;
  const bool fits =
      IsWithin(account.used + needed, account.quota, account.share);
  const bool may_exceed =
      account.share > kWholeQuota / 2 &&
      PermilleOf(account.used, account.quota) < account.share;
  if (fits || may_exceed)
    return true;
  account.refused = account.refused + needed;
  return false;
}

void Quotas::ResetRefused() {
  for (auto& [name, account] : this->accounts)
    account.refused = {};
}

jobs::Resources& Quotas::UsageOf(const std::string& organisation) {
  return this->accounts[organisation].used;
}

std::map<std::string, QuotaNeed> Quotas::Needs() const {
  std::map<std::string, QuotaNeed> needs;
  for (const auto& [name, account] : this->accounts) {
    if (name.empty() || !IsLimited(account.quota))
      continue;
    needs[name] = {
        .used = PermilleOf(account.used, account.quota),
        .wanted = PermilleOf(account.used + account.refused, account.quota)};
  }
  return needs;
}

}  // namespace quartzhoist::scheduler
