#include "table/text.h"

#include <algorithm>
#include <optional>
#include <set>
#include <vector>

#include <fmt/format.h>

#include "base/ini_file.h"
#include "table/cells.h"

namespace quartzhoist::table {

namespace {

constexpr std::size_t kMaxLine = 4096;

std::string_view Trimmed(std::string_view text) {
  constexpr std::string_view kBlank = " \t\r";
  const std::size_t first = text.find_first_not_of(kBlank);
  if (first == std::string_view::npos)
    return {};
  const std::size_t last = text.find_last_not_of(kBlank);
  return text.substr(first, last - first + 1);
}

std::vector<std::string> Split(std::string_view line) {
  std::vector<std::string> cells;
  while (true) {
    const std::size_t bar = line.find('|');
    cells.emplace_back(Trimmed(line.substr(0, bar)));
    if (bar == std::string_view::npos)
      return cells;
    line.remove_prefix(bar + 1);
  }
}

// Reads line by line; remembers the header that is in force.
struct Reader {
  const std::string& file;
  Rows rows = {};
  int line = 0;
  std::optional<RowKind> kind = std::nullopt;
  std::vector<std::string> columns = {};

  [[noreturn]] void Fail(const std::string& key,
                         const std::string& problem) const {
    throw base::TextError(this->file, this->line, key, problem);
  }

  void TakeHeader(RowKind header_kind, const std::vector<std::string>& cells) {
    const std::vector<std::string_view> known = CellNames(header_kind);
    std::set<std::string_view> seen;
    for (std::size_t i = 1; i < cells.size(); ++i) {
      const bool fits =
          std::find(known.begin(), known.end(), cells[i]) != known.end();
      if (!fits)
        this->Fail(cells[i], fmt::format("no such cell; {} rows have {}",
                                         cells[0], fmt::join(known, ", ")));
      if (!seen.insert(cells[i]).second)
        this->Fail(cells[i], "the column stands twice");
    }
    this->kind = header_kind;
    this->columns = cells;
  }

  void TakeRow(const std::vector<std::string>& cells) {
    if (!this->kind)
      this->Fail(cells[0],
                 "a row before any header; start with a line such as "
                 "'pool | boxes | wave'");
    if (cells.size() != this->columns.size())
      this->Fail(cells[0], fmt::format("{} cells, but the header names {}",
                                       cells.size(), this->columns.size()));
    std::string at = cells[0];
    try {
      Row row = MakeRow(*this->kind, cells[0]);
      at = IdOf(row);
      for (std::size_t i = 1; i < cells.size(); ++i)
        SetCell(row, this->columns[i], cells[i]);
      if (!this->rows.emplace(IdOf(row), row).second)
        this->Fail(at, "the row stands twice");
    } catch (const CellError& error) {
      this->Fail(at + "." + error.cell, error.problem);
    }
  }

  void TakeLine(std::string_view text) {
    ++this->line;
    if (text.size() > kMaxLine)
      this->Fail("", "the line is too long");
    text = Trimmed(text);
    if (text.empty() || text.front() == '#')
      return;
    const std::vector<std::string> cells = Split(text);
    const std::optional<RowKind> header =
        base::ValueOf(kRowKindNames, cells[0]);
    if (header)
      this->TakeHeader(*header, cells);
    else
      this->TakeRow(cells);
  }
};

void AppendLine(std::string& text,
                const std::vector<std::string>& cells,
                const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    line += i == 0 ? "" : " | ";
    line += fmt::format("{:<{}}", cells[i], widths[i]);
  }
  line.erase(line.find_last_not_of(' ') + 1);
  text += line + "\n";
}

}  // namespace

Rows ReadText(std::istream& in, const std::string& file) {
  Reader reader{.file = file};
  std::string text;
  while (std::getline(in, text))
    reader.TakeLine(text);
  if (in.bad())
    throw base::TextError(file, reader.line, "", "cannot be read");
  return std::move(reader.rows);
}

std::string WriteText(const Rows& rows) {
  std::string text;
  for (const auto& [kind, kind_name] : kRowKindNames) {
    std::vector<std::vector<std::string>> lines{{std::string(kind_name)}};
    const std::vector<std::string_view> names = CellNames(kind);
    lines[0].insert(lines[0].end(), names.begin(), names.end());
    for (const auto& [id, row] : rows) {
      if (KindOf(row) != kind)
        continue;
      lines.push_back({NameOf(row)});
      for (const std::string_view name : names)
        lines.back().push_back(GetCell(row, name));
    }
    if (lines.size() == 1)
      continue;
    std::vector<std::size_t> widths(lines[0].size());
    for (const auto& line : lines) {
      for (std::size_t i = 0; i < line.size(); ++i)
        widths[i] = std::max(widths[i], line[i].size());
    }
    text += text.empty() ? "" : "\n";
    for (const auto& line : lines)
      AppendLine(text, line, widths);
  }
  return text;
}

Row RowFromId(std::string_view id) {
  const std::size_t slash = id.find('/');
  const std::optional<RowKind> kind =
      base::ValueOf(kRowKindNames, id.substr(0, slash));
  if (slash == std::string_view::npos || !kind)
    throw CellError("row", fmt::format("'{}' is no row; write pool/NAME, "
                                       "service/NAME or team/NAME",
                                       id));
  return MakeRow(*kind, id.substr(slash + 1));
}

}  // namespace quartzhoist::table
