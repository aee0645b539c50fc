#include "table/route_index.h"

#include <algorithm>
#include <utility>

namespace flamingoyoke {

auto NormalizeHost(std::string_view host) -> std::string {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](char each) {
    return each >= 'A' && each <= 'Z' ? static_cast<char>(each - 'A' + 'a')
                                      : each;
  });
  return name;
}

RouteIndex::RouteIndex(std::shared_ptr<const Routing> routing)
    : routing_(std::move(routing)) {
  if (!routing_) {
    return;
  }
  for (const auto& route : routing_->routes) {
    hosts_[NormalizeHost(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : hosts_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* a, const Route* b) {
                       return a->prefix.size() > b->prefix.size();
                     });
  }
}

auto RouteIndex::Find(std::string_view host, std::string_view path) const
    -> const Route* {
  const auto found = hosts_.find(NormalizeHost(host));
  if (found == hosts_.end()) {
    return nullptr;
  }
  for (const auto* route : found->second) {
    if (path.substr(0, route->prefix.size()) == route->prefix) {
      return route;
    }
  }
  return nullptr;
}

}  // namespace flamingoyoke
