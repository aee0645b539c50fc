#include "cli/text_table.h"

#include <algorithm>
#include <utility>

namespace flamingoyoke {
namespace {

constexpr std::size_t kColumnGap = 2;

}  // namespace

TextTable::TextTable(std::vector<std::string> header) {
  rows_.push_back(std::move(header));
}

auto TextTable::Add(std::vector<std::string> row) -> void {
  rows_.push_back(std::move(row));
}

auto TextTable::ToText() const -> std::string {
  std::vector<std::size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
      line += row[column];
      line.append(widths[column] - row[column].size() + kColumnGap, ' ');
    }
    text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
  }
  return text;
}

}  // namespace flamingoyoke
