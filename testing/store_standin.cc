#include "testing/store_standin.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "platform/base64.h"

namespace quartzhoist::testing {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

std::string Unescape(std::string_view text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(
          std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

std::map<std::string, std::string> QueryOf(const std::string& path) {
  std::map<std::string, std::string> query;
  const std::size_t mark = path.find('?');
  if (mark == std::string::npos)
    return query;
  std::string_view rest = std::string_view(path).substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view one = rest.substr(0, rest.find('&'));
    const std::size_t equals = one.find('=');
    if (equals != std::string_view::npos)
      query[std::string(one.substr(0, equals))] =
          Unescape(one.substr(equals + 1));
    rest.remove_prefix(std::min(rest.size(), one.size() + 1));
  }
  return query;
}

platform::RowKey KeyOf(const json& entry) {
  return {.table = entry.at("table"),
          .part = entry.at("part"),
          .key = entry.at("key")};
}

// The fewest milliseconds that an answer takes.
constexpr base::Micros kTimerPeriod = milliseconds(4);
constexpr base::Micros kLeastLateness = milliseconds(1000);
constexpr base::Micros kLatenessStep = milliseconds(700);
constexpr int kLatenessSteps = 8;

}  // namespace

std::int64_t StoreStandin::NowMillis() const {
  return base::Millis(base::MonotonicNow() + this->clock_ahead);
}

StoreStandin::StoreStandin(base::Loop& on, std::uint16_t port)
    : loop(on),
      timer(on,
            [this] {
              this->HandleDelayed();
              this->AnswerWaiting();
            }),
      server(on, {.port = port}, [this](const http::ExchangePtr& exchange) {
        this->Handle({.exchange = exchange});
      }) {
  this->timer.StartEvery(kTimerPeriod);
}

std::string StoreStandin::address() const {
  return fmt::format("127.0.0.1:{}", this->server.port());
}

std::string StoreStandin::AddEndpoint(const std::string& name) {
  Endpoint& endpoint = this->endpoints[name];
  endpoint.server = std::make_unique<http::Server>(
      this->loop, http::ServerOptions{},
      [this, &endpoint](const http::ExchangePtr& exchange) {
        this->Handle({.exchange = exchange, .endpoint = &endpoint});
      });
  return this->AddressOf(name);
}

std::string StoreStandin::AddressOf(const std::string& name) const {
  return fmt::format("127.0.0.1:{}", this->endpoints.at(name).server->port());
}

void StoreStandin::SetMoodOf(const std::string& name, Mood mood_now) {
  this->endpoints.at(name).mood = mood_now;
}

void StoreStandin::CutCallsOf(const std::string& name) {
  const Endpoint* endpoint = &this->endpoints.at(name);
  std::vector<Call> in_service;
  std::erase_if(this->delayed, [&](const auto& entry) {
    if (entry.second.endpoint != endpoint)
      return false;
    in_service.push_back(entry.second);
    return true;
  });
  std::erase_if(this->waiting, [&](const Waiting& feed) {
    if (feed.endpoint != endpoint)
      return false;
    in_service.push_back({.exchange = feed.exchange});
    return true;
  });
  for (const Call& call : in_service) {
    if (call.exchange->request().path == "/rows-tx")
      this->Write(call.exchange, call.body, Mood::kLosesAnswers);
    call.exchange->Cut();
  }
}

void StoreStandin::ForgetHistory() {
  this->history.clear();
  this->forgotten = this->version;
  for (const Waiting& feed : std::exchange(this->waiting, {}))
    feed.exchange->Reply(http::JsonResponse(410, "{}"));
}

void StoreStandin::Put(const platform::RowKey& at, const std::string& value) {
  this->rows[at] = {.value = value, .version = ++this->version};
  this->history.push_back(
      {.version = this->version, .at = at, .removed = false, .value = value});
  this->AnswerWaiting();
}

void StoreStandin::Remove(const platform::RowKey& at) {
  this->rows.erase(at);
  this->history.push_back(
      {.version = ++this->version, .at = at, .removed = true, .value = ""});
  this->AnswerWaiting();
}

std::string StoreStandin::Value(const platform::RowKey& at) const {
  const auto found = this->rows.find(at);
  return found == this->rows.end() ? std::string() : found->second.value;
}

std::vector<platform::Row> StoreStandin::Table(const std::string& table) const {
  std::vector<platform::Row> found;
  for (const auto& [at, stored] : this->rows) {
    if (at.table == table)
      found.push_back(
          {.at = at, .value = stored.value, .version = stored.version});
  }
  return found;
}

json StoreStandin::RowJson(const platform::RowKey& at) const {
  json row = {{"table", at.table}, {"part", at.part}, {"key", at.key}};
  const auto found = this->rows.find(at);
  row["ver"] = found == this->rows.end() ? 0 : found->second.version;
  if (found != this->rows.end())
    row["value"] = platform::ToBase64(found->second.value);
  return row;
}

std::string StoreStandin::WhyRefused(const json& write) const {
  std::set<std::string> parts;
  for (const char* kind : {"expectedRev", "put", "remove"}) {
    for (const json& entry : write.at(kind))
      parts.insert(KeyOf(entry).part);
  }
  const bool spans = parts.size() > 1;
  if (spans && (!this->can.writes_span_parts || !write.value("across", false)))
    return "rows of several parts";
  for (const json& put : write.at("put")) {
    if (put.at("value").get<std::string>().size() > this->can.row_bytes)
      return "a row is too large";
  }
  return "";
}

StoreStandin::Mood StoreStandin::MoodOf(const Call& call) {
  const std::string& path = call.exchange->request().path;
  if (call.endpoint && call.endpoint->mood != Mood::kWell)
    return call.endpoint->mood;
  std::deque<Mood> none;
  std::deque<Mood>& next_moods = path == "/rows-tx" ? this->next_writes
                                 : path.starts_with("/rows-get")
                                     ? this->next_reads
                                     : none;
  if (next_moods.empty())
    return this->mood;
  const Mood next = next_moods.front();
  next_moods.pop_front();
  return next;
}

void StoreStandin::Handle(Call call) {
  call.body = call.exchange->request().body;
  if (this->delay > base::Micros::zero())
    this->delayed.emplace(base::MonotonicNow() + this->delay, call);
  else
    this->HandleNow(call);
}

void StoreStandin::HandleNow(const Call& call) {
  const http::ExchangePtr& exchange = call.exchange;
  const bool is_write = exchange->request().path == "/rows-tx";
  const Mood now = this->MoodOf(call);
  this->write_count += is_write;
  if (now == Mood::kCuts) {
    exchange->Cut();
    return;
  }
  if (now == Mood::kBusy) {
    exchange->Reply(http::JsonResponse(503, "{}"));
    return;
  }
  if (now == Mood::kTooMany) {
    exchange->Reply(http::JsonResponse(429, "{}"));
    return;
  }
  if (now == Mood::kLate && is_write) {
    const int steps = this->write_count % kLatenessSteps;
    this->late.emplace(
        base::MonotonicNow() + kLeastLateness + steps * kLatenessStep, call);
    return;
  }
  if (now == Mood::kSilent || now == Mood::kLate) {
    this->unanswered.push_back(exchange);
    return;
  }
  const std::string& path = exchange->request().path;
  if (is_write)
    this->Write(exchange, call.body, now);
  else if (path.starts_with("/rows-get"))
    this->Read(exchange);
  else if (path.starts_with("/rows-feed"))
    this->Feed(call);
  else
    exchange->Reply(http::JsonResponse(404, "{}"));
}

void StoreStandin::Write(const http::ExchangePtr& exchange,
                         const std::string& content,
                         Mood now) {
  const json body = json::parse(content);
  const std::string refusal = this->WhyRefused(body);
  if (!refusal.empty()) {
    exchange->Reply(http::JsonResponse(400, json{{"error", refusal}}.dump()));
    return;
  }
  json conflict = {{"rows", json::array()}};
  bool holds = true;
  for (const json& condition : body.at("expectedRev")) {
    const json row = this->RowJson(KeyOf(condition));
    holds = holds && row["ver"] == condition.at("ver");
    conflict["rows"].push_back(row);
  }
  if (!holds) {
    conflict["ver"] = this->version;
    exchange->Reply(http::JsonResponse(412, conflict.dump()));
    return;
  }
  ++this->version;
  for (const json& put : body.at("put")) {
    const std::string value =
        platform::FromBase64(put.at("value").get<std::string>()).value();
    this->rows[KeyOf(put)] = {.value = value, .version = this->version};
    this->history.push_back({.version = this->version,
                             .at = KeyOf(put),
                             .removed = false,
                             .value = value});
  }
  for (const json& removed : body.at("remove")) {
    this->rows.erase(KeyOf(removed));
    this->history.push_back({.version = this->version,
                             .at = KeyOf(removed),
                             .removed = true,
                             .value = ""});
  }
  if (now == Mood::kLosesAnswers)
    exchange->Cut();
  else
    exchange->Reply(http::JsonResponse(
        200, json{{"ver", this->version}, {"now_ms", NowMillis()}}.dump()));
  this->AnswerWaiting();
}

void StoreStandin::Read(const http::ExchangePtr& exchange) {
  ++this->read_count;
  auto query = QueryOf(exchange->request().path);
  json answer = {{"rows", json::array()},
                 {"more", false},
                 {"ver", this->version},
                 {"now_ms", NowMillis()}};
  std::size_t limit = this->page;
  if (query.contains("limit"))
    limit = std::min<std::size_t>(limit, std::stoul(query["limit"]));
  for (const auto& [at, stored] : this->rows) {
    const bool fits =
        at.table == query["table"] && at.part == query["part"] &&
        at.key >= query["from"] &&
        (query["targetVersion"].empty() || at.key < query["targetVersion"]);
    if (!fits)
      continue;
    if (answer["rows"].size() == limit) {
      answer["more"] = true;
      break;
    }
    answer["rows"].push_back(this->RowJson(at));
  }
  this->sent_rows += static_cast<int>(answer["rows"].size());
  exchange->Reply(http::JsonResponse(200, answer.dump()));
}

void StoreStandin::Feed(const Call& call) {
  const http::ExchangePtr& exchange = call.exchange;
  auto query = QueryOf(exchange->request().path);
  const Waiting feed{
      .exchange = exchange,
      .table = query["table"],
      .from = std::stoull(query["dependsOn"]),
      .until = base::MonotonicNow() + milliseconds(std::stol(query["waitMs"])),
      .endpoint = call.endpoint};
  if (feed.from < this->forgotten) {
    exchange->Reply(http::JsonResponse(410, "{}"));
    return;
  }
  if (!this->AnswerFeed(feed, false))
    this->waiting.push_back(feed);
}

bool StoreStandin::AnswerFeed(const Waiting& feed, bool over) {
  json answer = {
      {"rows", json::array()}, {"ver", this->version}, {"now_ms", NowMillis()}};
  for (const Change& change : this->history) {
    if (change.version <= feed.from || change.at.table != feed.table)
      continue;
    json row = {{"table", change.at.table},
                {"part", change.at.part},
                {"key", change.at.key},
                {"ver", change.version}};
    if (change.removed)
      row["gone"] = true;
    else
      row["value"] = platform::ToBase64(change.value);
    answer["rows"].push_back(std::move(row));
  }
  if (answer["rows"].empty() && !over)
    return false;
  this->sent_rows += static_cast<int>(answer["rows"].size());
  feed.exchange->Reply(http::JsonResponse(200, answer.dump()));
  return true;
}

void StoreStandin::HandleDelayed() {
  const base::Micros now = base::MonotonicNow();
  while (!this->delayed.empty() && this->delayed.begin()->first <= now) {
    const Call call = this->delayed.begin()->second;
    this->delayed.erase(this->delayed.begin());
    this->HandleNow(call);
  }
  while (!this->late.empty() && this->late.begin()->first <= now) {
    const Call write = this->late.begin()->second;
    this->late.erase(this->late.begin());
    this->Write(write.exchange, write.body, Mood::kLosesAnswers);
  }
}

void StoreStandin::AnswerWaiting() {
  if (this->mood == Mood::kSilent)
    return;
  const base::Micros now = base::MonotonicNow();
  std::erase_if(this->waiting, [this, now](const Waiting& feed) {
    return feed.exchange->abandoned() ||
           this->AnswerFeed(feed, now >= feed.until);
  });
}

}  // namespace quartzhoist::testing
