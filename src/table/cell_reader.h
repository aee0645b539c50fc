#ifndef FLAMINGOYOKE_TABLE_CELL_READER_H_
#define FLAMINGOYOKE_TABLE_CELL_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "table/column.h"
#include "table/csv_reader.h"
#include "table/fault_list.h"
#include "table/header.h"

namespace flamingoyoke {

// Inclusive range of accepted integers.
struct IntegerRange {
  std::uint64_t min;
  std::uint64_t max;
};

// Inclusive range of accepted decimal numbers.
struct DecimalRange {
  double min;
  double max;
};

// Reads the cells of one row by column and adds invalid values to a fault list.
// Stores references to the constructor arguments, which must outlive it. Not
// thread-safe.
class CellReader {
 public:
  CellReader(const CsvRecord& record, const Header& header, FaultList& faults);

  // Returns the text of the cell, or an empty string if the cell or column is
  // absent.
  [[nodiscard]] auto Text(Column column) const -> std::string_view;

  // Returns the number in the cell, or `fallback` if the cell is empty. If the
  // cell is not a number within `range`, adds a fault and returns `fallback`.
  auto ReadInteger(Column column, IntegerRange range, std::uint64_t fallback)
      -> std::uint64_t;
  auto ReadDecimal(Column column, DecimalRange range, double fallback)
      -> double;

  // Splits the cell at `;` and returns the items without surrounding spaces.
  // An empty cell has no items; an empty item is a fault.
  auto ReadList(Column column) -> std::vector<std::string_view>;

  // Adds a fault for `value` in `column` of this row.
  auto AddFault(Column column, std::string_view value, std::string reason)
      -> void;

 private:
  const CsvRecord& record_;
  const Header& header_;
  FaultList& faults_;
};

// Parses the whole of `text` as a decimal number. Returns nullopt for signs,
// exponents, infinity and NaN. Thread-safe.
auto ParseNonNegativeDecimal(std::string_view text) -> std::optional<double>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_CELL_READER_H_
