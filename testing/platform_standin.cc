#include "testing/platform_standin.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <nlohmann/json.hpp>

#include "table/codec.h"

namespace quartzhoist::testing {

namespace {

using nlohmann::json;

constexpr base::Micros kTick = std::chrono::milliseconds(5);

http::Response Plain(int status, const std::string& text) {
  return {.status = status, .headers = {}, .body = text};
}

std::uint64_t QueryNumber(const std::string& path) {
  const std::size_t equals = path.find("after=");
  return equals == std::string::npos ? 0 : std::stoull(path.substr(equals + 6));
}

}  // namespace

PlatformStandin::PlatformStandin(base::Loop& loop, const Options& options)
    : ready_after(options.ready_after),
      server(loop,
             {.address = options.address,
              .port = options.port,
              .max_body = 16u << 20},
             [this](const http::ExchangePtr& exchange) {
               this->Handle(exchange);
             }),
      tick(loop, [this] { this->ReadyBoxes(); }) {
  this->tick.StartEvery(kTick);
}

double PlatformStandin::Now() const {
  return base::Seconds(base::MonotonicNow() - this->started);
}

void PlatformStandin::List(platform::ListedBox box) {
  Listed& entry = this->listed[box.name];
  const bool changed = entry.version == 0 || entry.box.live != box.live;
  box.since = changed ? this->Now() : entry.box.since;
  entry.box = std::move(box);
  entry.version = ++this->list_version;
}

void PlatformStandin::Handle(const http::ExchangePtr& exchange) {
  const http::Request& request = exchange->request();
  // Commands of the test bench work whatever is wrong.
  if (request.path == "/bench/faults")
    return exchange->Reply(this->SetFaults(request.body));
  if (request.path == "/bench/box")
    return exchange->Reply(this->SetBox(request.body));
  if (this->current_faults.silent) {
    this->unanswered.push_back(exchange);
    return;
  }
  if (this->current_faults.down)
    return this->ReplyLater(exchange, Plain(503, "down"));
  http::Response response;
  try {
    response = this->Answer(request);
  } catch (const std::exception& error) {
    response = Plain(400, error.what());
  }
  // The write has taken effect; its reply is lost.
  if (request.path == "/v1/commit" &&
      this->current_faults.lose_commit_replies > 0) {
    --this->current_faults.lose_commit_replies;
    this->unanswered.push_back(exchange);
    return;
  }
  this->ReplyLater(exchange, std::move(response));
}

http::Response PlatformStandin::Answer(const http::Request& request) {
  constexpr std::string_view kRows = "/v1/rows/";
  const std::string& path = request.path;
  if (path.starts_with("/v1/changes"))
    return http::JsonResponse(
        200, platform::EncodeDelta(this->rows.Changes(QueryNumber(path))));
  if (path == "/v1/commit")
    return this->CommitAll(request.body);
  if (path.starts_with("/v1/boxes"))
    return this->Boxes(QueryNumber(path));
  if (path.starts_with(kRows)) {
    const table::StoredRow row = this->rows.Read(path.substr(kRows.size()));
    table::Delta delta{.upto = this->rows.version(), .rows = {}};
    if (row.version > 0)
      delta.rows.push_back(row);
    return http::JsonResponse(200, platform::EncodeDelta(delta));
  }
  return Plain(404, "no such path");
}

http::Response PlatformStandin::CommitAll(const std::string& body) {
  std::vector<platform::CommitResult> results;
  for (const platform::Transaction& transaction :
       platform::DecodeTransactions(body))
    results.push_back(this->rows.Commit(transaction));
  return http::JsonResponse(200, platform::EncodeResults(results));
}

http::Response PlatformStandin::Boxes(std::uint64_t after) const {
  platform::BoxList list{
      .version = this->list_version, .now = this->Now(), .boxes = {}};
  for (const auto& [name, entry] : this->listed) {
    if (entry.version > after)
      list.boxes.push_back(entry.box);
  }
  return http::JsonResponse(200, platform::EncodeBoxes(list));
}

http::Response PlatformStandin::SetFaults(const std::string& body) {
  const json value = json::parse(body, nullptr, false);
  if (!value.is_object())
    return Plain(400, "not a JSON object");
  this->current_faults = {
      .down = value.value("down", false),
      .silent = value.value("silent", false),
      .lose_commit_replies = value.value("lose_commit_replies", 0),
      .delay_ms = value.value("delay_ms", 0)};
  return http::JsonResponse(200, "{}");
}

http::Response PlatformStandin::SetBox(const std::string& body) {
  const json value = json::parse(body, nullptr, false);
  if (!value.is_object() || !value.contains("name"))
    return Plain(400, "name is missing");
  const std::string name = value.at("name").get<std::string>();
  platform::ListedBox box;
  if (const auto found = this->listed.find(name); found != this->listed.end())
    box = found->second.box;
  box.name = name;
  box.zone = value.value("zone", box.zone);
  box.entry = value.value("entry", box.entry);
  box.address = value.value("address", box.address);
  box.live = value.value("live", box.live);
  this->List(box);
  return http::JsonResponse(200, "{}");
}

void PlatformStandin::ReplyLater(const http::ExchangePtr& exchange,
                                 http::Response response) {
  if (this->current_faults.delay_ms == 0) {
    exchange->Reply(std::move(response));
    return;
  }
  const base::Micros due =
      base::MonotonicNow() +
      std::chrono::milliseconds(this->current_faults.delay_ms);
  this->delayed.push_back({due, exchange, std::move(response)});
}

// Empties' reboots and moves take their time; then the box list says so.
void PlatformStandin::ReadyBoxes() {
  const base::Micros now = base::MonotonicNow();
  for (Delayed& entry : this->delayed) {
    if (entry.due <= now)
      entry.exchange->Reply(std::move(entry.response));
  }
  std::erase_if(this->delayed,
                [now](const Delayed& entry) { return entry.due <= now; });
  for (const auto& [key, row] : this->rows.rows()) {
    if (!key.starts_with(table::kBoxPrefix) || row.value.empty())
      continue;
    const table::Box box = table::DecodeBox(row);
    if (box.state != table::BoxState::kAway) {
      this->away_since.erase(box.name);
      continue;
    }
    const base::Micros since =
        this->away_since.try_emplace(box.name, now).first->second;
    Listed& entry = this->listed[box.name];
    if (now - since < this->ready_after || entry.box.ready_epoch >= box.epoch)
      continue;
    platform::ListedBox readied = entry.box;
    readied.name = box.name;
    readied.zone = box.zone;
    readied.ready_epoch = box.epoch;
    this->List(readied);
  }
}

}  // namespace quartzhoist::testing
