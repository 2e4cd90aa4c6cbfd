// A transactional table in memory: the platform's stand-in.

#ifndef TESTING_MEMORY_TABLE_H_
#define TESTING_MEMORY_TABLE_H_

#include <map>
#include <set>
#include <string>

#include "platform/wire.h"

namespace quartzhoist::testing {

class MemoryTable {
 public:
  // Commits if every condition holds; version 0 asks that no row lives there.
  platform::CommitResult Commit(const platform::Transaction& transaction);

  // Rows that daemons follow, written after commit `after`.
  table::Delta Changes(table::Version after) const;
  // The row as it is; version 0 if it was never written.
  table::StoredRow Read(const std::string& key) const;

  table::Version version() const { return this->last_commit; }
  const std::map<std::string, table::StoredRow>& rows() const {
    return this->by_key;
  }

 private:
  std::map<std::string, table::StoredRow> by_key;  // erased rows included
  std::map<table::Version, std::set<std::string>> written;  // by commit
  table::Version last_commit = 0;
};

}  // namespace quartzhoist::testing

#endif  // TESTING_MEMORY_TABLE_H_
