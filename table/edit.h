// An operator's edit: which cells of which rows, on top of which revision.
// Pure; the platform's conditional write decides between two at once.

#ifndef TABLE_EDIT_H_
#define TABLE_EDIT_H_

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "table/check.h"
#include "table/snapshot.h"

namespace quartzhoist::table {

// A change of one row: some cells, or the whole row erased.
struct Change {
  std::string row;                           // "service/quotes"
  std::map<std::string, std::string> cells;  // by name, as text
  bool erase = false;
};

struct Edit {
  Version base = 0;  // the revision that the operator looked at
  std::vector<Change> changes;
};

// The changes that the edit would write.
struct Edited {
  std::vector<std::string> changed;  // ids of rows, in order
  Rows rows;                         // the whole table after it
};

// Somebody else changed the row after the operator looked at it.
struct EditConflict {
  std::string row;
  std::string theirs;  // the row as it is, as text; empty: erased
  std::string yours;   // as the edit would have it
};

using EditOutcome = std::variant<Edited, EditConflict, std::vector<Fault>>;

EditOutcome ApplyEdit(const Snapshot& snapshot, const Edit& edit);

// "boxes=10 wave=2 ...": a row on one line, for people.
std::string RowText(const Row& row);

// The changes that make `before` into `after`.
std::vector<Change> Difference(const Rows& before, const Rows& after);

}  // namespace quartzhoist::table

#endif  // TABLE_EDIT_H_
