#include "table/snapshot.h"

#include <exception>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "table/codec.h"

namespace quartzhoist::table {

namespace {

constexpr std::string_view kNoPrefix;

Version DecodeVersion(const StoredRow& row) {
  if (row.key != kHeadKey)
    throw std::runtime_error(row.key + ": not a row that daemons follow");
  return row.version;
}

// The prefix of the group that a key belongs to.
std::string_view PrefixOf(std::string_view key) {
  for (const std::string_view prefix : {kRowPrefix, kBoxPrefix, kWavePrefix}) {
    if (key.starts_with(prefix))
      return prefix;
  }
  return kNoPrefix;
}

}  // namespace

Snapshot::Snapshot()
    : table_rows(std::make_shared<const Group<Row>>()),
      box_rows(std::make_shared<const Group<Box>>()),
      wave_rows(std::make_shared<const Group<Wave>>()),
      other_rows(std::make_shared<const Group<Version>>()) {}

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
  std::vector<BadRow>& bad = result.bad_rows;
  next->at = delta.upto;
  Merge(next->table_rows, kRowPrefix, DecodeRow, delta, bad);
  Merge(next->box_rows, kBoxPrefix, DecodeBox, delta, bad);
  Merge(next->wave_rows, kWavePrefix, DecodeWave, delta, bad);
  Merge(next->other_rows, kNoPrefix, DecodeVersion, delta, bad);
  result.fit = Fit::kApplied;
  result.snapshot = std::move(next);
  return result;
}

template <typename T>
void Snapshot::Merge(GroupPtr<T>& group,
                     std::string_view prefix,
                     T (*decode)(const StoredRow&),
                     const Delta& delta,
                     std::vector<BadRow>& bad_rows) {
  std::shared_ptr<Group<T>> changed;
  for (const StoredRow& row : delta.rows) {
    if (PrefixOf(row.key) != prefix)
      continue;
    // 1. Only what is newer, along each row.
    const Stored& now = changed ? changed->stored : group->stored;
    const auto known = now.find(row.key);
    if (known != now.end() && row.version <= known->second->version)
      continue;
    if (!changed)
      changed = std::make_shared<Group<T>>(*group);
    // 2. The typed row; one that cannot be read leaves the last one in force.
    const std::string name = row.key.substr(prefix.size());
    try {
      if (row.value.empty())
        changed->typed.erase(name);
      else
        changed->typed.insert_or_assign(name, decode(row));
    } catch (const std::exception& error) {
      bad_rows.push_back(
          {.key = row.key, .version = row.version, .problem = error.what()});
    }
    // 3. The stored form, to hand to peers.
    changed->stored[row.key] = std::make_shared<const StoredRow>(row);
  }
  if (changed)
    group = std::move(changed);
}

const Snapshot::Stored& Snapshot::StoredWith(std::string_view key) const {
  const std::string_view prefix = PrefixOf(key);
  if (prefix == kRowPrefix)
    return this->table_rows->stored;
  if (prefix == kBoxPrefix)
    return this->box_rows->stored;
  if (prefix == kWavePrefix)
    return this->wave_rows->stored;
  return this->other_rows->stored;
}

Version Snapshot::VersionOf(const std::string& key) const {
  const Stored& stored = this->StoredWith(key);
  const auto found = stored.find(key);
  return found == stored.end() ? 0 : found->second->version;
}

Delta Snapshot::Since(Version after) const {
  Delta delta{.after = after, .upto = this->at, .rows = {}};
  for (const Stored* stored :
       {&this->table_rows->stored, &this->box_rows->stored,
        &this->wave_rows->stored, &this->other_rows->stored}) {
    for (const auto& [key, row] : *stored) {
      if (row->version > after)
        delta.rows.push_back(*row);
    }
  }
  return delta;
}

const PoolRow* Snapshot::FindPool(const std::string& name) const {
  const auto found = this->rows().find("pool/" + name);
  return found == this->rows().end() ? nullptr
                                     : std::get_if<PoolRow>(&found->second);
}

const ServiceRow* Snapshot::FindService(const std::string& name) const {
  const auto found = this->rows().find("service/" + name);
  return found == this->rows().end() ? nullptr
                                     : std::get_if<ServiceRow>(&found->second);
}

const Box* Snapshot::FindBox(const std::string& name) const {
  const auto found = this->boxes().find(name);
  return found == this->boxes().end() ? nullptr : &found->second;
}

}  // namespace quartzhoist::table
