#include "scheduler/guaranteed_rates.h"

#include <algorithm>
#include <utility>

namespace quartzhoist::scheduler {

namespace {

// Bucket size in seconds of the rate. Jobs arrive in bursts and are assigned to
// shards at random.
constexpr double kBurstSeconds = 2.0;

}  // namespace

double GuaranteedRates::Bucket::Capacity() const {
  return std::max(1.0, this->jobs_per_second * kBurstSeconds);
}

double GuaranteedRates::Bucket::TokensAt(base::Micros now) const {
  const double elapsed = base::Seconds(now - this->refilled);
  return std::min(this->Capacity(),
                  this->tokens + elapsed * this->jobs_per_second);
}

void GuaranteedRates::SetOrganisations(
    const std::vector<jobs::Organisation>& organisations) {
  for (const jobs::Organisation& organisation : organisations) {
    const auto [entry, is_new] = this->buckets.try_emplace(organisation.name);
    Bucket& bucket = entry->second;
    bucket.jobs_per_second = organisation.jobs_per_second / this->shard_count;
    if (is_new)
      bucket.tokens = bucket.Capacity();
  }
}

bool GuaranteedRates::Consume(const std::string& organisation,
                              base::Micros now) {
  const auto found = this->buckets.find(organisation);
  if (found == this->buckets.end() || found->second.jobs_per_second <= 0.0)
    return true;
  Bucket& bucket = found->second;
  bucket.tokens = bucket.TokensAt(now);
  bucket.refilled = now;
  if (bucket.tokens < 1.0) {
    bucket.over_rate_at = now;
    return false;
  }
  bucket.over_rate_at.reset();
  bucket.tokens -= 1.0;
  return true;
}

// An empty bucket alone is no sign: in one of many shards an organisation's
// bucket holds a single token, and each job within the rate empties it.
std::vector<std::string> GuaranteedRates::OverRate(base::Micros now) const {
  std::vector<std::pair<base::Micros, std::string>> latest;
  for (const auto& [name, bucket] : this->buckets) {
    if (bucket.jobs_per_second > 0.0 && bucket.over_rate_at &&
        bucket.TokensAt(now) < 1.0)
      latest.emplace_back(*bucket.over_rate_at, name);
  }
  std::stable_sort(
      latest.begin(), latest.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<std::string> names;
  names.reserve(latest.size());
  for (auto& [at, name] : latest)
    names.push_back(std::move(name));
  return names;
}

}  // namespace quartzhoist::scheduler
