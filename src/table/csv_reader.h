#ifndef FLAMINGOYOKE_TABLE_CSV_READER_H_
#define FLAMINGOYOKE_TABLE_CSV_READER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "table/fault_list.h"

namespace flamingoyoke {

// One row of a CSV file that has at least one non-empty cell.
struct CsvRecord {
  std::size_t row = 0;
  std::vector<std::string> cells;
};

// Bounds of the memory that a CSV text can claim: without them, 1 MB of
// commas would become about 40 MB of empty strings.
inline constexpr std::size_t kMaxCsvCells = 64;
inline constexpr std::size_t kMaxCsvRecords = 10'000;

// Splits `text` into records through libcsv in strict mode. Blank rows are
// left out but counted. Adds what is wrong with the text to `faults`; the
// records are then incomplete. Thread-safe.
auto ReadCsv(std::string_view text, FaultList& faults)
    -> std::vector<CsvRecord>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_CSV_READER_H_
