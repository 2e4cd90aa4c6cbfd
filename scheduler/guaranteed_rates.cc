#include "scheduler/guaranteed_rates.h"

#include <algorithm>

namespace quartzhoist::scheduler {

namespace {

// Bucket size in seconds of the rate. Jobs arrive in bursts and are assigned to
// shards at random.
constexpr double kBurstSeconds = 2.0;

}  // namespace

void GuaranteedRates::SetOrganisations(
    const std::vector<jobs::Organisation>& organisations) {
  for (const jobs::Organisation& organisation : organisations) {
    const auto [entry, is_new] = this->buckets.try_emplace(organisation.name);
    Bucket& bucket = entry->second;
    bucket.jobs_per_second = organisation.jobs_per_second / this->shard_count;
    if (is_new)
      bucket.tokens = std::max(1.0, bucket.jobs_per_second * kBurstSeconds);
  }
}

bool GuaranteedRates::Consume(const std::string& organisation,
                              base::Micros now) {
  const auto found = this->buckets.find(organisation);
  if (found == this->buckets.end() || found->second.jobs_per_second <= 0.0)
    return true;
  Bucket& bucket = found->second;
  const double capacity = std::max(1.0, bucket.jobs_per_second * kBurstSeconds);
  const double elapsed = base::Seconds(now - bucket.refilled);
  bucket.tokens =
      std::min(capacity, bucket.tokens + elapsed * bucket.jobs_per_second);
  bucket.refilled = now;
  if (bucket.tokens < 1.0)
    return false;
  bucket.tokens -= 1.0;
  return true;
}

}  // namespace quartzhoist::scheduler
