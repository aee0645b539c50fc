#include "table/table_reader.h"

#include <string>
#include <utility>
#include <vector>

#include "table/cell_reader.h"
#include "table/csv_reader.h"
#include "table/fault_list.h"
#include "table/header.h"
#include "table/row_reader.h"
#include "table/uniqueness_check.h"

namespace flamingoyoke {
namespace {

// Spreadsheet programs write a UTF-8 byte order mark at the start of the file.
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

auto ReadRows(const std::vector<CsvRecord>& records, FaultList& faults)
    -> std::vector<ServiceRow> {
  const Header header(records.front(), faults);
  UniquenessCheck uniqueness;
  std::vector<ServiceRow> rows;
  for (std::size_t index = 1; index < records.size(); ++index) {
    const auto& record = records[index];
    if (record.cells.size() != header.size()) {
      faults.Add(record.row, "", "",
                 "the row has " + std::to_string(record.cells.size()) +
                     " cells but the header line has " +
                     std::to_string(header.size()));
      continue;
    }
    CellReader cells(record, header, faults);
    rows.push_back(ReadRow(cells));
    uniqueness.Check(rows.back(), record.row, faults);
  }
  return rows;
}

}  // namespace

auto ReadTable(std::string_view text, Revision revision) -> ReadTableResult {
  FaultList faults;
  if (text.size() > kMaxTableBytes) {
    faults.Add(0, "", "",
               "the table has " + std::to_string(text.size()) +
                   " bytes; at most " + std::to_string(kMaxTableBytes) +
                   " are accepted");
    return faults.Take();
  }
  if (text.substr(0, kByteOrderMark.size()) == kByteOrderMark) {
    text.remove_prefix(kByteOrderMark.size());
  }
  const auto records = ReadCsv(text, faults);
  if (records.size() < 2 && faults.empty()) {
    faults.Add(0, "", "", "the table needs a header line and at least one row");
  }
  if (records.empty()) {
    return faults.Take();
  }
  auto rows = ReadRows(records, faults);
  if (!faults.empty()) {
    return faults.Take();
  }
  return Table{revision, std::move(rows)};
}

}  // namespace flamingoyoke
