#include "ctl/table.h"

#include <algorithm>

namespace amaranthlane::ctl {

namespace {

constexpr std::size_t kColumnGap = 2;

std::string FormatRow(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t index = 0; index < cells.size(); ++index) {
    line += cells[index];
    if (index + 1 < cells.size()) {
      line.append(widths[index] - cells[index].size() + kColumnGap, ' ');
    }
  }
  return line + "\n";
}

}  // namespace

std::string FormatTable(const Table& table) {
  std::vector<std::size_t> widths;
  for (const std::string& column : table.columns) {
    widths.push_back(column.size());
  }
  for (const std::vector<std::string>& row : table.rows) {
    for (std::size_t index = 0; index < row.size(); ++index) {
      widths[index] = std::max(widths[index], row[index].size());
    }
  }
  std::string text = FormatRow(table.columns, widths);
  for (const std::vector<std::string>& row : table.rows) {
    text += FormatRow(row, widths);
  }
  return text;
}

}  // namespace amaranthlane::ctl
