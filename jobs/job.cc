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

bool Fits(const Resources& wanted, const Resources& room) {
  return wanted.cpu_millis <= room.cpu_millis &&
         wanted.memory_mb <= room.memory_mb && wanted.gpus <= room.gpus;
}

}  // namespace quartzhoist::jobs
