#include "table/header.h"

#include <string>

namespace flamingoyoke {
namespace {

auto JoinColumnNames() -> std::string {
  std::string names;
  for (const auto& entry : EnumNames<Column>::kTable) {
    names += names.empty() ? "" : ", ";
    names += entry.name;
  }
  return names;
}

}  // namespace

Header::Header(const CsvRecord& record, FaultList& faults)
    : indexes_(), size_(record.cells.size()) {
  for (std::size_t index = 0; index < record.cells.size(); ++index) {
    const auto& name = record.cells[index];
    const auto column = FromName<Column>(name);
    if (!column) {
      faults.Add(record.row, name, name,
                 "unknown column; the columns are " + JoinColumnNames());
      continue;
    }
    auto& column_index = indexes_.at(static_cast<std::size_t>(*column));
    if (column_index) {
      faults.Add(record.row, name, name, "the column appears twice");
      continue;
    }
    column_index = index;
  }
  for (const auto column : kRequiredColumns) {
    if (!IndexOf(column)) {
      faults.Add(record.row, ToName(column), "",
                 "the column is missing and has no default");
    }
  }
}

auto Header::IndexOf(Column column) const -> std::optional<std::size_t> {
  return indexes_.at(static_cast<std::size_t>(column));
}

}  // namespace flamingoyoke
