#include "table/edit_json.h"

#include <stdexcept>

#include <nlohmann/json.hpp>

namespace quartzhoist::table {

namespace {

using nlohmann::json;

Change ToChange(const json& value) {
  Change change;
  if (!value.is_object() || !value.contains("row") ||
      !value.at("row").is_string())
    throw std::runtime_error("a change must name its row");
  change.row = value.at("row").get<std::string>();
  const json cells = value.value("cells", json::object());
  const json erase = value.value("erase", json(false));
  if (!cells.is_object() || !erase.is_boolean())
    throw std::runtime_error(change.row +
                             ": cells must be an object, erase "
                             "true or false");
  change.erase = erase.get<bool>();
  for (const auto& [cell, text] : cells.items()) {
    if (!text.is_string())
      throw std::runtime_error(change.row + "." + cell + " must be a string");
    change.cells.emplace(cell, text.get<std::string>());
  }
  return change;
}

}  // namespace

std::string EncodeEdit(const Edit& edit) {
  json changes = json::array();
  for (const Change& change : edit.changes)
    changes.push_back({{"row", change.row},
                       {"cells", change.cells},
                       {"erase", change.erase}});
  return json{{"base", edit.base}, {"changes", changes}}.dump();
}

Edit DecodeEdit(const std::string& text) {
  const json value = json::parse(text, nullptr, false);
  if (!value.is_object() || !value.contains("base") ||
      !value.at("base").is_number_unsigned() || !value.contains("changes") ||
      !value.at("changes").is_array())
    throw std::runtime_error("an edit needs base, a revision, and changes");
  Edit edit{.base = value.at("base").get<Version>(), .changes = {}};
  for (const json& change : value.at("changes"))
    edit.changes.push_back(ToChange(change));
  return edit;
}

}  // namespace quartzhoist::table
