#ifndef FLAMINGOYOKE_TABLE_HEADER_H_
#define FLAMINGOYOKE_TABLE_HEADER_H_

#include <array>
#include <cstddef>
#include <optional>

#include "table/column.h"
#include "table/csv_reader.h"
#include "table/fault_list.h"

namespace flamingoyoke {

// Where the columns stand in a table. Immutable after construction.
class Header {
 public:
  // Reads the header line. Adds unknown, repeated and missing columns to
  // `faults`.
  Header(const CsvRecord& record, FaultList& faults);

  // Returns the index of the cells of `column`, or nothing if the table has no
  // such column.
  [[nodiscard]] auto IndexOf(Column column) const -> std::optional<std::size_t>;

  // Returns the number of cells of the header line.
  [[nodiscard]] auto size() const -> std::size_t { return size_; }

 private:
  std::array<std::optional<std::size_t>, kEnumSize<Column>> indexes_;
  std::size_t size_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_HEADER_H_
