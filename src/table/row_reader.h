#ifndef FLAMINGOYOKE_TABLE_ROW_READER_H_
#define FLAMINGOYOKE_TABLE_ROW_READER_H_

#include "table/cell_reader.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Reads one row of the table and checks what can be checked without the other
// rows. Reports faults through `cells`; a value with a fault is replaced by
// its default. Not thread-safe.
auto ReadRow(CellReader& cells) -> ServiceRow;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_ROW_READER_H_
