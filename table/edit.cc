#include "table/edit.h"

#include <fmt/format.h>

#include "table/cells.h"
#include "table/codec.h"

namespace quartzhoist::table {

namespace {

void ApplyChange(Rows& rows, const Change& change) {
  if (change.erase) {
    rows.erase(change.row);
    return;
  }
  Row& row = rows.try_emplace(change.row, RowFromId(change.row)).first->second;
  for (const auto& [cell, text] : change.cells)
    SetCell(row, cell, text);
}

std::string TextOf(const Rows& rows, const std::string& id) {
  const auto found = rows.find(id);
  return found == rows.end() ? "" : RowText(found->second);
}

bool SameRow(const Rows& a, const Rows& b, const std::string& id) {
  return TextOf(a, id) == TextOf(b, id) && a.contains(id) == b.contains(id);
}

}  // namespace

std::string RowText(const Row& row) {
  std::string text;
  for (const std::string_view cell : CellNames(KindOf(row)))
    text += fmt::format("{}{}={}", text.empty() ? "" : " ", cell,
                        GetCell(row, cell));
  return text;
}

EditOutcome ApplyEdit(const Snapshot& snapshot, const Edit& edit) {
  Edited edited{.changed = {}, .rows = snapshot.rows()};
  // 1. The cells, one by one; a text that does not fit is a fault.
  std::vector<Fault> faults;
  for (const Change& change : edit.changes) {
    try {
      ApplyChange(edited.rows, change);
    } catch (const CellError& error) {
      faults.push_back({change.row, error.cell, error.problem});
    }
  }
  if (!faults.empty())
    return faults;
  // 2. Rows that become other than they are; one that somebody else wrote
  //    since the operator looked is a conflict.
  for (const Change& change : edit.changes) {
    if (SameRow(snapshot.rows(), edited.rows, change.row))
      continue;
    if (snapshot.VersionOf(RowKey(change.row)) > edit.base)
      return EditConflict{.row = change.row,
                          .theirs = TextOf(snapshot.rows(), change.row),
                          .yours = TextOf(edited.rows, change.row)};
    edited.changed.push_back(change.row);
  }
  // 3. The table as a whole.
  faults = Check(edited.rows);
  if (!faults.empty())
    return faults;
  return edited;
}

std::vector<Change> Difference(const Rows& before, const Rows& after) {
  std::vector<Change> changes;
  for (const auto& [id, row] : before) {
    if (!after.contains(id))
      changes.push_back({.row = id, .cells = {}, .erase = true});
  }
  for (const auto& [id, row] : after) {
    if (SameRow(before, after, id))
      continue;
    Change change{.row = id};
    for (const std::string_view cell : CellNames(KindOf(row)))
      change.cells.emplace(cell, GetCell(row, cell));
    changes.push_back(std::move(change));
  }
  return changes;
}

}  // namespace quartzhoist::table
