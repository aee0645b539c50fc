#include "table/team_index.h"

#include <utility>

namespace flamingoyoke {

TeamIndex::TeamIndex(std::shared_ptr<const Routing> routing)
    : routing_(std::move(routing)) {
  if (!requires_keys()) {
    return;
  }
  std::size_t keys = 0;
  for (const auto& team : *routing_->teams) {
    keys += team.keys.size();
  }
  teams_.reserve(keys);
  for (const auto& team : *routing_->teams) {
    for (const auto& key : team.keys) {
      teams_.emplace(key, &team);
    }
  }
}

auto TeamIndex::Find(std::string_view key) const -> const Team* {
  const auto found = teams_.find(key);
  return found == teams_.end() ? nullptr : found->second;
}

}  // namespace flamingoyoke
