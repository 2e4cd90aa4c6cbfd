// What the dispatcher needs of a snapshot: services, and the targets that this
// process may use, with its share of their slots. Immutable.

#ifndef DISPATCH_ROUTES_H_
#define DISPATCH_ROUTES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "table/snapshot.h"

namespace quartzhoist::dispatch {

struct Target {
  std::string name;
  std::string address;
  std::string pool;
  bool local = true;     // in this process's availability zone
  bool leaving = false;  // takes no new work
  int share = 1;         // slots that this process may use
  table::Version epoch = 0;
};

struct Routes {
  table::Version revision = 0;
  std::vector<table::ServiceRow> services;  // by name
  std::vector<Target> targets;              // by name
};

using RoutesPtr = std::shared_ptr<const Routes>;

// Whose process it is, and who shares the targets of its zone.
struct Sharers {
  std::string self;
  std::string zone;
  std::vector<std::string> zone_members;  // live, with self
};

// This process's share of a target's `slots`: they are dealt out among the
// live entry boxes of the target's zone, the remainder by rendezvous, so that
// the shares of those who see the same members add up to `slots`.
int ShareOfSlots(const std::string& target, int slots, const Sharers& sharers);

RoutesPtr BuildRoutes(const table::Snapshot& snapshot, const Sharers& sharers);

}  // namespace quartzhoist::dispatch

#endif  // DISPATCH_ROUTES_H_
