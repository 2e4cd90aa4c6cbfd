#include "placement/size_model.h"

#include <algorithm>
#include <cmath>

namespace quartzhoist::placement {

namespace {

constexpr double kGain = 0.1;
// The declared size weighs as much as this many reports.
constexpr double kPriorReports = 4;
// Planned with this many deviations above the average.
constexpr double kDeviations = 2;

void Average(double& average, double& deviation, double sample, bool first) {
  if (first) {
    average = sample;
    return;
  }
  deviation += kGain * (std::abs(sample - average) - deviation);
  average += kGain * (sample - average);
}

std::int64_t Blend(std::int64_t declared, double learned, int reports) {
  const double weight = reports / (reports + kPriorReports);
  const double blended =
      weight * learned + (1.0 - weight) * static_cast<double>(declared);
  return std::max<std::int64_t>(1,
                                static_cast<std::int64_t>(std::ceil(blended)));
}

}  // namespace

void SizeModel::Learn(const std::string& kind, const Size& peak) {
  Usage& usage = this->by_kind[kind];
  const bool first = usage.reports == 0;
  Average(usage.cores, usage.cores_deviation, static_cast<double>(peak.cores),
          first);
  Average(usage.memory_mb, usage.memory_deviation,
          static_cast<double>(peak.memory_mb), first);
  ++usage.reports;
}

Size SizeModel::Expect(const Job& job) const {
  const auto found = this->by_kind.find(job.kind);
  if (found == this->by_kind.end())
    return job.declared;
  const Usage& usage = found->second;
  return {
      .cores = Blend(job.declared.cores,
                     usage.cores + kDeviations * usage.cores_deviation,
                     usage.reports),
      .memory_mb = Blend(job.declared.memory_mb,
                         usage.memory_mb + kDeviations * usage.memory_deviation,
                         usage.reports),
      .accelerators = job.declared.accelerators};
}

}  // namespace quartzhoist::placement
