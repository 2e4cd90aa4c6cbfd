// A worker box, as its row in the platform tells: one row, one pool.

#ifndef TABLE_BOX_H_
#define TABLE_BOX_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/enum_names.h"
#include "table/stored_row.h"

namespace quartzhoist::table {

enum class BoxState {
  kServing,   // takes work of its pool
  kDraining,  // takes no new work; what is in flight finishes
  kAway,      // empty: being moved or maintained
};

inline constexpr base::EnumNames<BoxState, 3> kBoxStateNames{{
    {BoxState::kServing, "serving"},
    {BoxState::kDraining, "draining"},
    {BoxState::kAway, "away"},
}};

struct Box {
  std::string name;
  std::string zone;
  std::string rack;
  std::string address;  // "10.0.0.1:8080"
  std::string pool;     // the one pool it belongs to
  BoxState state = BoxState::kServing;
  std::string next_pool;        // where a draining or away box goes
  std::int64_t maintained = 0;  // the pool's `maintain` it was last done for
  std::int64_t slots = 8;       // requests it runs at once
  std::int64_t cores = 16;
  std::int64_t memory_mb = 32'768;
  std::int64_t accelerators = 0;
  Version epoch = 0;  // the row's version

  bool operator==(const Box&) const = default;
};

// The boxes of a pool that are on their way: one row a pool. Every departure
// and return writes it together with the box's row, so two who plan at once
// cannot both take the last box that may be away.
struct Wave {
  std::string pool;
  std::vector<std::string> away;
  Version epoch = 0;  // the row's version; 0: not written yet

  bool operator==(const Wave&) const = default;
};

}  // namespace quartzhoist::table

#endif  // TABLE_BOX_H_
