#include "daemon/state_json.h"

namespace quartzhoist::daemon {

using nlohmann::json;

json BoxJson(const table::Box& box) {
  return {{"name", box.name},
          {"zone", box.zone},
          {"rack", box.rack},
          {"pool", box.pool},
          {"state", std::string(NameOf(table::kBoxStateNames, box.state))},
          {"next_pool", box.next_pool},
          {"maintained", box.maintained},
          {"epoch", box.epoch}};
}

json MembersJson(const membership::Membership& members,
                 table::Version own_revision) {
  json list = json::array();
  list.push_back({{"id", members.self().id},
                  {"zone", members.self().zone},
                  {"revision", own_revision},
                  {"live", true}});
  for (const auto& [id, member] : members.members())
    list.push_back({{"id", id},
                    {"zone", member.zone},
                    {"address", member.address},
                    {"revision", member.revision},
                    {"live", member.live}});
  return list;
}

json PlansJson(const std::map<std::string, waves::PoolPlan>& plans) {
  json list = json::array();
  for (const auto& [pool, plan] : plans)
    list.push_back(
        {{"pool", pool},
         {"serving", plan.serving},
         {"need", plan.need},
         {"waiting", plan.waiting},
         {"hold", std::string(NameOf(waves::kHoldNames, plan.hold))}});
  return list;
}

json ForecastJson(const waves::Forecast& forecast) {
  json list = json::array();
  for (const auto& [pool, of_pool] : forecast)
    list.push_back({{"pool", pool},
                    {"moved", of_pool.moved},
                    {"maintained", of_pool.maintained},
                    {"waves", of_pool.waves},
                    {"lowest", of_pool.lowest},
                    {"need", of_pool.need},
                    {"stuck", of_pool.stuck}});
  return list;
}

json CountersJson(const base::Counters& counters) {
  json values = json::object();
  for (std::size_t i = 0; i < base::kCounterCount; ++i)
    values[std::string(base::kCounters[i].name)] =
        counters.Get(static_cast<base::Counter>(i));
  return values;
}

json TrafficJson(const TrafficState& traffic) {
  json targets = json::array();
  for (const dispatch::TargetView& view : traffic.targets)
    targets.push_back(
        {{"name", view.target.name},
         {"address", view.target.address},
         {"pool", view.target.pool},
         {"local", view.target.local},
         {"leaving", view.target.leaving},
         {"share", view.target.share},
         {"limit", view.limit},
         {"in_flight", view.in_flight},
         {"failure_rate", view.failure_rate},
         {"health",
          std::string(NameOf(dispatch::kHealthStateNames, view.health))}});
  json queues = json::array();
  for (const dispatch::ServiceView& view : traffic.services)
    queues.push_back({{"service", view.name},
                      {"queued", view.queued},
                      {"typical_ms", base::Seconds(view.typical_time) * 1e3}});
  return {{"targets", targets},
          {"queues", queues},
          {"open_requests", traffic.open_requests}};
}

}  // namespace quartzhoist::daemon
