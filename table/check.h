// Conditions between rows that a table must meet to be accepted.

#ifndef TABLE_CHECK_H_
#define TABLE_CHECK_H_

#include <string>
#include <vector>

#include "table/text.h"

namespace quartzhoist::table {

struct Fault {
  std::string row;  // "service/quotes"
  std::string cell;
  std::string problem;
};

// Every fault, in order of rows; none means the table may be accepted.
std::vector<Fault> Check(const Rows& rows);

// Boxes of `pool` that may be away at once, planned and failed together: the
// strictest of its services decides. Boxes of a pool without services: all.
std::int64_t MayBeAway(const Rows& rows, const PoolRow& pool);

}  // namespace quartzhoist::table

#endif  // TABLE_CHECK_H_
