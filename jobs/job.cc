#include "jobs/job.h"

#include <algorithm>

namespace quartzhoist::jobs {

Resources operator+(const Resources& a, const Resources& b) {
  return {.cpu_millis = a.cpu_millis + b.cpu_millis,
          .memory_mb = a.memory_mb + b.memory_mb,
          .gpus = a.gpus + b.gpus};
}

Resources operator-(const Resources& a, const Resources& b) {
  return {.cpu_millis = a.cpu_millis - b.cpu_millis,
          .memory_mb = a.memory_mb - b.memory_mb,
          .gpus = a.gpus - b.gpus};
}

bool Fits(const Resources& request, const Resources& available) {
  return request.cpu_millis <= available.cpu_millis &&
         request.memory_mb <= available.memory_mb &&
         request.gpus <= available.gpus;
}

std::int64_t CountFitting(const Resources& request,
                          const Resources& available,
                          std::int64_t most) {
  if (!Fits({}, available))
    return 0;
  const auto fitting = [most](std::int64_t requested, std::int64_t has) {
    return requested > 0 ? has / requested : most;
  };
  return std::min({most, fitting(request.cpu_millis, available.cpu_millis),
                   fitting(request.memory_mb, available.memory_mb),
                   fitting(request.gpus, available.gpus)});
}

}  // namespace quartzhoist::jobs
