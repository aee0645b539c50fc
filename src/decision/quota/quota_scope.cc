#include "decision/quota/quota_scope.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "decision/fleet/rendezvous.h"
#include "decision/quota/quota_timing.h"

namespace flamingoyoke {

auto QuotaKeepers(const std::vector<EntryVm>& entries) -> std::vector<VmId> {
  std::vector<VmId> keepers;
  for (const auto& entry : entries) {
    if (keepers.size() < kQuotaKeepers) {
      keepers.push_back(entry.vm);
    }
  }
  return keepers;
}

auto KeepersHash(const std::vector<VmId>& keepers) -> std::uint64_t {
  std::uint64_t hash = 0;
  for (const auto& keeper : keepers) {
    hash = RendezvousScore(hash, HashOf(keeper.value()));
  }
  return std::max<std::uint64_t>(hash, 1);
}

auto KeepersOfTeam(const TeamId& team, const std::vector<VmId>& keepers)
    -> std::vector<VmId> {
  const auto hash = HashOf(team.value());
  std::vector<std::pair<std::uint64_t, VmId>> scored;
  scored.reserve(keepers.size());
  for (const auto& keeper : keepers) {
    scored.emplace_back(RendezvousScore(hash, HashOf(keeper.value())), keeper);
  }
  std::sort(scored.rbegin(), scored.rend());
  std::vector<VmId> ordered;
  ordered.reserve(scored.size());
  for (auto& [score, keeper] : scored) {
    ordered.push_back(std::move(keeper));
  }
  return ordered;
}

}  // namespace flamingoyoke
