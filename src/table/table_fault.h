#ifndef FLAMINGOYOKE_TABLE_TABLE_FAULT_H_
#define FLAMINGOYOKE_TABLE_TABLE_FAULT_H_

#include <cstddef>
#include <string>
#include <vector>

namespace flamingoyoke {

// A validation error of a table.
struct TableFault {
  // Row number as shown by a spreadsheet, where the header line is row 1; 0 if
  // the fault concerns the whole file.
  std::size_t row = 0;
  // Column name; empty if the fault concerns the whole row.
  std::string column;
  // The invalid value, truncated and with non-printable bytes replaced.
  std::string value;
  // Describes the fault and the accepted values.
  std::string reason;

  auto operator==(const TableFault&) const -> bool = default;
};

using TableFaults = std::vector<TableFault>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_TABLE_FAULT_H_
