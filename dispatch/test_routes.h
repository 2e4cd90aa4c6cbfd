// A table for tests of the dispatcher: an urgent and a patient service on one
// pool of targets.

#ifndef DISPATCH_TEST_ROUTES_H_
#define DISPATCH_TEST_ROUTES_H_

#include <memory>
#include <string>

#include "dispatch/routes.h"

namespace quartzhoist::dispatch {

inline constexpr int kSlots = 2;

inline table::ServiceRow Service(const std::string& name,
                                 table::Urgency urgency) {
  return {.name = name,
          .pool = "p",
          .urgency = urgency,
          .order = 1,
          .deadline_ms = 1000,
          .queue = 20};
}

inline std::shared_ptr<Routes> MakeRoutes(int targets, int share = kSlots) {
  auto routes = std::make_shared<Routes>();
  routes->services = {Service("fast", table::Urgency::kUrgent),
                      Service("slow", table::Urgency::kPatient)};
  for (int i = 0; i < targets; ++i) {
    const std::string name = "t" + std::to_string(i);
    routes->targets.push_back({.name = name,
                               .address = name,
                               .pool = "p",
                               .share = share,
                               .epoch = 1});
  }
  return routes;
}

}  // namespace quartzhoist::dispatch

#endif  // DISPATCH_TEST_ROUTES_H_
