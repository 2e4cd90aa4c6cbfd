#include "table/snapshot.h"

#include <exception>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "table/codec.h"

namespace quartzhoist::table {

namespace {

// Puts what `decode` makes of the row under its name, or erases the name.
template <typename T>
void PutOrErase(std::map<std::string, T>& typed,
                std::string_view prefix,
                const StoredRow& row,
                T (*decode)(const StoredRow&)) {
  const std::string name = row.key.substr(prefix.size());
  if (row.value.empty())
    typed.erase(name);
  else
    typed.insert_or_assign(name, decode(row));
}

}  // namespace

SnapshotPtr Snapshot::Empty() {
  return std::make_shared<const Snapshot>();
}

Applied Snapshot::Apply(const SnapshotPtr& before, const Delta& delta) {
  Applied result{.fit = Fit::kStale, .snapshot = before, .bad_rows = {}};
  if (delta.upto <= before->at)
    return result;
  if (delta.after > before->at) {
    result.fit = Fit::kGap;
    return result;
  }
  auto next = std::make_shared<Snapshot>(*before);
  next->at = delta.upto;
  for (const StoredRow& row : delta.rows)
    next->Take(row, result.bad_rows);
  result.fit = Fit::kApplied;
  result.snapshot = std::move(next);
  return result;
}

void Snapshot::Take(const StoredRow& row, std::vector<BadRow>& bad_rows) {
  // 1. Only what is newer, along each row.
  if (row.version <= this->VersionOf(row.key))
    return;
  // 2. The typed row; one that cannot be read leaves the last one in force.
  try {
    this->TakeTyped(row);
  } catch (const std::exception& error) {
    bad_rows.push_back(
        {.key = row.key, .version = row.version, .problem = error.what()});
  }
  // 3. The stored form, to hand to peers.
  this->stored[row.key] = std::make_shared<const StoredRow>(row);
}

void Snapshot::TakeTyped(const StoredRow& row) {
  if (row.key.starts_with(kRowPrefix))
    PutOrErase(this->table_rows, kRowPrefix, row, DecodeRow);
  else if (row.key.starts_with(kBoxPrefix))
    PutOrErase(this->box_rows, kBoxPrefix, row, DecodeBox);
  else if (row.key.starts_with(kWavePrefix))
    PutOrErase(this->wave_rows, kWavePrefix, row, DecodeWave);
  else if (row.key != kHeadKey)
    throw std::runtime_error(row.key + ": not a row that daemons follow");
}

Version Snapshot::VersionOf(const std::string& key) const {
  const auto found = this->stored.find(key);
  return found == this->stored.end() ? 0 : found->second->version;
}

Delta Snapshot::Since(Version after) const {
  Delta delta{.after = after, .upto = this->at, .rows = {}};
  for (const auto& [key, row] : this->stored) {
    if (row->version > after)
      delta.rows.push_back(*row);
  }
  return delta;
}

const PoolRow* Snapshot::FindPool(const std::string& name) const {
  const auto found = this->table_rows.find("pool/" + name);
  return found == this->table_rows.end() ? nullptr
                                         : std::get_if<PoolRow>(&found->second);
}

const ServiceRow* Snapshot::FindService(const std::string& name) const {
  const auto found = this->table_rows.find("service/" + name);
  return found == this->table_rows.end()
             ? nullptr
             : std::get_if<ServiceRow>(&found->second);
}

const Box* Snapshot::FindBox(const std::string& name) const {
  const auto found = this->box_rows.find(name);
  return found == this->box_rows.end() ? nullptr : &found->second;
}

}  // namespace quartzhoist::table
