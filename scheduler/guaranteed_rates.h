// Which jobs are within what their organisation is due when there is not enough
// for all: a rate of jobs, of which this shard counts its part.

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
  // The jobs are spread over so many shards.
  explicit GuaranteedRates(int shards) : shard_count(shards) {}

  void SetOrganisations(const std::vector<jobs::Organisation>& organisations);
  // Counts a job that is handed in; true if its organisation was due it. Who
  // has no rate is due all.
  bool Consume(const std::string& organisation, base::Micros now);

 private:
  struct Bucket {
    double jobs_per_second = 0.0;  // in this shard
    double tokens = 0.0;           // jobs that are due now
    base::Micros refilled{};       // when that was worked out
  };

  int shard_count;
  std::map<std::string, Bucket> buckets;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_GUARANTEED_RATES_H_
