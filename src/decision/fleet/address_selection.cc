#include "decision/fleet/address_selection.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

#include "decision/fleet/home_set.h"
#include "table/service_row.h"

namespace flamingoyoke {
namespace {

// Order of preference; only VMs of the best tier that is not empty are used.
enum class Tier {
  kServing,
  kNotReady,
  kSuspect,
  kUnproven,
  kLeaving,
};

auto TierOf(const Member& member) -> std::optional<Tier> {
  if (member.liveness == Liveness::kDead) {
    return std::nullopt;
  }
  if (member.leaving) {
    return Tier::kLeaving;
  }
  if (member.liveness == Liveness::kUnproven) {
    return Tier::kUnproven;
  }
  if (member.liveness == Liveness::kSuspect) {
    return Tier::kSuspect;
  }
  return member.ready ? Tier::kServing : Tier::kNotReady;
}

auto BestTier(const std::vector<Member>& members) -> std::vector<std::size_t> {
  std::optional<Tier> best;
  std::vector<std::size_t> indexes;
  for (std::size_t i = 0; i < members.size(); ++i) {
    const auto tier = TierOf(members[i]);
    if (!tier || (best && *tier > *best)) {
      continue;
    }
    if (!best || *tier < *best) {
      best = tier;
      indexes.clear();
    }
    indexes.push_back(i);
  }
  return indexes;
}

auto Shuffle(std::vector<Member>& members, Random& random) -> void {
  for (auto remaining = members.size(); remaining > 1; --remaining) {
    std::swap(members[remaining - 1], members[random.Below(remaining)]);
  }
}

}  // namespace

auto SelectAddresses(const FleetView& view,
                     const ServiceId& service,
                     const FailureDomainId& caller_domain,
                     Random& random) -> std::vector<Member> {
  if (!view.table) {
    return {};
  }
  const auto& rows = view.table->rows;
  const auto row = std::find_if(
      rows.begin(), rows.end(),
      [&](const ServiceRow& each) { return each.service == service; });
  if (row == rows.end()) {
    return {};
  }
  const HomeCandidates candidates(view.members, BestTier(view.members));
  const auto home = candidates.Best(service, row->home);
  std::vector<Member> selected;
  selected.reserve(home.size());
  for (const auto index : home) {
    selected.push_back(view.members[index]);
  }
  Shuffle(selected, random);
  std::stable_partition(selected.begin(), selected.end(),
                        [&](const Member& member) {
                          return member.failure_domain == caller_domain;
                        });
  return selected;
}

}  // namespace flamingoyoke
