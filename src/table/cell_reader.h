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

// Accepted whole numbers, both ends included.
struct CountRange {
  std::uint64_t least;
  std::uint64_t most;
};

// Accepted decimal numbers, both ends included.
struct DecimalRange {
  double least;
  double most;
};

// Reads the cells of one row by column and reports what is wrong with them.
// Keeps references to its arguments, which must outlive it. Not thread-safe.
class CellReader {
 public:
  CellReader(const CsvRecord& record, const Header& header, FaultList& faults);

  // Returns the text of the cell, empty when the cell or column is absent.
  [[nodiscard]] auto Text(Column column) const -> std::string_view;

  // Returns the number in the cell, or `fallback` when the cell is empty or,
  // with a fault, not a number within `range`.
  auto Count(Column column, CountRange range, std::uint64_t fallback)
      -> std::uint64_t;
  auto Decimal(Column column, DecimalRange range, double fallback) -> double;

  // Returns the items of a cell with `;` between them, without the spaces
  // around them. An empty cell has none; an empty item is a fault.
  auto List(Column column) -> std::vector<std::string_view>;

  // Adds a fault about `value` in `column` of this row.
  auto Refuse(Column column, std::string_view value, std::string reason)
      -> void;

 private:
  const CsvRecord& record_;
  const Header& header_;
  FaultList& faults_;
};

// Parses all of `text` as a decimal number without exponent, sign, infinity
// or NaN. Thread-safe.
auto ParseReal(std::string_view text) -> std::optional<double>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_CELL_READER_H_
