// Token buckets that tell which jobs are within their organisation's guaranteed
// rate, which counts when there is not enough capacity for all. Each shard
// applies its part of the rate.

#ifndef SCHEDULER_GUARANTEED_RATES_H_
#define SCHEDULER_GUARANTEED_RATES_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "jobs/organisation.h"

namespace quartzhoist::scheduler {

class GuaranteedRates {
 public:
  // Jobs are spread over `shards` shards.
  explicit GuaranteedRates(int shards) : shard_count(shards) {}

  void SetOrganisations(const std::vector<jobs::Organisation>& organisations);
  // Counts a submitted job. Returns whether it is within the rate; always true
  // for an organisation without one.
  bool Consume(const std::string& organisation, base::Micros now);
  // Organisations whose latest job was over the rate and whose next one would
  // be, those with the latest such job first.
  std::vector<std::string> OverRate(base::Micros now) const;

 private:
  struct Bucket {
    double Capacity() const;
    double TokensAt(base::Micros now) const;

    double jobs_per_second = 0.0;  // in this shard
    double tokens = 0.0;           // jobs that may still be submitted now
    base::Micros refilled{};       // when `tokens` was last updated
    // When the latest job was submitted, if it was over the rate.
    std::optional<base::Micros> over_rate_at;
  };

  int shard_count;
  std::map<std::string, Bucket> buckets;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_GUARANTEED_RATES_H_
