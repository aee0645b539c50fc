#ifndef FLAMINGOYOKE_TABLE_FAULT_LIST_H_
#define FLAMINGOYOKE_TABLE_FAULT_LIST_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "table/table_fault.h"

namespace flamingoyoke {

// Collects the validation faults of a table in bounded memory. Not thread-safe.
class FaultList {
 public:
  // Number of faults after which one final entry says that there are more. A
  // file of random bytes has about one fault per cell.
  static constexpr std::size_t kMaxFaults = 1000;
  // Number of characters after which an invalid value is truncated.
  static constexpr std::size_t kMaxValueLength = 120;

  // Adds a fault; see `TableFault` for the parameters.
  auto Add(std::size_t row,
           std::string_view column,
           std::string_view value,
           std::string reason) -> void;

  [[nodiscard]] auto empty() const -> bool { return faults_.empty(); }

  // Returns the faults in the order they were added and clears the list.
  auto Take() -> TableFaults;

 private:
  TableFaults faults_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_FAULT_LIST_H_
