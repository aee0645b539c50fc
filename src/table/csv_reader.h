#ifndef FLAMINGOYOKE_TABLE_CSV_READER_H_
#define FLAMINGOYOKE_TABLE_CSV_READER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "table/fault_list.h"

namespace flamingoyoke {

// A row of a CSV file with at least one non-empty cell.
struct CsvRecord {
  std::size_t row = 0;
  std::vector<std::string> cells;
};

// Limits the memory used for parsing: without these limits, 1 MB of commas
// would produce about 40 MB of empty strings.
inline constexpr std::size_t kMaxCsvCells = 64;
inline constexpr std::size_t kMaxCsvRecords = 10'000;

// Parses `text` with libcsv in strict mode. Skips blank rows but counts them in
// the row numbers. Adds syntax errors and exceeded limits to `faults`; the
// returned records are then incomplete. Thread-safe.
auto ReadCsv(std::string_view text, FaultList& faults)
    -> std::vector<CsvRecord>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_CSV_READER_H_
