// The cells of each kind of row: their names, and reading and writing them as
// text. Everything that shows or edits a table goes through here.

#ifndef TABLE_CELLS_H_
#define TABLE_CELLS_H_

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "table/row.h"

namespace quartzhoist::table {

// Invalid text of a cell; what() names the cell and says what fits.
class CellError : public std::runtime_error {
 public:
  CellError(std::string_view cell_name, const std::string& problem);

  std::string cell;
  std::string problem;
};

// The names of a kind's cells, in the order in which they are shown.
std::vector<std::string_view> CellNames(RowKind kind);

// A row with every cell at its default. Throws CellError (cell "name") unless
// the name is 1 to 63 of a-z, 0-9 and '-', with a letter first.
Row MakeRow(RowKind kind, std::string_view name);

// Throws CellError if the row has no such cell or the text does not fit it.
void SetCell(Row& row, std::string_view cell, std::string_view text);

// Throws CellError if the row has no such cell.
std::string GetCell(const Row& row, std::string_view cell);

}  // namespace quartzhoist::table

#endif  // TABLE_CELLS_H_
