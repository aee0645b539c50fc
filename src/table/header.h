#ifndef FLAMINGOYOKE_TABLE_HEADER_H_
#define FLAMINGOYOKE_TABLE_HEADER_H_

#include <array>
#include <cstddef>
#include <optional>

#include "table/column.h"
#include "table/csv_reader.h"
#include "table/fault_list.h"

namespace flamingoyoke {

// Maps columns to cell indexes. Immutable after construction.
class Header {
 public:
  // Reads the header line. Adds a fault for each unknown, duplicate or missing
  // column.
  Header(const CsvRecord& record, FaultList& faults);

  // Returns the cell index of `column`, or nullopt if the table does not have
  // the column.
  [[nodiscard]] auto IndexOf(Column column) const -> std::optional<std::size_t>;

  // Returns the number of cells in the header line.
  [[nodiscard]] auto size() const -> std::size_t { return size_; }

 private:
  std::array<std::optional<std::size_t>, kEnumSize<Column>> indexes_;
  std::size_t size_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_HEADER_H_
