#ifndef FLAMINGOYOKE_TABLE_ROW_READER_H_
#define FLAMINGOYOKE_TABLE_ROW_READER_H_

#include "table/cell_reader.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Reads a row of the table and validates it independently of the other rows.
// Adds faults through `cells` and replaces invalid values by their defaults.
// Not thread-safe.
auto ReadRow(CellReader& cells) -> ServiceRow;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_ROW_READER_H_
