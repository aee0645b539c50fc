#ifndef FLAMINGOYOKE_NODE_TRAFFIC_ROUTE_TABLE_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_ROUTE_TABLE_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Finds the service of a path in one accepted table. Immutable and so
// thread-safe after construction.
class RouteTable {
 public:
  RouteTable() = default;
  // Shares `table`, as the fleet view does; null means that there is none.
  explicit RouteTable(std::shared_ptr<const Table> table);

  // Returns the row with the longest route that is a prefix of `path`, or null.
  // The pointer holds while this object lives.
  [[nodiscard]] auto Find(std::string_view path) const -> const ServiceRow*;

  // Returns the row of `service`, or null.
  [[nodiscard]] auto FindService(const ServiceId& service) const
      -> const ServiceRow*;

 private:
  std::shared_ptr<const Table> table_;
  // Rows by route; the views point into the table.
  std::unordered_map<std::string_view, const ServiceRow*> routes_;
  std::unordered_map<ServiceId, const ServiceRow*> services_;
  // Lengths that routes have, longest first.
  std::vector<std::size_t> lengths_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_ROUTE_TABLE_H_
