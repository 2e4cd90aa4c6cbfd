#include "dispatch/routes.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "base/rendezvous.h"

namespace quartzhoist::dispatch {

namespace {

// Targets of another zone are used only when the own zone has none for the
// pool. Their own zone's entry boxes share the slots among themselves; this
// little is taken on top, and a full target refuses it as not run.
constexpr int kRemoteShare = 1;

// Remote targets that are kept of each pool: enough to get by on when a zone
// has lost all of its own, at a ninth of the memory of keeping every one.
constexpr std::size_t kRemoteTargets = 8;

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

// The remote targets of one pool that this process may fall back on: those
// with the largest weights, so that every process picks others.
class RemotePick {
 public:
  void Offer(const table::Box& box, std::uint64_t weight) {
    const auto at = std::find_if(
        this->picked.begin(), this->picked.end(),
        [weight](const auto& entry) { return entry.first < weight; });
    this->picked.insert(at, {weight, &box});
    if (this->picked.size() > kRemoteTargets)
      this->picked.pop_back();
  }
  const std::vector<std::pair<std::uint64_t, const table::Box*>>& boxes()
      const {
    return this->picked;
  }

 private:
  std::vector<std::pair<std::uint64_t, const table::Box*>> picked;
};

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
  std::unordered_map<std::string_view, RemotePick> remote;
  for (const auto& [name, box] : snapshot.boxes()) {
    if (box.state == table::BoxState::kAway)
      continue;
    if (box.zone == sharers.zone)
      routes->targets.push_back(MakeTarget(box, sharers));
    else
      remote[box.pool].Offer(box, base::RendezvousWeight(name, sharers.self));
  }
  for (const auto& [pool, pick] : remote) {
    for (const auto& [weight, box] : pick.boxes())
      routes->targets.push_back(MakeTarget(*box, sharers));
  }
  std::sort(routes->targets.begin(), routes->targets.end(),
            [](const Target& a, const Target& b) { return a.name < b.name; });
  return routes;
}

}  // namespace quartzhoist::dispatch
