#include "table/cells.h"

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <span>

#include <fmt/format.h>

namespace quartzhoist::table {

namespace {

constexpr std::int64_t kMaxBoxes = 100'000;
constexpr std::int64_t kMaxOrder = 1'000;
constexpr std::int64_t kMaxWeight = 1'000;
constexpr std::int64_t kMaxDeadlineMs = 86'400'000;
constexpr std::int64_t kMaxQueue = 100'000;
constexpr std::int64_t kMaxGeneration = 1'000'000'000;
constexpr std::int64_t kMaxQuota = 1'000'000;
constexpr std::size_t kMaxName = 63;

// Reads and writes one cell of a row type.
template <typename R>
struct Cell {
  std::string_view name;
  void (*set)(R& row, std::string_view cell, std::string_view text);
  std::string (*get)(const R& row);
};

std::int64_t ParseWhole(std::string_view cell,
                        std::string_view text,
                        std::int64_t min,
                        std::int64_t max) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || rest != end || value < min || value > max)
    throw CellError(cell, fmt::format("'{}' is not a whole number from {} to "
                                      "{}",
                                      text, min, max));
  return value;
}

// Text that must end with `unit`.
std::int64_t ParseWithUnit(std::string_view cell,
                           std::string_view text,
                           std::string_view unit,
                           std::int64_t min,
                           std::int64_t max) {
  if (!text.ends_with(unit))
    throw CellError(cell, fmt::format("'{}' must be a whole number followed "
                                      "by {}",
                                      text, unit));
  text.remove_suffix(unit.size());
  return ParseWhole(cell, text, min, max);
}

template <typename E, std::size_t N>
E ParseName(std::string_view cell,
            std::string_view text,
            const base::EnumNames<E, N>& names) {
  const std::optional<E> value = base::ValueOf(names, text);
  if (value)
    return *value;
  std::string choices;
  for (const auto& entry : names) {
    choices += choices.empty() ? "" : ", ";
    choices += entry.name;
  }
  throw CellError(cell, fmt::format("'{}' is none of {}", text, choices));
}

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxName)
    return false;
  if (text.front() < 'a' || text.front() > 'z')
    return false;
  for (const char c : text) {
    const bool fits =
        (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    if (!fits)
      return false;
  }
  return true;
}

std::string ParseRowName(std::string_view cell, std::string_view text) {
  if (!IsName(text))
    throw CellError(cell,
                    fmt::format("'{}' is not a name: 1 to {} of a-z, 0-9 and "
                                "'-', a letter first",
                                text, kMaxName));
  return std::string(text);
}

// A cell that holds a whole number in [Min, Max] in member `M`.
template <typename R, std::int64_t R::*M, std::int64_t Min, std::int64_t Max>
constexpr Cell<R> Whole(std::string_view name) {
  return {name,
          [](R& row, std::string_view cell, std::string_view text) {
            row.*M = ParseWhole(cell, text, Min, Max);
          },
          [](const R& row) { return fmt::format("{}", row.*M); }};
}

constexpr std::array<Cell<PoolRow>, 6> kPoolCells{{
    Whole<PoolRow, &PoolRow::boxes, 0, kMaxBoxes>("boxes"),
    Whole<PoolRow, &PoolRow::wave, 0, kMaxBoxes>("wave"),
    {"reserve",
     [](PoolRow& row, std::string_view cell, std::string_view text) {
       row.reserve = ParseName(cell, text, kReserveNames);
     },
     [](const PoolRow& row) {
       return std::string(base::NameOf(kReserveNames, row.reserve));
     }},
    Whole<PoolRow, &PoolRow::order, 1, kMaxOrder>("order"),
    Whole<PoolRow, &PoolRow::pace, 0, 100>("pace"),
    Whole<PoolRow, &PoolRow::maintain, 0, kMaxGeneration>("maintain"),
}};

