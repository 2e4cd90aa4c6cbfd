// Token buckets that tell which jobs are within their organisation's guaranteed
// rate, which counts when there is not enough capacity for all. Each shard
// applies its part of the rate.

#ifndef SCHEDULER_GUARANTEED_RATES_H_
#define SCHEDULER_GUARANTEED_RATES_H_

#include <map>
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

 private:
  struct Bucket {
    double jobs_per_second = 0.0;  // in this shard
    double tokens = 0.0;           // jobs that may still be submitted now
    base::Micros refilled{};       // when `tokens` was last updated
  };

  int shard_count;
  std::map<std::string, Bucket> buckets;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_GUARANTEED_RATES_H_
