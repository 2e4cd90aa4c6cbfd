#include "scheduler/failed_search.h"

#include <algorithm>

namespace quartzhoist::scheduler {

FailedSearch& StepSearches::Of(SearchKind kind) {
  return this->failed.at(static_cast<std::size_t>(kind));
}

const FailedSearch& StepSearches::LatestFor(SearchKind kind) const {
  const auto end = this->failed.begin() + static_cast<int>(kind) + 1;
  return *std::max_element(this->failed.begin(), end,
                           [](const FailedSearch& a, const FailedSearch& b) {
                             return a.pass < b.pass;
                           });
}

}  // namespace quartzhoist::scheduler
