#ifndef AMARANTHLANE_CTL_TABLE_H_
#define AMARANTHLANE_CTL_TABLE_H_

#include <string>
#include <vector>

namespace amaranthlane::ctl {

// A table for display as text. Each column is as wide as its widest cell.
struct Table {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

std::string FormatTable(const Table& table);

}  // namespace amaranthlane::ctl

#endif  // AMARANTHLANE_CTL_TABLE_H_
