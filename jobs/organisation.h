// Callers' organisations: the access keys that name them, what each may have
// running at once, and its share when there is not enough for all.

#ifndef JOBS_ORGANISATION_H_
#define JOBS_ORGANISATION_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/job.h"

namespace quartzhoist::jobs {

// What is kept of an access key: its SHA-256. The key itself is kept nowhere.
struct KeyDigest {
  static constexpr std::size_t kBytes = 32;

  std::array<unsigned char, kBytes> bytes{};
};

KeyDigest ComputeKeyDigest(std::string_view key);
// In a time that does not depend on where they differ.
bool DigestsAreEqual(const KeyDigest& a, const KeyDigest& b);

struct Organisation {
  std::string name;
  std::vector<KeyDigest> keys;
  double jobs_per_second = 0.0;  // its share when all is full; 0: none is set
  Resources quota;  // running at once, over all workers; 0: no limit
};

}  // namespace quartzhoist::jobs

#endif  // JOBS_ORGANISATION_H_
