#include "decision/fleet/table_history.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace flamingoyoke {

auto TableHistory::Add(std::uint32_t shard,
                       std::uint64_t hash,
                       std::string text) -> void {
  auto& versions = versions_[shard];
  versions.push_front({hash, std::move(text)});
  auto bytes = std::accumulate(
      versions.begin(), versions.end(), std::size_t{0},
      [](std::size_t sum, const auto& each) { return sum + each.text.size(); });
  while (versions.size() > 1 &&
         (versions.size() > kMaxPastVersions || bytes > kMaxPastBytes)) {
    bytes -= versions.back().text.size();
    versions.pop_back();
  }
}

auto TableHistory::Find(std::uint32_t shard, std::uint64_t hash) const
    -> const std::string* {
  const auto versions = versions_.find(shard);
  if (versions == versions_.end()) {
    return nullptr;
  }
  const auto found =
      std::find_if(versions->second.begin(), versions->second.end(),
                   [&](const auto& each) { return each.hash == hash; });
  return found == versions->second.end() ? nullptr : &found->text;
}

}  // namespace flamingoyoke
