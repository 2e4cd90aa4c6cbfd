#include "entry/owner_lease.h"

#include <algorithm>
#include <chrono>

namespace quartzhoist::entry {

namespace {

// The last order leaves this long before another may take over: steady clocks
// that differ by 2% over the silence (26 ms), the way to a worker (some ms),
// and a loop that turns late on a slow box.
constexpr base::Micros kOrderSlack = std::chrono::milliseconds(150);

}  // namespace

// The row may be written at any time after the first try was asked for, and the
// others count from then. A later try of the same beat therefore extends
// nothing.
void OwnerLease::Asked(std::uint64_t epoch,
                       std::uint64_t beat,
                       base::Micros now,
                       base::Micros silence) {
  const auto [entry, is_first] = this->open.try_emplace({epoch, beat});
  Tries& tries = entry->second;
  if (is_first) {
    tries.first = now;
    tries.end = now + silence - kOrderSlack;
  }
  ++tries.count;
}

// The fate of earlier tries of the same beat stays open.
void OwnerLease::NotMade(std::uint64_t epoch, std::uint64_t beat) {
  const auto found = this->open.find({epoch, beat});
  if (found != this->open.end() && found->second.count == 1)
    this->open.erase(found);
}

void OwnerLease::Made(std::uint64_t epoch, std::uint64_t beat) {
  const auto found = this->open.find({epoch, beat});
  if (found == this->open.end())
    return;
  this->until = std::max(this->until, found->second.end);
  this->confirmed_at = std::max(this->confirmed_at, found->second.first);
  this->open.erase(this->open.begin(), std::next(found));
}

}  // namespace quartzhoist::entry
