#ifndef FLAMINGOYOKE_TABLE_TABLE_READER_H_
#define FLAMINGOYOKE_TABLE_TABLE_READER_H_

#include <cstddef>
#include <string_view>
#include <variant>

#include "core/ids.h"
#include "table/service_row.h"
#include "table/table_fault.h"

namespace flamingoyoke {

// Maximum table size; the configuration service stores values of up to 1 MB.
inline constexpr std::size_t kMaxTableBytes = 1 << 20;

// A valid table, or a non-empty list of faults.
using ReadTableResult = std::variant<Table, TableFaults>;

// Parses and validates the service table in CSV format and sets its revision to
// `revision`. Rejects the whole table if it has any fault. Accepts arbitrary
// input; kMaxTableBytes limits the time and memory used. Thread-safe.
auto ReadTable(std::string_view text, Revision revision) -> ReadTableResult;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_TABLE_READER_H_
