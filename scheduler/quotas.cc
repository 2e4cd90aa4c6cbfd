#include "scheduler/quotas.h"

#include <algorithm>
#include <array>

namespace quartzhoist::scheduler {

namespace {

constexpr std::array<std::int64_t jobs::Resources::*, 3> kKinds{
    &jobs::Resources::cpu_millis, &jobs::Resources::memory_mb,
    &jobs::Resources::gpus};

bool IsLimited(const jobs::Resources& quota) {
  return quota != jobs::Resources{};
}

// So many thousandths of the quota, rounded up, of the scarcest kind.
int ShareOf(const jobs::Resources& amount, const jobs::Resources& quota) {
  std::int64_t most = 0;
  for (const auto kind : kKinds) {
    if (quota.*kind > 0)
      most = std::max(
          most, (amount.*kind * kWholeQuota + quota.*kind - 1) / (quota.*kind));
  }
  constexpr std::int64_t kMost = 1'000'000'000;
  return static_cast<int>(std::min(most, kMost));
}

// Is the amount within this share of the quota, in every kind?
bool IsWithin(const jobs::Resources& amount,
              const jobs::Resources& quota,
              int share) {
  return std::all_of(kKinds.begin(), kKinds.end(), [&](auto kind) {
    return quota.*kind == 0 ||
           amount.*kind <= quota.*kind * share / kWholeQuota;
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

// A task that is larger than the whole quota runs alone, and one may overlap
// the limit: the shard with more than half of the quota begins one more task
// while it is below its share. Only one shard at a time holds that much, so
// that all together pass the quota by one task at most.
bool Quotas::Allows(const std::string& organisation,
                    const jobs::Resources& needed) {
  if (organisation.empty())
    return true;
  Account& account = this->accounts[organisation];
  if (!IsLimited(account.quota))
    return true;
  const bool fits =
      IsWithin(account.used + needed, account.quota, account.share);
  const bool may_pass = account.share > kWholeQuota / 2 &&
                        ShareOf(account.used, account.quota) < account.share;
  if (fits || may_pass)
    return true;
  account.refused = account.refused + needed;
  return false;
}

void Quotas::BeginTurn() {
  for (auto& [name, account] : this->accounts)
    account.refused = {};
}

jobs::Resources& Quotas::UseOf(const std::string& organisation) {
  return this->accounts[organisation].used;
}

std::map<std::string, QuotaNeed> Quotas::Needs() const {
  std::map<std::string, QuotaNeed> needs;
  for (const auto& [name, account] : this->accounts) {
    if (name.empty() || !IsLimited(account.quota))
      continue;
    needs[name] = {
        .used = ShareOf(account.used, account.quota),
        .wanted = ShareOf(account.used + account.refused, account.quota)};
  }
  return needs;
}

}  // namespace quartzhoist::scheduler
