#include "jobs/job.h"

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

}  // namespace quartzhoist::jobs
