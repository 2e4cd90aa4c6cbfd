// Rows and boxes to and from the JSON that the platform keeps.

#ifndef TABLE_CODEC_H_
#define TABLE_CODEC_H_

#include <string>
#include <string_view>

#include "table/box.h"
#include "table/row.h"
#include "table/stored_row.h"

namespace quartzhoist::table {

inline constexpr std::string_view kRowPrefix = "table/";
inline constexpr std::string_view kBoxPrefix = "box/";
inline constexpr std::string_view kWavePrefix = "wave/";
// Every accepted edit writes this row, so that edits of different rows are
// checked one after the other.
inline constexpr std::string_view kHeadKey = "head/table";

std::string EncodeRow(const Row& row);
std::string EncodeBox(const Box& box);
std::string EncodeWave(const Wave& wave);

// Throw std::runtime_error (naming the key) unless the whole value fits.
Row DecodeRow(const StoredRow& stored);
Box DecodeBox(const StoredRow& stored);
Wave DecodeWave(const StoredRow& stored);

// The platform's key for a row id ("pool/press") or a box name.
std::string RowKey(std::string_view row_id);
std::string BoxKey(std::string_view box_name);
std::string WaveKey(std::string_view pool_name);

}  // namespace quartzhoist::table

#endif  // TABLE_CODEC_H_
