// Organisations of callers: their API keys, their quota of concurrently used
// resources, and their share under contention.

#ifndef JOBS_ORGANISATION_H_
#define JOBS_ORGANISATION_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/job.h"

namespace quartzhoist::jobs {

// SHA-256 of an API key. The key itself is not stored.
struct KeyDigest {
  static constexpr std::size_t kBytes = 32;

  std::array<unsigned char, kBytes> bytes{};
};

KeyDigest ComputeKeyDigest(std::string_view key);
// Compares in constant time.
bool DigestsAreEqual(const KeyDigest& a, const KeyDigest& b);

struct Organisation {
  std::string name;
  std::vector<KeyDigest> keys;
  double jobs_per_second = 0.0;  // share under contention; 0: not configured
  Resources quota;  // in use at once, over all workers; 0: no limit
};

}  // namespace quartzhoist::jobs

#endif  // JOBS_ORGANISATION_H_
