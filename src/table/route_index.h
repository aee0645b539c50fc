#ifndef FLAMINGOYOKE_TABLE_ROUTE_INDEX_H_
#define FLAMINGOYOKE_TABLE_ROUTE_INDEX_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "table/routing.h"

namespace flamingoyoke {

// Finds the route of a request. Immutable and so thread-safe after
// construction.
class RouteIndex {
 public:
  RouteIndex() = default;
  // Shares `routing`; null means that there is none.
  explicit RouteIndex(std::shared_ptr<const Routing> routing);

  // Returns the route of `host` with the longest prefix that begins `path`,
  // or null. A port in `host` and its case do not matter. The pointer holds
  // while this object lives.
  [[nodiscard]] auto Find(std::string_view host, std::string_view path) const
      -> const Route*;

 private:
  std::shared_ptr<const Routing> routing_;
  // Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> hosts_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_ROUTE_INDEX_H_
