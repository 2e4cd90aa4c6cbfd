// Parts of a daemon's state as JSON, for dumps and status.

#ifndef DAEMON_STATE_JSON_H_
#define DAEMON_STATE_JSON_H_

#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "base/counters.h"
#include "daemon/messages.h"
#include "membership/membership.h"
#include "waves/forecast.h"
#include "waves/planner.h"

namespace quartzhoist::daemon {

nlohmann::json BoxJson(const table::Box& box);
// Every daemon known, this one first, with the revision in force there.
nlohmann::json MembersJson(const membership::Membership& members,
                           table::Version own_revision);
nlohmann::json PlansJson(const std::map<std::string, waves::PoolPlan>& plans);
nlohmann::json ForecastJson(const waves::Forecast& forecast);
nlohmann::json CountersJson(const base::Counters& counters);
// Members "targets", "queues" and "open_requests".
nlohmann::json TrafficJson(const TrafficState& traffic);

}  // namespace quartzhoist::daemon

#endif  // DAEMON_STATE_JSON_H_
