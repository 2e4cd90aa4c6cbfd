// A row as the platform's transactional table keeps it.

#ifndef TABLE_STORED_ROW_H_
#define TABLE_STORED_ROW_H_

#include <cstdint>
#include <string>
#include <vector>

namespace quartzhoist::table {

// The platform counts its commits; a row's version is the number of the commit
// that wrote it last, so versions grow along every row and across all rows.
using Version = std::uint64_t;

struct StoredRow {
  std::string key;      // "table/pool/press", "box/g1-r2-b3"
  Version version = 0;  // 0: there is no such row
  std::string writer;   // who wrote it: tells a writer its own write
  std::string value;    // JSON; empty: erased

  bool operator==(const StoredRow&) const = default;
};

// All rows written after commit `after` up to and including commit `upto`.
struct Delta {
  Version after = 0;
  Version upto = 0;
  std::vector<StoredRow> rows;
};

}  // namespace quartzhoist::table

#endif  // TABLE_STORED_ROW_H_
