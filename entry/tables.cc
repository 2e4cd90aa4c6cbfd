#include "entry/tables.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <tuple>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>
#include <nlohmann/json.hpp>

namespace quartzhoist::entry {

namespace {

using Json = nlohmann::json;

// The store executes the writes of one partition one after the other: about 300
// a second at the sites, 4 a second with a slow store.
constexpr std::size_t kPartCount = 64;
constexpr std::string_view kCancelSuffix = "!cancel";
constexpr std::string_view kQuotaPrefix = "of/";

// Bounds of an owner row's waits and of its organisations over their rate.
// Rows of earlier versions contain up to these numbers.
constexpr std::size_t kMaxWaits = 64;
constexpr std::size_t kMaxOverRate = 32;
// Bounds of the same two fields in bytes of JSON. With them, the row of a shard
// of ten pools stays within 1.5 KB. It is rewritten every 0.45 s, so that a row
// of 4 KB took 9 KB/s, while a daemon may use 7 KB/s for control.
constexpr std::size_t kMaxWaitsBytes = 640;
constexpr std::size_t kMaxOverRateBytes = 320;

std::string PartOf(const std::string& job) {
  return std::to_string(XXH32(job.data(), job.size(), 0) % kPartCount);
}

// Size of the entries of an object or a list that is written entry by entry.
class EntryBudget {
 public:
  EntryBudget(std::size_t max_entries, std::size_t max_bytes)
      : entries_left(max_entries), bytes_left(max_bytes) {}

  // Whether one more entry of this size, without its separator, fits.
  bool Take(std::size_t entry_bytes) {
    const std::size_t bytes = entry_bytes + 1;
    if (this->entries_left == 0 || bytes > this->bytes_left)
      return false;
    --this->entries_left;
    this->bytes_left -= bytes;
    return true;
  }

