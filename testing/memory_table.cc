#include "testing/memory_table.h"

#include "table/codec.h"

namespace quartzhoist::testing {

namespace {

bool IsFollowed(const std::string& key) {
  return key.starts_with(table::kRowPrefix) ||
         key.starts_with(table::kBoxPrefix) ||
         key.starts_with(table::kWavePrefix) || key == table::kHeadKey;
}

bool Holds(const platform::Condition& condition, const table::StoredRow& row) {
  const bool lives = !row.value.empty();
  if (condition.version == 0)
    return !lives;
  return row.version == condition.version;
}

}  // namespace

platform::CommitResult MemoryTable::Commit(
    const platform::Transaction& transaction) {
  platform::Conflict conflict;
  for (const platform::Condition& condition : transaction.conditions) {
    const table::StoredRow row = this->Read(condition.key);
    if (!Holds(condition, row))
      conflict.current.push_back(row);
  }
  if (!conflict.current.empty())
    return conflict;
  const table::Version version = ++this->last_commit;
  for (const platform::Write& write : transaction.writes) {
    table::StoredRow& row = this->by_key[write.key];
    if (row.version > 0)
      this->written[row.version].erase(write.key);
    row = {.key = write.key,
           .version = version,
           .writer = transaction.writer,
           .value = write.value};
    if (IsFollowed(write.key))
      this->written[version].insert(write.key);
  }
  return platform::Committed{.version = version};
}

table::Delta MemoryTable::Changes(table::Version after) const {
  table::Delta delta{.after = after, .upto = this->last_commit, .rows = {}};
  for (auto commit = this->written.upper_bound(after);
       commit != this->written.end(); ++commit) {
    for (const std::string& key : commit->second)
      delta.rows.push_back(this->by_key.at(key));
  }
  return delta;
}

table::StoredRow MemoryTable::Read(const std::string& key) const {
  const auto found = this->by_key.find(key);
  return found == this->by_key.end() ? table::StoredRow{.key = key}
                                     : found->second;
}

}  // namespace quartzhoist::testing
