#ifndef FLAMINGOYOKE_TABLE_UNIQUENESS_CHECK_H_
#define FLAMINGOYOKE_TABLE_UNIQUENESS_CHECK_H_

#include <cstddef>
#include <map>
#include <string>

#include "table/fault_list.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Detects services and routes that are defined in more than one row. Not
// thread-safe.
class UniquenessCheck {
 public:
  // Compares `row`, which is row `row_number` of the table, with the rows
  // passed before, and adds duplicates to `faults`.
  auto Check(const ServiceRow& row, std::size_t row_number, FaultList& faults)
      -> void;

 private:
  // The row and spelling in which a value first occurred.
  struct FirstOccurrence {
    std::size_t row;
    std::string text;
  };

  auto CheckRoute(const std::string& route,
                  std::size_t row_number,
                  FaultList& faults) -> void;

  std::map<std::string, FirstOccurrence> services_;
  std::map<std::string, FirstOccurrence> routes_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_UNIQUENESS_CHECK_H_
