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

// Maps request paths to the service rows of one table. Immutable after
// construction and therefore thread-safe.
class RouteTable {
 public:
  RouteTable() = default;
  // Shares ownership of `table`. A null table has no routes.
  explicit RouteTable(std::shared_ptr<const Table> table);

  // Returns the row with the longest route that is a prefix of `path`, or null.
  // The pointer is valid during the lifetime of this object.
  [[nodiscard]] auto Find(std::string_view path) const -> const ServiceRow*;

  // Returns the row of `service`, or null.
  [[nodiscard]] auto FindService(const ServiceId& service) const
      -> const ServiceRow*;

 private:
  std::shared_ptr<const Table> table_;
  // Rows by route; the views point into the table.
  std::unordered_map<std::string_view, const ServiceRow*> routes_;
  std::unordered_map<ServiceId, const ServiceRow*> services_;
  // Distinct lengths of all routes, longest first.
  std::vector<std::size_t> lengths_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_ROUTE_TABLE_H_