constexpr std::array<Cell<ServiceRow>, 8> kServiceCells{{
    {"pool",
     [](ServiceRow& row, std::string_view cell, std::string_view text) {
       row.pool = ParseRowName(cell, text);
     },
     [](const ServiceRow& row) { return row.pool; }},
    {"class",
     [](ServiceRow& row, std::string_view cell, std::string_view text) {
       row.urgency = ParseName(cell, text, kUrgencyNames);
     },
     [](const ServiceRow& row) {
       return std::string(base::NameOf(kUrgencyNames, row.urgency));
     }},
    Whole<ServiceRow, &ServiceRow::order, 1, kMaxOrder>("order"),
    Whole<ServiceRow, &ServiceRow::weight, 1, kMaxWeight>("weight"),
    {"away",
     [](ServiceRow& row, std::string_view cell, std::string_view text) {
       row.away = ParseWithUnit(cell, text, "%", 0, 100);
     },
     [](const ServiceRow& row) { return fmt::format("{}%", row.away); }},
    {"deadline",
     [](ServiceRow& row, std::string_view cell, std::string_view text) {
       row.deadline_ms = ParseWithUnit(cell, text, "ms", 1, kMaxDeadlineMs);
     },
     [](const ServiceRow& row) {
       return fmt::format("{}ms", row.deadline_ms);
     }},
    Whole<ServiceRow, &ServiceRow::queue, 0, kMaxQueue>("queue"),
    {"repeat",
     [](ServiceRow& row, std::string_view cell, std::string_view text) {
       row.repeat = ParseName(cell, text, kRepeatNames);
     },
     [](const ServiceRow& row) {
       return std::string(base::NameOf(kRepeatNames, row.repeat));
     }},
}};

constexpr std::array<Cell<TeamRow>, 2> kTeamCells{{
    Whole<TeamRow, &TeamRow::cores, 0, kMaxQuota>("cores"),
    Whole<TeamRow, &TeamRow::accelerators, 0, kMaxQuota>("accelerators"),
}};

std::span<const Cell<PoolRow>> CellsOf(const PoolRow&) {
  return kPoolCells;
}
std::span<const Cell<ServiceRow>> CellsOf(const ServiceRow&) {
  return kServiceCells;
}
std::span<const Cell<TeamRow>> CellsOf(const TeamRow&) {
  return kTeamCells;
}

template <typename R>
const Cell<R>& FindCell(const R& row, std::string_view name) {
  std::string known;
  for (const Cell<R>& cell : CellsOf(row)) {
    if (cell.name == name)
      return cell;
    known += known.empty() ? "" : ", ";
    known += cell.name;
  }
  throw CellError(
      name, fmt::format("no such cell; a row of this kind has {}", known));
}

Row EmptyRow(RowKind kind) {
  switch (kind) {
    case RowKind::kPool:
      return PoolRow{};
    case RowKind::kService:
      return ServiceRow{};
    case RowKind::kTeam:
      return TeamRow{};
  }
  return PoolRow{};
}

}  // namespace

CellError::CellError(std::string_view cell_name, const std::string& what_is)
    : std::runtime_error(fmt::format("{}: {}", cell_name, what_is)),
      cell(cell_name),
      problem(what_is) {}

std::vector<std::string_view> CellNames(RowKind kind) {
  std::vector<std::string_view> names;
  std::visit(
      [&names](const auto& row) {
        for (const auto& cell : CellsOf(row))
          names.push_back(cell.name);
      },
      EmptyRow(kind));
  return names;
}

Row MakeRow(RowKind kind, std::string_view name) {
  Row row = EmptyRow(kind);
  std::visit([name](auto& typed) { typed.name = ParseRowName("name", name); },
             row);
  return row;
}

void SetCell(Row& row, std::string_view cell, std::string_view text) {
  std::visit([&](auto& typed) { FindCell(typed, cell).set(typed, cell, text); },
             row);
}

std::string GetCell(const Row& row, std::string_view cell) {
  return std::visit(
      [&](const auto& typed) { return FindCell(typed, cell).get(typed); }, row);
}

}  // namespace quartzhoist::table
