// What jobs of a kind really take, learned from usage reports that come late.

#ifndef PLACEMENT_SIZE_MODEL_H_
#define PLACEMENT_SIZE_MODEL_H_

#include <string>
#include <unordered_map>

#include "placement/job.h"

namespace quartzhoist::placement {

class SizeModel {
 public:
  // A finished job's peak use.
  void Learn(const std::string& kind, const Size& peak);

  // What a job is planned with. The declared size is a prior: it counts like
  // some first reports, and fades as real ones come. Accelerators are not
  // learned: a job gets as many as it says.
  Size Expect(const Job& job) const;

 private:
  // Moving averages of the peak and of its distance from the average.
  struct Usage {
    double cores = 0;
    double cores_deviation = 0;
    double memory_mb = 0;
    double memory_deviation = 0;
    int reports = 0;
  };

  std::unordered_map<std::string, Usage> by_kind;
};

}  // namespace quartzhoist::placement

#endif  // PLACEMENT_SIZE_MODEL_H_
