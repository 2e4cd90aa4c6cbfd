#include "table/codec.h"

#include <optional>
#include <stdexcept>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "table/cells.h"
#include "table/text.h"

namespace quartzhoist::table {

namespace {

using nlohmann::json;

constexpr std::int64_t kMaxSlots = 1024;

[[noreturn]] void Reject(const StoredRow& stored, const std::string& problem) {
  throw std::runtime_error(fmt::format("{}: {}", stored.key, problem));
}

json ParseObject(const StoredRow& stored) {
  json value = json::parse(stored.value, nullptr, false);
  if (!value.is_object())
    Reject(stored, "the value is not a JSON object");
  return value;
}

// Reads a box's members, and counts them to find unknown ones.
struct BoxReader {
  const StoredRow& stored;
  const json& value;
  std::size_t known = 0;

  void Text(const char* key, std::string& out) {
    const auto found = this->value.find(key);
    if (found == this->value.end())
      return;
    if (!found->is_string())
      Reject(this->stored, fmt::format("{} must be a string", key));
    out = found->get<std::string>();
    ++this->known;
  }

  void Whole(const char* key, std::int64_t& out) {
    const auto found = this->value.find(key);
    if (found == this->value.end())
      return;
    if (!found->is_number_integer() || found->get<std::int64_t>() < 0)
      Reject(this->stored, fmt::format("{} must be a whole number", key));
    out = found->get<std::int64_t>();
    ++this->known;
  }
};

}  // namespace

std::string EncodeRow(const Row& row) {
  json value = json::object();
  for (const std::string_view cell : CellNames(KindOf(row)))
    value[std::string(cell)] = GetCell(row, cell);
  return value.dump();
}

std::string EncodeBox(const Box& box) {
  const json value{
      {"zone", box.zone},
      {"rack", box.rack},
      {"address", box.address},
      {"pool", box.pool},
      {"state", std::string(base::NameOf(kBoxStateNames, box.state))},
      {"next_pool", box.next_pool},
      {"maintained", box.maintained},
      {"slots", box.slots},
      {"cores", box.cores},
      {"memory_mb", box.memory_mb},
      {"accelerators", box.accelerators},
  };
  return value.dump();
}

std::string EncodeWave(const Wave& wave) {
  return json{{"away", wave.away}}.dump();
}

Row DecodeRow(const StoredRow& stored) {
  const json value = ParseObject(stored);
  try {
    Row row = RowFromId(std::string_view(stored.key).substr(kRowPrefix.size()));
    for (const auto& [cell, text] : value.items()) {
      if (!text.is_string())
        Reject(stored, fmt::format("{} must be a string", cell));
      SetCell(row, cell, text.get_ref<const std::string&>());
    }
    return row;
  } catch (const CellError& error) {
    Reject(stored, error.what());
  }
}

Box DecodeBox(const StoredRow& stored) {
  const json value = ParseObject(stored);
  Box box;
  box.name = stored.key.substr(kBoxPrefix.size());
  box.epoch = stored.version;
  std::string state(base::NameOf(kBoxStateNames, box.state));
  BoxReader reader{.stored = stored, .value = value};
  reader.Text("zone", box.zone);
  reader.Text("rack", box.rack);
  reader.Text("address", box.address);
  reader.Text("pool", box.pool);
  reader.Text("state", state);
  reader.Text("next_pool", box.next_pool);
  reader.Whole("maintained", box.maintained);
  reader.Whole("slots", box.slots);
  reader.Whole("cores", box.cores);
  reader.Whole("memory_mb", box.memory_mb);
  reader.Whole("accelerators", box.accelerators);
  if (reader.known != value.size())
    Reject(stored, "the value holds unknown members");
  const std::optional<BoxState> parsed = base::ValueOf(kBoxStateNames, state);
  if (!parsed)
    Reject(stored, fmt::format("no such state: {}", state));
  box.state = *parsed;
  if (box.name.empty() || box.address.empty() || box.zone.empty())
    Reject(stored, "a box needs name, address and zone");
  if (box.slots < 1 || box.slots > kMaxSlots)
    Reject(stored, fmt::format("slots must be 1 to {}", kMaxSlots));
  return box;
}

Wave DecodeWave(const StoredRow& stored) {
  const json value = ParseObject(stored);
  Wave wave;
  wave.pool = stored.key.substr(kWavePrefix.size());
  wave.epoch = stored.version;
  const auto away = value.find("away");
  if (away == value.end() || !away->is_array() || value.size() != 1)
    Reject(stored, "the value must hold the list away, and nothing else");
  for (const json& box : *away) {
    if (!box.is_string())
      Reject(stored, "away must hold names of boxes");
    wave.away.push_back(box.get<std::string>());
  }
  return wave;
}

std::string RowKey(std::string_view row_id) {
  return std::string(kRowPrefix) + std::string(row_id);
}

std::string BoxKey(std::string_view box_name) {
  return std::string(kBoxPrefix) + std::string(box_name);
}

std::string WaveKey(std::string_view pool_name) {
  return std::string(kWavePrefix) + std::string(pool_name);
}

}  // namespace quartzhoist::table
