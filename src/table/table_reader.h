#ifndef FLAMINGOYOKE_TABLE_TABLE_READER_H_
#define FLAMINGOYOKE_TABLE_TABLE_READER_H_

#include <cstddef>
#include <string_view>
#include <variant>

#include "core/ids.h"
#include "table/service_row.h"
#include "table/table_fault.h"

namespace flamingoyoke {

// Largest table; the configuration service holds values of up to 1 MB.
inline constexpr std::size_t kMaxTableBytes = 1 << 20;

// An accepted table, or every fault that was found (at least one).
using ReadTableResult = std::variant<Table, TableFaults>;

// Reads the operators' table from CSV text and gives it `revision`. A table
// with any fault is refused as a whole. Safe for any bytes; time and memory
// are bounded by kMaxTableBytes. Thread-safe.
auto ReadTable(std::string_view text, Revision revision) -> ReadTableResult;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_TABLE_READER_H_
