#include "dispatch/routes.h"

#include <algorithm>

#include "base/rendezvous.h"

namespace quartzhoist::dispatch {

namespace {

// Targets of another zone are used only when the own zone has none for the
// pool. Their own zone's entry boxes share the slots among themselves; this
// little is taken on top, and a full target refuses it as not run.
constexpr int kRemoteShare = 1;

Target MakeTarget(const table::Box& box, const Sharers& sharers) {
  Target target{.name = box.name,
                .address = box.address,
                .pool = box.pool,
                .local = box.zone == sharers.zone,
                .leaving = box.state != table::BoxState::kServing,
                .share = kRemoteShare,
                .epoch = box.epoch};
  if (target.local)
    target.share = ShareOfSlots(box.name, static_cast<int>(box.slots), sharers);
  return target;
}

}  // namespace

int ShareOfSlots(const std::string& target, int slots, const Sharers& sharers) {
  const int members = static_cast<int>(sharers.zone_members.size());
  if (members <= 1)
    return slots;
  // How many members come before this one in the target's own order.
  const std::uint64_t own = base::RendezvousWeight(target, sharers.self);
  const auto rank =
      std::count_if(sharers.zone_members.begin(), sharers.zone_members.end(),
                    [&](const std::string& member) {
                      return member != sharers.self &&
                             base::RendezvousWeight(target, member) > own;
                    });
  return slots / members + (rank < slots % members ? 1 : 0);
}

RoutesPtr BuildRoutes(const table::Snapshot& snapshot, const Sharers& sharers) {
  auto routes = std::make_shared<Routes>();
  routes->revision = snapshot.revision();
  for (const auto& [id, row] : snapshot.rows()) {
    if (const auto* service = std::get_if<table::ServiceRow>(&row))
      routes->services.push_back(*service);
  }
  for (const auto& [name, box] : snapshot.boxes()) {
    if (box.state != table::BoxState::kAway)
      routes->targets.push_back(MakeTarget(box, sharers));
  }
  return routes;
}

}  // namespace quartzhoist::dispatch
