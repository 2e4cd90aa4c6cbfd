// All that a daemon follows of the platform's table, at one commit. Immutable;
// the next one is made by a delta and never has a smaller revision.

#ifndef TABLE_SNAPSHOT_H_
#define TABLE_SNAPSHOT_H_

#include <map>
#include <memory>
#include <string>
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
  // The empty snapshot, revision 0: it serves nothing.
  static SnapshotPtr Empty();

  // The snapshot after `delta`. Rows are merged by version, so an old, doubled
  // or reordered delta changes nothing.
  static Applied Apply(const SnapshotPtr& before, const Delta& delta);

  Version revision() const { return this->at; }
  const Rows& rows() const { return this->table_rows; }
  const std::map<std::string, Box>& boxes() const { return this->box_rows; }
  const std::map<std::string, Wave>& waves() const { return this->wave_rows; }
  // The version of any followed row by its key; 0 if there is none.
  Version VersionOf(const std::string& key) const;
  // What a follower at `after` lacks.
  Delta Since(Version after) const;

  const PoolRow* FindPool(const std::string& name) const;
  const ServiceRow* FindService(const std::string& name) const;
  const Box* FindBox(const std::string& name) const;

 private:
  using StoredPtr = std::shared_ptr<const StoredRow>;

  void Take(const StoredRow& row, std::vector<BadRow>& bad_rows);
  void TakeTyped(const StoredRow& row);

  Version at = 0;
  Rows table_rows;
  std::map<std::string, Box> box_rows;
  std::map<std::string, Wave> wave_rows;
  std::map<std::string, StoredPtr> stored;  // by key, erased rows included
};

}  // namespace quartzhoist::table

#endif  // TABLE_SNAPSHOT_H_
