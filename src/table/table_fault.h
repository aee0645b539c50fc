#ifndef FLAMINGOYOKE_TABLE_TABLE_FAULT_H_
#define FLAMINGOYOKE_TABLE_TABLE_FAULT_H_

#include <cstddef>
#include <string>
#include <vector>

namespace flamingoyoke {

// One reason for refusing a table.
struct TableFault {
  // Row as a spreadsheet numbers it: the header line is row 1. 0 means the
  // whole file.
  std::size_t row = 0;
  // Name of the column; empty when the fault concerns the whole row.
  std::string column;
  // The refused value, shortened and with unprintable bytes replaced.
  std::string value;
  // What is wrong and what is accepted.
  std::string reason;

  auto operator==(const TableFault&) const -> bool = default;
};

using TableFaults = std::vector<TableFault>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_TABLE_FAULT_H_
