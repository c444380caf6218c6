#include "tools/table.h"

#include <algorithm>
#include <utility>

namespace wigeonstair::tools {

namespace {

// Characters of a UTF-8 text, which is near enough to its width.
std::size_t Width(const std::string& text) {
  return static_cast<std::size_t>(std::count_if(
      text.begin(), text.end(),
      [](char c) { return (static_cast<unsigned char>(c) & 0xc0) != 0x80; }));
}

}  // namespace

Table::Table(std::vector<std::string> headings)
    : headings_(std::move(headings)) {}

void Table::Add(std::vector<std::string> row) {
  row.resize(headings_.size());
  for (std::string& cell : row) {
    if (cell.empty())
      cell.push_back('-');
    // A line break or an escape sequence from a server must not garble the
    // terminal.
    std::replace_if(
        cell.begin(), cell.end(),
        [](char c) {
          return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
        },
        ' ');
  }
  rows_.push_back(std::move(row));
}

std::string Table::ToString() const {
  std::vector<std::size_t> widths;
  for (std::size_t column = 0; column < headings_.size(); ++column) {
    std::size_t width = Width(headings_[column]);
    for (const auto& row : rows_)
      width = std::max(width, Width(row[column]));
    widths.push_back(width);
  }
  std::string text;
  const auto append = [&](const std::vector<std::string>& row) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      text += row[column];
      if (column + 1 < row.size())
        text += std::string(widths[column] - Width(row[column]) + 2, ' ');
    }
    text += "\n";
  };
  append(headings_);
  for (const auto& row : rows_)
    append(row);
  return text;
}

}  // namespace wigeonstair::tools
