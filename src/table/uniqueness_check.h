#ifndef FLAMINGOYOKE_TABLE_UNIQUENESS_CHECK_H_
#define FLAMINGOYOKE_TABLE_UNIQUENESS_CHECK_H_

#include <cstddef>
#include <map>
#include <string>

#include "table/fault_list.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Finds services and routes that more than one row claims. Not thread-safe.
class UniquenessCheck {
 public:
  // Compares `row`, which stands at `number` in the table, with the rows
  // checked before it, and adds clashes to `faults`.
  auto Check(const ServiceRow& row, std::size_t number, FaultList& faults)
      -> void;

 private:
  // Where a value was seen first.
  struct FirstUse {
    std::size_t row;
    std::string text;
  };

  auto CheckRoute(const std::string& route,
                  std::size_t number,
                  FaultList& faults) -> void;

  std::map<std::string, FirstUse> services_;
  std::map<std::string, FirstUse> routes_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_UNIQUENESS_CHECK_H_
