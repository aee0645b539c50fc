#ifndef FLAMINGOYOKE_TABLE_FAULT_LIST_H_
#define FLAMINGOYOKE_TABLE_FAULT_LIST_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "table/table_fault.h"

namespace flamingoyoke {

// Collects the faults of one table with bounded memory. Not thread-safe.
class FaultList {
 public:
  // Faults listed before the list says that there are more. A file of random
  // bytes has about one fault per cell.
  static constexpr std::size_t kMaxFaults = 1000;
  // Characters of a refused value that are shown.
  static constexpr std::size_t kMaxValueLength = 120;

  // Adds a fault. `row` and `column` are described in `TableFault`.
  auto Add(std::size_t row,
           std::string_view column,
           std::string_view value,
           std::string reason) -> void;

  [[nodiscard]] auto empty() const -> bool { return faults_.empty(); }

  // Returns the faults in the order of their discovery and empties the list.
  auto Take() -> TableFaults;

 private:
  TableFaults faults_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_FAULT_LIST_H_
