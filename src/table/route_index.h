#ifndef FLAMINGOYOKE_TABLE_ROUTE_INDEX_H_
#define FLAMINGOYOKE_TABLE_ROUTE_INDEX_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "table/routing.h"

namespace flamingoyoke {

// Returns `host` in lower case and without its port, as routes are matched.
// Thread-safe.
auto NormalizeHost(std::string_view host) -> std::string;

// Looks up the route of a request by host and path. Immutable after
// construction, and therefore thread-safe.
class RouteIndex {
 public:
  RouteIndex() = default;
  // Shares ownership of `routing`. A null pointer creates an empty index.
  explicit RouteIndex(std::shared_ptr<const Routing> routing);

  // Returns the route of `host` with the longest prefix that matches `path`, or
  // null. Ignores the port and the case of `host`. The pointer is valid for the
  // lifetime of this object.
  [[nodiscard]] auto Find(std::string_view host, std::string_view path) const
      -> const Route*;

 private:
  std::shared_ptr<const Routing> routing_;
  // Routes by host, sorted by descending prefix length.
  std::unordered_map<std::string, std::vector<const Route*>> hosts_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_ROUTE_INDEX_H_
