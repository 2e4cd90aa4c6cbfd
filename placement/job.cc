#include "placement/job.h"

namespace quartzhoist::placement {

Size operator+(const Size& a, const Size& b) {
  return {.cores = a.cores + b.cores,
          .memory_mb = a.memory_mb + b.memory_mb,
          .accelerators = a.accelerators + b.accelerators};
}

Size operator-(const Size& a, const Size& b) {
  return {.cores = a.cores - b.cores,
          .memory_mb = a.memory_mb - b.memory_mb,
          .accelerators = a.accelerators - b.accelerators};
}

bool Fits(const Size& job, const Size& room) {
  return job.cores <= room.cores && job.memory_mb <= room.memory_mb &&
         job.accelerators <= room.accelerators;
}

}  // namespace quartzhoist::placement
