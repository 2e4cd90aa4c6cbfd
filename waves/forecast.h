// What a table would lead to: the plans played forward, with every box drained
// and readied at once. Pure.

#ifndef WAVES_FORECAST_H_
#define WAVES_FORECAST_H_

#include <cstdint>
#include <map>
#include <string>

#include "table/snapshot.h"
#include "waves/facts.h"

namespace quartzhoist::waves {

struct PoolForecast {
  std::int64_t moved = 0;       // boxes that leave for another pool
  std::int64_t maintained = 0;  // boxes that leave and come back
  std::int64_t waves = 0;       // rounds in which boxes leave
  std::int64_t lowest = 0;      // fewest boxes serving at any time
  std::int64_t need = 0;        // boxes that must stay serving
  std::int64_t stuck = 0;       // boxes that could never go
};

using Forecast = std::map<std::string, PoolForecast>;

// `snapshot` with the table's rows replaced.
table::SnapshotPtr WithRows(const table::SnapshotPtr& snapshot,
                            const table::Rows& rows);

Forecast MakeForecast(table::SnapshotPtr snapshot, const Facts& facts);

}  // namespace quartzhoist::waves

#endif  // WAVES_FORECAST_H_
