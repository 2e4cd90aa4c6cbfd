#include "entry/beats.h"

namespace quartzhoist::entry {

base::Micros UntilBeat(std::int64_t store_ms, base::Micros least) {
  const base::Micros earliest = std::chrono::milliseconds(store_ms) + least;
  const std::int64_t beats = (earliest + kBeat - base::Micros(1)) / kBeat;
  return beats * kBeat - std::chrono::milliseconds(store_ms);
}

}  // namespace quartzhoist::entry
