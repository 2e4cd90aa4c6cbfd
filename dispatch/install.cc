// Taking a new table: services, targets and pools are matched by name, so that
// queues, requests in flight and what was learned stay.

#include "dispatch/dispatcher.h"

namespace quartzhoist::dispatch {

void Dispatcher::Install(const RoutesPtr& routes,
                         base::Micros now,
                         Actions& actions) {
  this->current = routes;
  this->InstallServices(*routes, actions);
  this->InstallTargets(*routes);
  this->RebuildPools();
  for (TargetIndex target = 0; target < this->targets.size(); ++target)
    this->ReportIfDrained(target, actions);
  for (Index pool = 0; pool < this->pools.size(); ++pool)
    this->Pump(pool, now, actions);
}

Dispatcher::Index Dispatcher::PoolNamed(const std::string& name) {
  const auto [found, is_new] = this->pool_by_name.try_emplace(
      name, static_cast<Index>(this->pools.size()));
  if (is_new)
    this->pools.push_back({.name = name});
  return found->second;
}

void Dispatcher::InstallServices(const Routes& routes, Actions& actions) {
  for (ServiceEntry& service : this->services)
    service.present = false;
  for (const table::ServiceRow& row : routes.services) {
    const auto [found, is_new] = this->service_by_name.try_emplace(
        row.name, static_cast<Index>(this->services.size()));
    if (is_new)
      this->services.emplace_back();
    ServiceEntry& service = this->services[found->second];
    service.row = row;
    service.pool = this->PoolNamed(row.pool);
    service.present = true;
  }
  // A service that is gone keeps its entry for what is in flight; what waits
  // is refused, and new requests no longer find it.
  for (ServiceEntry& service : this->services) {
    if (service.present)
      continue;
    this->RefuseQueue(service, Reason::kUnknownService, std::chrono::seconds(1),
                      actions);
    this->service_by_name.erase(service.row.name);
  }
}

Dispatcher::TargetEntry& Dispatcher::TargetNamed(const std::string& name) {
  const auto found = this->target_by_name.find(name);
  if (found != this->target_by_name.end())
    return this->targets[found->second];
  TargetIndex index = static_cast<TargetIndex>(this->targets.size());
  if (this->free_targets.empty()) {
    this->targets.emplace_back();
  } else {
    index = this->free_targets.back();
    this->free_targets.pop_back();
    this->targets[index] = {};
  }
  this->target_by_name.emplace(name, index);
  return this->targets[index];
}

void Dispatcher::InstallTargets(const Routes& routes) {
  for (TargetEntry& entry : this->targets)
    entry.present = false;
  for (const Target& target : routes.targets) {
    TargetEntry& entry = this->TargetNamed(target.name);
    const bool came_back = entry.target.leaving && !target.leaving;
    const bool is_new = entry.target.name.empty() || came_back ||
                        entry.target.address != target.address;
    // A box that left and returned is another one: nothing learned holds.
    if (is_new)
      entry.health = {};
    if (is_new || target.share < entry.limit ||
        entry.limit >= entry.target.share)
      entry.limit = target.share;
    if (entry.target.epoch != target.epoch)
      entry.drain_reported = false;
    entry.target = target;
    entry.pool = this->PoolNamed(target.pool);
    entry.present = true;
  }
  // An entry is used again once nothing is in flight to what it was.
  for (TargetIndex index = 0; index < this->targets.size(); ++index) {
    TargetEntry& entry = this->targets[index];
    if (entry.present || entry.in_flight > 0 || entry.target.name.empty())
      continue;
    this->target_by_name.erase(entry.target.name);
    entry = {};
    this->free_targets.push_back(index);
  }
}

void Dispatcher::RebuildPools() {
  for (PoolEntry& pool : this->pools) {
    pool.services.clear();
    pool.targets.clear();
  }
  for (Index service = 0; service < this->services.size(); ++service) {
    if (this->services[service].present)
      this->pools[this->services[service].pool].services.push_back(service);
  }
  for (TargetIndex target = 0; target < this->targets.size(); ++target) {
    if (this->targets[target].present)
      this->pools[this->targets[target].pool].targets.push_back(target);
  }
}

}  // namespace quartzhoist::dispatch
