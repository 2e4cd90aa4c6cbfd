#include "client/render.h"

#include <algorithm>

#include <fmt/format.h>

namespace quartzhoist::client {

std::string RenderTable(const std::vector<Line>& lines) {
  std::vector<std::size_t> widths;
  for (const Line& line : lines) {
    widths.resize(std::max(widths.size(), line.size()));
    for (std::size_t i = 0; i < line.size(); ++i)
      widths[i] = std::max(widths[i], line[i].size());
  }
  std::string text;
  for (const Line& line : lines) {
    std::string row;
    for (std::size_t i = 0; i < line.size(); ++i)
      row += fmt::format("{:<{}}  ", line[i], widths[i]);
    row.erase(row.find_last_not_of(' ') + 1);
    text += row + "\n";
  }
  return text;
}

}  // namespace quartzhoist::client
