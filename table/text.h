// The table as a text that operators keep and edit:
//
//   # a comment
//   pool   | boxes | wave | reserve | order | pace | maintain
//   press  | 10    | 2    | rack    | 1     | 60   | 0
//
//   service | pool  | class  | order | away | deadline
//   quotes  | press | urgent | 1     | 20%  | 800ms
//
// A line whose first cell is pool, service or team names the cells of the rows
// below it; cells it does not name keep their defaults.

#ifndef TABLE_TEXT_H_
#define TABLE_TEXT_H_

#include <istream>
#include <map>
#include <string>
#include <string_view>

#include "table/row.h"

namespace quartzhoist::table {

// Rows by their id ("pool/press").
using Rows = std::map<std::string, Row>;

// Throws base::TextError with file, line and cell on the first fault.
Rows ReadText(std::istream& in, const std::string& file);

std::string WriteText(const Rows& rows);

// "pool/press" to an empty row of that kind and name. Throws CellError.
Row RowFromId(std::string_view id);

}  // namespace quartzhoist::table

#endif  // TABLE_TEXT_H_