 private:
  std::size_t entries_left;
  std::size_t bytes_left;
};

// The longest waits first, as far as the bounds allow.
Json EncodeWaits(const std::map<std::string, ReportedWait>& waits) {
  std::vector<std::pair<std::string, ReportedWait>> longest(waits.begin(),
                                                            waits.end());
  std::stable_sort(
      longest.begin(), longest.end(), [](const auto& a, const auto& b) {
        return std::tie(a.second.over_rate_ms, a.second.within_rate_ms) >
               std::tie(b.second.over_rate_ms, b.second.within_rate_ms);
      });
  Json json = Json::object();
  EntryBudget budget(kMaxWaits, kMaxWaitsBytes);
  for (const auto& [queue, wait] : longest) {
    Json pair = {wait.within_rate_ms, wait.over_rate_ms};
    const std::size_t bytes =
        Json(queue).dump().size() + 1 + pair.dump().size();
    if (!budget.Take(bytes))
      break;
    json[queue] = std::move(pair);
  }
  return json;
}

// The first ones, as far as the bounds allow.
Json EncodeOverRate(const std::vector<std::string>& organisations) {
  Json json = Json::array();
  EntryBudget budget(kMaxOverRate, kMaxOverRateBytes);
  for (const std::string& name : organisations) {
    if (!budget.Take(Json(name).dump().size()))
      break;
    json.push_back(name);
  }
  return json;
}

std::optional<int> DecodeWaitMillis(const Json& json) {
  if (!json.is_number_integer())
    return std::nullopt;
  // Negative for an unsigned number above the range.
  const auto wait_ms = json.get<std::int64_t>();
  if (wait_ms < 0 || wait_ms > std::numeric_limits<int>::max())
    return std::nullopt;
  return static_cast<int>(wait_ms);
}

// Empty if any part is malformed: no job is rejected because of figures that
// are not understood.
std::map<std::string, ReportedWait> DecodeWaits(const Json& row) {
  const auto field = row.find("waits");
  if (field == row.end() || !field->is_object() || field->size() > kMaxWaits)
    return {};
  std::map<std::string, ReportedWait> waits;
  for (const auto& [queue, pair] : field->items()) {
    if (!pair.is_array() || pair.size() != 2)
      return {};
    const std::optional<int> within_rate = DecodeWaitMillis(pair[0]);
    const std::optional<int> over_rate = DecodeWaitMillis(pair[1]);
    if (!within_rate || !over_rate)
      return {};
    waits[queue] = {.within_rate_ms = *within_rate, .over_rate_ms = *over_rate};
  }
  return waits;
}

// Empty if any part is malformed.
std::vector<std::string> DecodeOverRate(const Json& row) {
  const auto field = row.find("over_rate");
  if (field == row.end() || !field->is_array() || field->size() > kMaxOverRate)
    return {};
  std::vector<std::string> names;
  for (const Json& name : *field) {
    if (!name.is_string())
      return {};
    names.push_back(name.get<std::string>());
  }
  return names;
}

}  // namespace

std::string ShardPart(std::string_view table, const Shard& shard) {
  return shard.count == 1 ? std::string(table)
                          : fmt::format("{}-{}", table, shard.number);
}

platform::RowKey ShardRowKey(std::string_view table,
                             std::string_view key,
                             const Shard& shard) {
  return {.table = std::string(table),
          .part = ShardPart(table, shard),
          .key = std::string(key)};
}

std::vector<std::string> ShardParts(std::string_view table, int shards) {
  std::vector<std::string> parts;
  for (int i = 0; i < shards; ++i)
    parts.push_back(ShardPart(table, {.number = i, .count = shards}));
  return parts;
}

platform::RowKey OwnerRow(const Shard& shard) {
  return ShardRowKey(kOwnerTable, kOwnerKey, shard);
}

platform::RowKey ShardCountRow() {
  return ShardRowKey(kShardCountTable, kShardCountKey, {});
}

platform::RowKey ShardCountClaimRow() {
  return {.table = std::string(kShardCountTable),
          .part = "claim",
          .key = "counter"};
}

platform::RowKey QueueLengthRow(const Shard& shard) {
  return ShardRowKey(kQueueLengthTable, std::to_string(shard.number), {});
}

platform::RowKey OrganisationQuotaRow(const std::string& organisation) {
  return ShardRowKey(kQuotaTable, std::string(kQuotaPrefix) + organisation, {});
}

platform::RowKey QuotaOwnerRow(const Shard& shard) {
  return ShardRowKey(kQuotaTable, fmt::format("owner/{}", shard.number), {});
}

std::optional<std::string> ParseQuotaKey(std::string_view key) {
  if (!key.starts_with(kQuotaPrefix))
    return std::nullopt;
  return std::string(key.substr(kQuotaPrefix.size()));
}

const std::vector<std::string>& JobParts() {
  static const std::vector<std::string> kAll = [] {
    std::vector<std::string> parts;
    for (std::size_t i = 0; i < kPartCount; ++i)
      parts.push_back(std::to_string(i));
    return parts;
  }();
  return kAll;
}

std::string JobTable(const Shard& shard) {
  return ShardPart(kJobTable, shard);
}

platform::RowKey JobRow(const std::string& job, const Shard& shard) {
  return {.table = JobTable(shard), .part = PartOf(job), .key = job};
}

platform::RowKey CancelRow(const std::string& job, const Shard& shard) {
  platform::RowKey row = JobRow(job, shard);
  row.key += kCancelSuffix;
  return row;
}

platform::RowKey ProgressRow(const std::string& job) {
  return {
      .table = std::string(kProgressTable), .part = PartOf(job), .key = job};
}

platform::RowKey CancelledIdRow(const std::string& job,
                                const std::string& organisation) {
  return {.table = std::string(kCancelledTable),
          .part = PartOf(job),
          .key = job + "!" + organisation};
}

JobKey ParseJobKey(std::string_view key) {
  if (!key.ends_with(kCancelSuffix))
    return {.job = std::string(key), .is_cancel = false};
  key.remove_suffix(kCancelSuffix.size());
  return {.job = std::string(key), .is_cancel = true};
}

std::string EncodeAccepted(const AcceptedJob& job) {
  return Json{{"queue", job.queue.name},
              {"service", job.queue.service},
              {"priority", job.queue.priority},
              {"attempts", job.queue.attempts},
              {"extension", job.queue.extension},
              {"latency_us", job.queue.target_latency.count()},
              {"accepted_ms", job.accepted_ms},
              {"organisation", job.organisation},
              {"body", job.body}}
      .dump();
}

std::optional<AcceptedJob> DecodeAccepted(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    AcceptedJob job;
    job.queue.name = json.at("queue").get<std::string>();
    job.queue.service = json.at("service").get<std::string>();
    job.queue.priority = json.at("priority").get<int>();
    job.queue.attempts = json.at("attempts").get<int>();
    job.queue.extension = json.at("extension").get<double>();
    job.queue.target_latency =
        base::Micros(json.at("latency_us").get<std::int64_t>());
    job.accepted_ms = json.at("accepted_ms").get<std::int64_t>();
    job.organisation = json.value("organisation", "");
    job.body = json.at("body").get<std::string>();
    return job;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::size_t MaxProgressBytes(std::size_t row_bytes) {
  // The shard's number and a space.
  constexpr std::size_t kPrefixBytes = 11;
  const std::size_t value = row_bytes / 4 * 3;
  return value - std::min(value, kPrefixBytes);
}

std::string EncodeProgressRecord(const ProgressRecord& record) {
  return fmt::format("{} {}", record.shard, record.text);
}

std::optional<ProgressRecord> DecodeProgressRecord(std::string_view row) {
  ProgressRecord record;
  const char* const end = row.data() + row.size();
  const auto [rest, error] = std::from_chars(row.data(), end, record.shard);
  if (error != std::errc() || rest == end || *rest != ' ' || record.shard < 0)
    return std::nullopt;
  record.text = row.substr(static_cast<std::size_t>(rest - row.data()) + 1);
  return record;
}

std::string EncodeOwner(const OwnerRecord& record) {
  return Json{{"holder", record.holder},
              {"incarnation", record.incarnation},
              {"epoch", record.epoch},
              {"beat", record.beat},
              {"cores", record.cores},
              {"successor", record.successor},
              {"load", record.load.load_percent_by_pool},
              {"free", record.load.free_cores_by_pool},
              {"kinds", record.load.box_kinds},
              {"waits", EncodeWaits(record.load.waits)},
              {"over_rate", EncodeOverRate(record.load.over_rate)},
              {"renewed", record.renewed_store_ms}}
      .dump();
}

std::optional<OwnerRecord> DecodeOwner(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    return OwnerRecord{
        .holder = json.at("holder").get<std::string>(),
        .incarnation = json.at("incarnation").get<std::string>(),
        .epoch = json.at("epoch").get<std::uint64_t>(),
        .beat = json.at("beat").get<std::uint64_t>(),
        .cores = json.value("cores", 0.0),
        .successor = json.value("successor", ""),
        .load = {.load_percent_by_pool =
                     json.value("load", std::map<std::string, int>()),
                 .free_cores_by_pool =
                     json.value("free", std::map<std::string, int>()),
                 .box_kinds = json.value("kinds", std::vector<std::string>()),
                 .waits = DecodeWaits(json),
                 .over_rate = DecodeOverRate(json)},
        .renewed_store_ms = json.value("renewed", std::int64_t{0})};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeLeases(const LeaseRecord& record) {
  Json list = Json::array();
  for (const LeaseHolder& holder : record.workers) {
    const scheduler::WorkerInfo& worker = holder.worker;
    list.push_back({worker.incarnation.id, worker.address, worker.box,
                    worker.service, holder.held, holder.expires_store_ms,
                    worker.incarnation.start_ms});
  }
  return Json{{"epoch", record.epoch},
              {"writer", record.writer},
              {"at", record.writer_address},
              {"workers", std::move(list)}}
      .dump();
}

std::optional<LeaseRecord> DecodeLeases(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    LeaseRecord record;
    record.epoch = json.at("epoch").get<std::uint64_t>();
    record.writer = json.value("writer", std::string());
    record.writer_address = json.value("at", std::string());
    for (const Json& row : json.at("workers")) {
      LeaseHolder holder;
      holder.worker.incarnation.id = row.at(0).get<std::string>();
      holder.worker.address = row.at(1).get<std::string>();
      holder.worker.box = row.at(2).get<std::string>();
      holder.worker.service = row.at(3).get<std::string>();
      holder.held = row.at(4).get<bool>();
      holder.expires_store_ms = row.at(5).get<std::int64_t>();
      // Rows of earlier versions lack the start time.
      if (row.size() > 6)
        holder.worker.incarnation.start_ms = row.at(6).get<std::int64_t>();
      record.workers.push_back(std::move(holder));
    }
    return record;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeBoxCalls(const BoxCallRecord& record) {
  struct Visitor {
    Json operator()(const scheduler::MoveBox& move) const {
      return {{"box", move.box},
              {"life", move.incarnation.id},
              {"born", move.incarnation.start_ms},
              {"pool", move.pool}};
    }
    Json operator()(const scheduler::MaintainBox& maintenance) const {
      return {{"box", maintenance.box},
              {"life", maintenance.incarnation.id},
              {"born", maintenance.incarnation.start_ms},
              {"wave", maintenance.wave}};
    }
  };
  Json list = Json::array();
  for (const scheduler::BoxCall& call : record.calls)
    list.push_back(std::visit(Visitor{}, call));
  return Json{{"epoch", record.epoch}, {"calls", std::move(list)}}.dump();
}

std::optional<BoxCallRecord> DecodeBoxCalls(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    BoxCallRecord record;
    record.epoch = json.at("epoch").get<std::uint64_t>();
    for (const Json& call : json.at("calls")) {
      const auto box = call.at("box").get<std::string>();
      const jobs::WorkerIncarnation life{
          .id = call.at("life").get<std::string>(),
          .start_ms = call.value("born", std::int64_t{0})};
      if (call.contains("wave")) {
        record.calls.emplace_back(scheduler::MaintainBox{
            .box = box, .wave = call["wave"].get<int>(), .incarnation = life});
      } else {
        record.calls.emplace_back(
            scheduler::MoveBox{.box = box,
                               .pool = call.at("pool").get<std::string>(),
                               .incarnation = life});
      }
    }
    return record;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeShardCount(int count) {
  return std::to_string(count);
}

std::optional<int> DecodeShardCount(std::string_view text) {
  int count = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, count);
  const bool is_power_of_two = count > 0 && (count & (count - 1)) == 0;
  if (error != std::errc() || rest != end || !is_power_of_two ||
      count > kMaxShards)
    return std::nullopt;
  return count;
}

std::string EncodeNames(const std::vector<std::string>& names) {
  return Json(names).dump();
}

std::vector<std::string> DecodeNames(std::string_view text) {
  const Json list = Json::parse(text, nullptr, false);
  std::vector<std::string> names;
  if (!list.is_array())
    return names;
  for (const Json& name : list) {
    if (name.is_string())
      names.push_back(name.get<std::string>());
  }
  return names;
}

// A count request reads the rows of all shards, so queues without waiting jobs
// are left out: with 560 queues and 32 shards the zeros alone were 95 KB.
std::string EncodeQueueLengths(const std::map<std::string, int>& counts) {
  Json waiting = Json::object();
  for (const auto& [queue, jobs] : counts) {
    if (jobs > 0)
      waiting[queue] = jobs;
  }
  return waiting.dump();
}

std::int64_t QueueLengthOf(std::string_view text, const std::string& queue) {
  const Json counts = Json::parse(text, nullptr, false);
  return counts.is_object() ? counts.value(queue, std::int64_t{0}) : 0;
}

}  // namespace quartzhoist::entry
