// Edits as JSON, between the operators' client and the daemons.

#ifndef TABLE_EDIT_JSON_H_
#define TABLE_EDIT_JSON_H_

#include <string>

#include "table/edit.h"

namespace quartzhoist::table {

std::string EncodeEdit(const Edit& edit);
// Throws std::runtime_error on anything malformed.
Edit DecodeEdit(const std::string& text);

}  // namespace quartzhoist::table

#endif  // TABLE_EDIT_JSON_H_
