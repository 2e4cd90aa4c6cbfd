#include "daemon/operators.h"

#include <utility>
#include <variant>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "daemon/control.h"
#include "daemon/problem.h"
#include "daemon/resources.h"
#include "daemon/state_json.h"
#include "table/cells.h"
#include "table/codec.h"
#include "table/edit_json.h"
#include "waves/forecast.h"

namespace quartzhoist::daemon {

namespace {

using base::Verdict;
using nlohmann::json;

constexpr std::string_view kBoxes = "/v1/boxes/";

http::Response ProblemOf(int status,
                         const std::string& reason,
                         const std::string& detail,
                         Verdict verdict = Verdict::kNotRun) {
  return ToResponse({.status = status,
                     .reason = reason,
                     .detail = detail,
                     .verdict = verdict});
}

http::Response FaultsResponse(const std::vector<table::Fault>& faults) {
  json list = json::array();
  for (const table::Fault& fault : faults)
    list.push_back(
        {{"row", fault.row}, {"cell", fault.cell}, {"problem", fault.problem}});
  return http::JsonResponse(
      422, json{{"title", "faults"}, {"verdict", "not_run"}, {"faults", list}}
               .dump());
}

http::Response ConflictResponse(const table::EditConflict& conflict) {
  return http::JsonResponse(409, json{{"title", "conflict"},
                                      {"verdict", "not_run"},
                                      {"row", conflict.row},
                                      {"theirs", conflict.theirs},
                                      {"yours", conflict.yours}}
                                     .dump());
}

struct EditResponder {
  http::Response operator()(const EditAccepted& accepted) const {
    return http::JsonResponse(
        200, json{{"revision", accepted.version}, {"changed", accepted.changed}}
                 .dump());
  }
  http::Response operator()(const table::EditConflict& conflict) const {
    return ConflictResponse(conflict);
  }
  http::Response operator()(const std::vector<table::Fault>& faults) const {
    return FaultsResponse(faults);
  }
  http::Response operator()(const platform::Failure& failure) const {
    return ProblemOf(503, "platform_out", failure.error, failure.verdict);
  }
};

http::Response StepResponse(const platform::CommitOutcome& outcome) {
  if (const auto* committed = std::get_if<platform::Committed>(&outcome))
    return http::JsonResponse(200,
                              json{{"revision", committed->version}}.dump());
  if (std::holds_alternative<platform::Conflict>(outcome))
    return ProblemOf(409, "conflict",
                     "the box or its pool changed at the same time; look "
                     "again");
  const auto& failure = std::get<platform::Failure>(outcome);
  return ProblemOf(503, "platform_out", failure.error, failure.verdict);
}

}  // namespace

void Operators::Handle(const http::ExchangePtr& exchange) {
  const http::Request& request = exchange->request();
  const std::string path = request.path.substr(0, request.path.find('?'));
  const bool is_get = request.method == "GET" || request.method == "HEAD";
  // Queries.
  if (is_get && path == "/healthz")
    return exchange->Reply(this->Health());
  if (is_get && path == "/readyz")
    return exchange->Reply(this->Readiness());
  if (is_get && path == "/metrics")
    return exchange->Reply(this->Metrics());
  if (is_get && path == "/v1/table")
    return exchange->Reply(this->Table());
  if (is_get && path == "/v1/status")
    return exchange->Reply(this->Status());
  if (is_get && path == "/v1/members")
    return exchange->Reply(this->Members());
  if (is_get && path == "/v1/state")
    return this->Dump(exchange);
  if (request.method == "POST" && path == "/v1/plan")
    return exchange->Reply(this->Plan(request.body));
  // Commands.
  if (request.method == "POST" && path == "/v1/edit")
    return this->Edit(exchange);
  if (request.method == "POST" && path.starts_with(kBoxes))
    return this->BoxCommand(exchange, path.substr(kBoxes.size()));
  exchange->Reply(ProblemOf(404, "not_found",
                            "there is no " + request.method + " " + path));
}

http::Response Operators::Health() const {
  return {.status = 200, .headers = {}, .body = "ok\n"};
}

http::Response Operators::Readiness() const {
  const bool ready = this->control.ready();
  return {.status = ready ? 200 : 503,
          .headers = {},
          .body = ready ? "ready\n" : "not ready\n"};
}

http::Response Operators::Metrics() const {
  const Control& c = this->control;
  std::string text = base::PrometheusText(c.counters);
  const auto gauge = [&text](const char* name, const char* help, auto value) {
    text += fmt::format(
        "# HELP quartzhoist_{0} {1}\n# TYPE quartzhoist_{0} gauge\n"
        "quartzhoist_{0} {2}\n",
        name, help, value);
  };
  gauge("revision", "The revision in force here",
        c.follower.current()->revision());
  gauge("control_cpu_seconds", "Processor time of the control task",
        ThreadCpuSeconds());
  gauge("process_cpu_seconds", "Processor time of the process",
        ProcessCpuSeconds());
  gauge("resident_bytes", "Resident memory", ResidentBytes());
  gauge("in_force_seconds",
        "From a commit's arrival here until every live member had it",
        base::Seconds(c.last_spread));
  gauge("platform_bytes_sent", "Bytes of requests to the platform",
        c.platform.bytes_sent());
  gauge("platform_bytes_received", "Bytes of answers of the platform",
        c.platform.bytes_received());
  http::Response response{.status = 200, .headers = {}, .body = text};
  response.headers.push_back(
      {.name = "Content-Type", .value = "text/plain; version=0.0.4"});
  return response;
}

http::Response Operators::Table() const {
  const table::SnapshotPtr snapshot = this->control.follower.current();
  json rows = json::array();
  for (const auto& [id, row] : snapshot->rows()) {
    json cells = json::object();
    for (const std::string_view cell : table::CellNames(table::KindOf(row)))
      cells[std::string(cell)] = table::GetCell(row, cell);
    rows.push_back({{"row", id},
                    {"version", snapshot->VersionOf(table::RowKey(id))},
                    {"cells", cells}});
  }
  return http::JsonResponse(200,
                            json{{"revision", snapshot->revision()},
                                 {"text", table::WriteText(snapshot->rows())},
                                 {"rows", rows}}
                                .dump());
}

http::Response Operators::Status() const {
  const Control& c = this->control;
  const table::SnapshotPtr snapshot = c.follower.current();
  json boxes = json::array();
  for (const auto& [name, box] : snapshot->boxes())
    boxes.push_back(BoxJson(box));
  const json status{
      {"id", c.settings.id},
      {"zone", c.settings.zone},
      {"ready", c.ready()},
      {"revision", snapshot->revision()},
      {"platform_reachable", c.platform.reachable()},
      {"members", MembersJson(c.members, snapshot->revision())},
      {"boxes", boxes},
      {"waves", PlansJson(c.wave_driver.plans())},
  };
  return http::JsonResponse(200, status.dump());
}

// The part of the status that does not grow with the fleet.
http::Response Operators::Members() const {
  const Control& c = this->control;
  const table::Version revision = c.follower.current()->revision();
  return http::JsonResponse(200,
                            json{{"ready", c.ready()},
                                 {"revision", revision},
                                 {"members", MembersJson(c.members, revision)}}
                                .dump());
}

void Operators::Dump(const http::ExchangePtr& exchange) {
  Control& c = this->control;
  const std::uint64_t ticket = ++c.last_ticket;
  exchange->OnAbandoned([&c, ticket] { c.asked.erase(ticket); });
  c.asked.emplace(ticket, [&c, exchange](const TrafficState& traffic) {
    json state{
        {"id", c.settings.id},
        {"zone", c.settings.zone},
        {"cluster", c.settings.cluster},
        {"incarnation", c.members.self().incarnation},
        {"ready", c.ready()},
        {"stopping", c.stopping},
        {"table",
         {{"revision", c.follower.current()->revision()},
          {"rows", c.follower.current()->rows().size()},
          {"boxes", c.follower.current()->boxes().size()}}},
        {"platform_reachable", c.platform.reachable()},
        {"members", MembersJson(c.members, c.follower.current()->revision())},
        {"claims",
         {{"undecided", traffic.claims_pending},
          {"writes_pending", c.claims.pending()}}},
        {"waves", PlansJson(c.wave_driver.plans())},
        {"counters", CountersJson(c.counters)},
        {"control_cpu_seconds", ThreadCpuSeconds()},
        {"process_cpu_seconds", ProcessCpuSeconds()},
        {"resident_bytes", ResidentBytes()},
    };
    state.update(TrafficJson(traffic));
    exchange->Reply(http::JsonResponse(200, state.dump()));
  });
  c.tell_traffic(AskTrafficState{.ticket = ticket});
}

http::Response Operators::Plan(const std::string& body) const {
  const Control& c = this->control;
  table::EditOutcome outcome;
  try {
    outcome = table::ApplyEdit(*c.follower.current(), table::DecodeEdit(body));
  } catch (const std::exception& error) {
    return ProblemOf(400, "bad_request", error.what());
  }
  if (const auto* faults = std::get_if<std::vector<table::Fault>>(&outcome))
    return FaultsResponse(*faults);
  if (const auto* conflict = std::get_if<table::EditConflict>(&outcome))
    return ConflictResponse(*conflict);
  const auto& edited = std::get<table::Edited>(outcome);
  const waves::Forecast forecast = waves::MakeForecast(
      waves::WithRows(c.follower.current(), edited.rows), c.FactsNow());
  return http::JsonResponse(
      200, json{{"changed", edited.changed}, {"pools", ForecastJson(forecast)}}
               .dump());
}

void Operators::Edit(const http::ExchangePtr& exchange) {
  table::Edit edit;
  try {
    edit = table::DecodeEdit(exchange->request().body);
  } catch (const std::exception& error) {
    exchange->Reply(ProblemOf(400, "bad_request", error.what()));
    return;
  }
  this->control.editor.Submit(
      std::move(edit), [exchange](const EditResult& result) {
        exchange->Reply(std::visit(EditResponder{}, result));
      });
}

// POST /v1/boxes/NAME/drain, body {"to": POOL} or empty; .../NAME/cancel.
void Operators::BoxCommand(const http::ExchangePtr& exchange,
                           const std::string& path) {
  Control& c = this->control;
  const std::size_t slash = path.rfind('/');
  const std::string name = path.substr(0, slash);
  const std::string verb =
      slash == std::string::npos ? "" : path.substr(slash + 1);
  const table::Box* box = c.follower.current()->FindBox(name);
  if (!box)
    return exchange->Reply(
        ProblemOf(404, "no_such_box", "there is no box " + name));
  const json body = json::parse(exchange->request().body, nullptr, false);
  const std::string to =
      body.is_object() && body.contains("to") && body.at("to").is_string()
          ? body.at("to").get<std::string>()
          : box->pool;
  waves::PoolPlan plan{.pool = box->pool};
  if (verb == "drain") {
    plan.steps.push_back({waves::StepKind::kDepart, name, to});
  } else if (verb == "cancel") {
    plan.steps.push_back({waves::StepKind::kCancel, name, ""});
  } else {
    return exchange->Reply(
        ProblemOf(404, "not_found", "a box can be told to drain or cancel"));
  }
  if (!c.follower.current()->FindPool(to))
    return exchange->Reply(
        ProblemOf(422, "no_such_pool", "there is no pool/" + to));
  const waves::Facts facts = c.FactsNow();
  const waves::PoolPlan now =
      waves::PlanPool(waves::Fleet(c.follower.current(), facts), box->pool);
  if (verb == "drain" && now.serving <= now.need)
    return exchange->Reply(ProblemOf(
        409, "budget",
        fmt::format("pool/{} must keep {} boxes serving and has {}; wait, or "
                    "raise 'away' of its services",
                    box->pool, now.need, now.serving)));
  try {
    c.wave_driver.Write(plan,
                        [exchange](const platform::CommitOutcome& outcome) {
                          exchange->Reply(StepResponse(outcome));
                        });
  } catch (const std::logic_error& error) {
    exchange->Reply(ProblemOf(409, "wrong_state", error.what()));
  }
}

}  // namespace quartzhoist::daemon
