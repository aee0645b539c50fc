#include "decision/fleet/update_receivers.h"

#include <cmath>
#include <map>
#include <utility>

#include "decision/fleet/rendezvous.h"

namespace flamingoyoke {
namespace {

auto IsRelay(const UpdateOrigin& origin, std::uint64_t group) -> bool {
  const auto score = RendezvousScore(origin.change ^ group, origin.self);
  const auto uniform = std::ldexp(static_cast<double>(score), -64);
  return uniform * static_cast<double>(origin.domain_size) < kRelaysPerDomain;
}

}  // namespace

auto UpdateReceivers(const UpdateOrigin& origin,
                     const std::vector<UpdateLink>& links) -> std::set<VmId> {
  std::set<VmId> receivers;
  // The chosen link to each other group and its score.
  std::map<std::uint64_t, std::pair<std::uint64_t, VmId>> others;
  for (const auto& each : links) {
    if (each.link != LinkClass::kOtherDomain &&
        each.link != LinkClass::kOtherRegion) {
      receivers.insert(each.peer);
      continue;
    }
    if (!origin.is_first && !IsRelay(origin, each.group)) {
      continue;
    }
    const auto score =
        RendezvousScore(origin.change, HashOf(each.peer.value()));
    const auto [found, is_new] =
        others.try_emplace(each.group, score, each.peer);
    if (!is_new && score < found->second.first) {
      found->second = {score, each.peer};
    }
  }
  for (const auto& [group, chosen] : others) {
    receivers.insert(chosen.second);
  }
  return receivers;
}

}  // namespace flamingoyoke
