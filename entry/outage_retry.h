// `Retry-After` of requests that are refused since the store is away or does
// not take writes.

#ifndef ENTRY_OUTAGE_RETRY_H_
#define ENTRY_OUTAGE_RETRY_H_

#include <chrono>
#include <random>

#include "base/clock.h"

namespace quartzhoist::entry {

// 1 s and a random part of up to 2 s, whose bound is the length of the outage
// so far.
std::chrono::seconds OutageRetryAfter(base::Micros outage,
                                      std::mt19937_64& random);

}  // namespace quartzhoist::entry

#endif  // ENTRY_OUTAGE_RETRY_H_
