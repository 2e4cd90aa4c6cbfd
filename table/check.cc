#include "table/check.h"

#include <algorithm>

#include <fmt/format.h>

namespace quartzhoist::table {

namespace {

void CheckService(const Rows& rows,
                  const ServiceRow& service,
                  std::vector<Fault>& faults) {
  const std::string id = "service/" + service.name;
  if (service.pool.empty()) {
    faults.push_back({id, "pool", "a service must name its pool"});
  } else if (!rows.contains("pool/" + service.pool)) {
    faults.push_back(
        {id, "pool", fmt::format("there is no pool/{}", service.pool)});
  }
}

void CheckPool(const Rows& rows,
               const PoolRow& pool,
               std::vector<Fault>& faults) {
  if (pool.boxes > 0)
    return;
  for (const auto& [id, row] : rows) {
    const auto* service = std::get_if<ServiceRow>(&row);
    if (service && service->pool == pool.name)
      faults.push_back({"pool/" + pool.name, "boxes",
                        fmt::format("no box is left for {}; give the service "
                                    "another pool first",
                                    id)});
  }
}

}  // namespace

std::vector<Fault> Check(const Rows& rows) {
  std::vector<Fault> faults;
  for (const auto& [id, row] : rows) {
    if (const auto* service = std::get_if<ServiceRow>(&row))
      CheckService(rows, *service, faults);
    if (const auto* pool = std::get_if<PoolRow>(&row))
      CheckPool(rows, *pool, faults);
  }
  return faults;
}

std::int64_t MayBeAway(const Rows& rows, const PoolRow& pool) {
  std::int64_t percent = 100;
  for (const auto& [id, row] : rows) {
    const auto* service = std::get_if<ServiceRow>(&row);
    if (service && service->pool == pool.name)
      percent = std::min(percent, service->away);
  }
  return pool.boxes * percent / 100;
}

}  // namespace quartzhoist::table
