#include "decision/gateway/service_splitter.h"

#include <cstdint>

namespace flamingoyoke {

auto ServiceSplitter::Choose(const Route& route) -> const ServiceId& {
  if (route.shares.size() == 1) {
    return route.shares.front().service;
  }
  auto& state = routes_[route.name];
  if (state.shares != route.shares) {
    state = {route.shares, std::vector<std::int64_t>(route.shares.size(), 0)};
  }
  std::int64_t total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < route.shares.size(); ++i) {
    const std::int64_t weight = route.shares[i].weight;
    total += weight;
    state.current_weights[i] += weight;
    if (state.current_weights[i] > state.current_weights[best]) {
      best = i;
    }
  }
  state.current_weights[best] -= total;
  return route.shares[best].service;
}

}  // namespace flamingoyoke
