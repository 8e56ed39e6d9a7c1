#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// What an experiment has measured: one row a case, numbers by column.
struct experiment_table {
  struct row {
    std::string Case;
    std::vector<double> Values;
  };

  std::string Title;
  std::vector<std::string> Columns;
  std::vector<row> Rows;

  std::string text() const;
  std::string json() const;
  /// A bar chart of one column.
  std::string svg(std::size_t Column) const;
};

} // namespace endiverail
