#include "node/traffic/route_table.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace flamingoyoke {

RouteTable::RouteTable(std::shared_ptr<const Table> table)
    : table_(std::move(table)) {
  if (!table_) {
    return;
  }
  std::set<std::size_t, std::greater<>> lengths;
  for (const auto& row : table_->rows) {
    services_.emplace(row.service, &row);
    for (const auto& route : row.routes) {
      routes_.emplace(route, &row);
      lengths.insert(route.size());
    }
  }
  lengths_.assign(lengths.begin(), lengths.end());
}

auto RouteTable::Find(std::string_view path) const -> const ServiceRow* {
  for (const auto length : lengths_) {
    if (length > path.size()) {
      continue;
    }
    const auto found = routes_.find(path.substr(0, length));
    if (found != routes_.end()) {
      return found->second;
    }
  }
  return nullptr;
}

auto RouteTable::FindService(const ServiceId& service) const
    -> const ServiceRow* {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second;
}

}  // namespace flamingoyoke
