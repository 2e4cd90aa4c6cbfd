// The rows of the platform's table that a daemon follows, at one commit.
// Immutable; the next one is made by a delta and never has a smaller revision.

#ifndef TABLE_SNAPSHOT_H_
#define TABLE_SNAPSHOT_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "table/box.h"
#include "table/stored_row.h"
#include "table/text.h"

namespace quartzhoist::table {

class Snapshot;
using SnapshotPtr = std::shared_ptr<const Snapshot>;

enum class Fit {
  kApplied,  // the result is newer
  kStale,    // nothing in the delta is new
  kGap,      // commits between the snapshot and the delta are missing
};

// A row that could not be read; its last readable state stays in force.
struct BadRow {
  std::string key;
  Version version = 0;
  std::string problem;
};

struct Applied {
  Fit fit = Fit::kStale;
  SnapshotPtr snapshot;  // the one before, unless kApplied
  std::vector<BadRow> bad_rows;
};

class Snapshot {
 public:
  Snapshot();

  // The empty snapshot, revision 0: it serves nothing.
  static SnapshotPtr Empty();

  // The snapshot after `delta`. Rows are merged by version, so an old, doubled
  // or reordered delta changes nothing.
  static Applied Apply(const SnapshotPtr& before, const Delta& delta);

  Version revision() const { return this->at; }
  const Rows& rows() const { return this->table_rows->typed; }
  const std::map<std::string, Box>& boxes() const {
    return this->box_rows->typed;
  }
  const std::map<std::string, Wave>& waves() const {
    return this->wave_rows->typed;
  }
  // The version of any followed row by its key; 0 if there is none.
  Version VersionOf(const std::string& key) const;
  // The changes that a follower at `after` lacks.
  Delta Since(Version after) const;

  const PoolRow* FindPool(const std::string& name) const;
  const ServiceRow* FindService(const std::string& name) const;
  const Box* FindBox(const std::string& name) const;

 private:
  using Stored = std::map<std::string, std::shared_ptr<const StoredRow>>;

  // The rows of one prefix, typed by name and stored by key (erased ones
  // included). Snapshots share a group until one of its rows changes: an edit
  // of the table does not copy the fleet.
  template <typename T>
  struct Group {
    std::map<std::string, T> typed;
    Stored stored;
  };
  template <typename T>
  using GroupPtr = std::shared_ptr<const Group<T>>;

  template <typename T>
  static void Merge(GroupPtr<T>& group,
                    std::string_view prefix,
                    T (*decode)(const StoredRow&),
                    const Delta& delta,
                    std::vector<BadRow>& bad_rows);
  const Stored& StoredWith(std::string_view key) const;

  Version at = 0;
  GroupPtr<Row> table_rows;
  GroupPtr<Box> box_rows;
  GroupPtr<Wave> wave_rows;
  GroupPtr<Version> other_rows;  // the table's head: only its version counts
};

}  // namespace quartzhoist::table

#endif  // TABLE_SNAPSHOT_H_
