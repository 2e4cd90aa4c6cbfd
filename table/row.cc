#include "table/row.h"

namespace quartzhoist::table {

RowKind KindOf(const Row& row) {
  return static_cast<RowKind>(row.index());
}

const std::string& NameOf(const Row& row) {
  return std::visit(
      [](const auto& typed) -> const std::string& { return typed.name; }, row);
}

std::string IdOf(const Row& row) {
  return std::string(base::NameOf(kRowKindNames, KindOf(row))) + "/" +
         NameOf(row);
}

}  // namespace quartzhoist::table
