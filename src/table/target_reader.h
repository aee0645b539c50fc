#ifndef FLAMINGOYOKE_TABLE_TARGET_READER_H_
#define FLAMINGOYOKE_TABLE_TARGET_READER_H_

#include <cstddef>
#include <vector>

#include "table/cell_reader.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Targets of one service; the largest service of the target scale has fewer
// than 100.
inline constexpr std::size_t kMaxTargets = 1000;
inline constexpr DecimalRange kWeightRange{0.01, 100};

// Reads the `targets` cell: items `ip:port*weight@failure_domain`, where
// `*weight` (default 1) and `@failure_domain` may be left out. Reports bad and
// duplicate targets through `cells`. Not thread-safe.
auto ReadTargets(CellReader& cells) -> std::vector<TargetSpec>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_TARGET_READER_H_
