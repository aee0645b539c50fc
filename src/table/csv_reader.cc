#include "table/csv_reader.h"

#include <csv.h>

#include <algorithm>
#include <utility>

namespace flamingoyoke {
namespace {

// Owns a libcsv parser and collects the records from its callbacks.
class CsvCollector {
 public:
  explicit CsvCollector(FaultList& faults) : faults_(faults) {
    csv_init(&parser_, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL);
  }
  ~CsvCollector() { csv_free(&parser_); }
  CsvCollector(const CsvCollector&) = delete;
  auto operator=(const CsvCollector&) -> CsvCollector& = delete;

  auto Parse(std::string_view text) -> std::vector<CsvRecord> {
    const auto used =
        csv_parse(&parser_, text.data(), text.size(), &OnCell, &OnRow, this);
    const bool is_complete =
        used == text.size() && csv_fini(&parser_, &OnCell, &OnRow, this) == 0;
    if (!is_complete) {
      faults_.Add(row_, "", "",
                  std::string("the row is not valid CSV (") +
                      csv_strerror(csv_error(&parser_)) +
                      "); write a quote inside a quoted cell twice");
    }
    return std::move(records_);
  }

 private:
  static auto OnCell(void* bytes, std::size_t size, void* collector) -> void {
    static_cast<CsvCollector*>(collector)->AddCell(
        std::string_view(static_cast<const char*>(bytes), size));
  }

  static auto OnRow(int terminator, void* collector) -> void {
    static_cast<CsvCollector*>(collector)->EndRow(terminator);
  }

  auto AddCell(std::string_view cell) -> void {
    ++cell_count_;
    if (cell_count_ <= kMaxCsvCells) {
      cells_.emplace_back(cell);
    }
  }

  auto EndRow(int terminator) -> void {
    const bool is_lf_of_crlf =
        terminator == '\n' && last_terminator_ == '\r' && cells_.empty();
    last_terminator_ = terminator;
    if (is_lf_of_crlf) {
      return;
    }
    StoreRow();
    cells_.clear();
    cell_count_ = 0;
    ++row_;
  }

  auto StoreRow() -> void {
    if (std::all_of(cells_.begin(), cells_.end(),
                    [](const std::string& cell) { return cell.empty(); })) {
      return;
    }
    if (cell_count_ > kMaxCsvCells) {
      faults_.Add(row_, "", "",
                  "the row has " + std::to_string(cell_count_) +
                      " cells; at most " + std::to_string(kMaxCsvCells) +
                      " are accepted");
      return;
    }
    if (records_.size() == kMaxCsvRecords) {
      faults_.Add(
          row_, "", "",
          "at most " + std::to_string(kMaxCsvRecords) + " rows are accepted");
      return;
    }
    records_.push_back({row_, cells_});
  }

  FaultList& faults_;
  csv_parser parser_{};
  std::size_t row_ = 1;
  std::size_t cell_count_ = 0;
  int last_terminator_ = 0;
  std::vector<std::string> cells_;
  std::vector<CsvRecord> records_;
};

}  // namespace

auto ReadCsv(std::string_view text, FaultList& faults)
    -> std::vector<CsvRecord> {
  return CsvCollector(faults).Parse(text);
}

}  // namespace flamingoyoke
