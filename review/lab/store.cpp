#include "lab/store.hpp"

#include <algorithm>
#include <chrono>
#include <set>

#include "lab/clock.hpp"

namespace review {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t kTransactionMillis = 3;
constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kMaxRowBytes = 65'536;  // of a value, before base64
constexpr std::size_t kMaxPageRows = 500;
constexpr const char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string ToBase64(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j)
      bits =
          bits << 8U |
          (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
    for (std::size_t j = 0; j < 4; ++j)
      out += i + j > text.size() ? '=' : kDigits[bits >> (18 - 6 * j) & 63U];
  }
  return out;
}

std::string FromBase64(const std::string& text) {
  std::string out;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    const char* const at = std::find(kDigits, kDigits + 64, c);
    if (at == kDigits + 64)
      break;
    bits = bits << 6U | static_cast<std::uint32_t>(at - kDigits);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>(bits >> count & 255U);
    }
  }
  return out;
}

std::string QueryOr(const Request& request,
                    const char* name,
                    const std::string& absent) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? absent : found->second;
}

Response Refused(const std::string& why) {
  return {.status = 400, .body = Json{{"error", why}}.dump()};
}

}  // namespace

Response Store::Handle(const Request& request) {
  if (request.path == "/rows-tx")
    return this->Transact(request);
  if (request.path == "/rows-get")
    return this->Get(request);
  if (request.path == "/rows-feed")
    return this->Feed(request);
  if (request.path == "/rows-parts")
    return this->Parts(request);
  return {.status = 404};
}

void Store::Put(const std::string& table,
                const std::string& key,
                const Json& value) {
  const std::lock_guard guard(this->lock);
  ++this->version;
  this->Set({table, "", key}, ToBase64(value.dump()));
  this->changed.notify_all();
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard guard(this->lock);
  ++this->version;
  this->Erase({table, "", key});
  this->changed.notify_all();
}

std::string Store::Value(const std::string& table, const std::string& key) {
  const std::lock_guard guard(this->lock);
  const auto found = this->rows.find({table, "", key});
  return found == this->rows.end() ? "" : FromBase64(found->second.value);
}

void Store::Set(const Key& key, const std::string& value) {
  this->rows[key] = {.value = value, .version = this->version};
  this->history.push_back(
      {.version = this->version, .key = key, .removed = false, .value = value});
}

void Store::Erase(const Key& key) {
  if (this->rows.erase(key) > 0)
    this->history.push_back(
        {.version = this->version, .key = key, .removed = true, .value = ""});
}

Json Store::Answer() const {
  return {{"ver", this->version}, {"now_ms", NowMillis()}};
}

Json Store::RowJson(const Key& key) const {
  const auto& [table, part, name] = key;
  Json json = {{"table", table}, {"part", part}, {"key", name}, {"ver", 0}};
  const auto found = this->rows.find(key);
  if (found != this->rows.end()) {
    json["ver"] = found->second.version;
    json["value"] = found->second.value;
  }
  return json;
}

Response Store::Transact(const Request& request) {
  const Json body = Json::parse(request.body);
  const auto key_of = [](const Json& entry) {
    return Key(entry.at("table"), entry.at("part"), entry.at("key"));
  };
  std::set<std::string> parts;
  std::size_t entries = 0;
  for (const char* kind : {"expectedRev", "put", "remove"}) {
    for (const Json& entry : body.at(kind)) {
      parts.insert(entry.at("part"));
      ++entries;
      if (entry.contains("value") &&
          FromBase64(entry.at("value")).size() > kMaxRowBytes)
        return Refused("a row is too large");
      if (entry.at("table") == "servers" && std::string(kind) != "expectedRev")
        return {.status = 403};
    }
  }
  const bool across = body.value("across", false);
  if (entries > kMaxEntries || (parts.size() > 1 && !across))
    return Refused("too many entries or parts");
  SleepMillis(parts.size() > 1 ? 2 * kTransactionMillis : kTransactionMillis);
  const std::lock_guard guard(this->lock);
  Json conflict = this->Answer();
  conflict["rows"] = Json::array();
  bool holds = true;
  for (const Json& expected : body.at("expectedRev")) {
    const Json row = this->RowJson(key_of(expected));
    holds = holds && row.at("ver") == expected.at("ver");
    conflict["rows"].push_back(row);
  }
  if (!holds)
    return {.status = 412, .body = conflict.dump()};
  ++this->version;
  for (const Json& put : body.at("put"))
    this->Set(key_of(put), put.at("value"));
  for (const Json& removed : body.at("remove"))
    this->Erase(key_of(removed));
  this->changed.notify_all();
  return {.status = 200, .body = this->Answer().dump()};
}

Response Store::Get(const Request& request) {
  const std::string table = QueryOr(request, "table", "");
  const std::string part = QueryOr(request, "part", "");
  const std::string to = QueryOr(request, "targetVersion", "");
  const std::size_t limit =
      std::min(kMaxPageRows, std::stoul(QueryOr(request, "limit", "500")));
  SleepMillis(1);
  const std::lock_guard guard(this->lock);
  Json answer = this->Answer();
  answer["rows"] = Json::array();
  answer["more"] = false;
  for (auto row =
           this->rows.lower_bound({table, part, QueryOr(request, "from", "")});
       row != this->rows.end(); ++row) {
    const auto& [row_table, row_part, key] = row->first;
    if (row_table != table || row_part != part || (!to.empty() && key >= to))
      break;
    if (answer["rows"].size() == limit) {
      answer["more"] = true;
      break;
    }
    answer["rows"].push_back(this->RowJson(row->first));
  }
  return {.status = 200, .body = answer.dump()};
}

Response Store::Feed(const Request& request) {
  const std::string table = QueryOr(request, "table", "");
  const std::uint64_t from = std::stoull(QueryOr(request, "dependsOn", "0"));
  const auto until =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(std::stol(QueryOr(request, "waitMs", "0")));
  std::unique_lock guard(this->lock);
  Json rows = Json::array();
  std::uint64_t seen = from;
  do {
    const auto first =
        std::upper_bound(this->history.begin(), this->history.end(), seen,
                         [](std::uint64_t version, const Change& change) {
                           return version < change.version;
                         });
    for (auto change = first; change != this->history.end(); ++change) {
      const auto& [row_table, part, key] = change->key;
      if (row_table != table)
        continue;
      Json row = {{"table", table},
                  {"part", part},
                  {"key", key},
                  {"ver", change->version}};
      if (change->removed)
        row["gone"] = true;
      else
        row["value"] = change->value;
      rows.push_back(std::move(row));
    }
    seen = this->version;
  } while (rows.empty() && this->changed.wait_until(guard, until) ==
                               std::cv_status::no_timeout);
  Json answer = this->Answer();
  answer["rows"] = std::move(rows);
  return {.status = 200, .body = answer.dump()};
}

Response Store::Parts(const Request& request) {
  const std::string table = QueryOr(request, "table", "");
  const std::lock_guard guard(this->lock);
  std::set<std::string> parts;
  for (const auto& [key, row] : this->rows) {
    if (std::get<0>(key) == table)
      parts.insert(std::get<1>(key));
  }
  Json answer = this->Answer();
  answer["parts"] = parts;
  answer["more"] = false;
  return {.status = 200, .body = answer.dump()};
}

}  // namespace review
