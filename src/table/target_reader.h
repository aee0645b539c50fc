#ifndef FLAMINGOYOKE_TABLE_TARGET_READER_H_
#define FLAMINGOYOKE_TABLE_TARGET_READER_H_

#include <cstddef>
#include <vector>

#include "table/cell_reader.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Maximum number of targets per service; the largest service at the intended
// scale has fewer than 100.
inline constexpr std::size_t kMaxTargets = 1000;
inline constexpr DecimalRange kWeightRange{0.01, 100};

// Reads the `targets` cell, a list of `ip:port*weight@failure_domain`, where
// `*weight` (default 1) and `@failure_domain` are optional. Adds faults for
// invalid and duplicate targets through `cells`. Not thread-safe.
auto ReadTargets(CellReader& cells) -> std::vector<TargetSpec>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_TARGET_READER_H_
