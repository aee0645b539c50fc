#include "decision/gateway/target_ownership.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

#include "decision/fleet/rendezvous.h"

namespace flamingoyoke {
namespace {

struct Owner {
  const PoolGateway* gateway = nullptr;
  std::uint64_t hash = 0;
  // Number of targets that it may still get.
  std::size_t room = 0;
};

auto MakeOwners(const std::vector<PoolGateway>& gateways, std::size_t targets)
    -> std::vector<Owner> {
  double total = 0;
  for (const auto& gateway : gateways) {
    total += std::max<std::uint32_t>(gateway.weight, 1);
  }
  std::vector<Owner> owners;
  for (const auto& gateway : gateways) {
    const auto share = std::max<std::uint32_t>(gateway.weight, 1) / total;
    owners.push_back({&gateway, HashOf(gateway.vm.value()),
                      static_cast<std::size_t>(
                          std::ceil(share * static_cast<double>(targets)))});
  }
  return owners;
}

// Returns the owner of a target with the hash `key` among those with room.
auto ChooseOwner(std::vector<Owner>& owners,
                 std::uint64_t key,
                 const FailureDomainId& domain) -> Owner* {
  Owner* best = nullptr;
  auto best_rank = std::pair(false, std::uint64_t{0});
  for (auto& owner : owners) {
    const auto rank = std::pair(owner.gateway->failure_domain == domain,
                                RendezvousScore(key, owner.hash));
    if (owner.room > 0 && (best == nullptr || rank > best_rank)) {
      best = &owner;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace

auto OwningGateways(const std::vector<EntryVm>& entries,
                    const std::vector<Member>& members)
    -> std::vector<PoolGateway> {
  std::vector<PoolGateway> loaded;
  std::vector<PoolGateway> all;
  std::uint64_t loaded_weight = 0;
  std::uint64_t weight = 0;
  for (const auto& entry : entries) {
    const auto found = std::lower_bound(
        members.begin(), members.end(), entry.vm,
        [](const Member& member, const VmId& vm) { return member.id < vm; });
    if (found == members.end() || found->id != entry.vm) {
      continue;
    }
    const PoolGateway gateway = {entry.vm, found->failure_domain, entry.weight};
    all.push_back(gateway);
    weight += entry.weight;
    if (found->load.processor_millicores > 0) {
      loaded.push_back(gateway);
      loaded_weight += entry.weight;
    }
  }
  return 2 * loaded_weight >= weight && !loaded.empty() ? loaded : all;
}

auto OwnedTargets(const VmId& self,
                  const std::vector<RegisteredTarget>& targets,
                  const std::vector<PoolGateway>& gateways)
    -> std::set<TargetId> {
  // The order by hash spreads the targets for which no room is left in their
  // failure domain over all services and versions.
  std::vector<std::pair<std::uint64_t, const RegisteredTarget*>> ordered;
  for (const auto& target : targets) {
    if (!target.leaving) {
      ordered.emplace_back(HashOf(target.id.value()), &target);
    }
  }
  std::sort(ordered.begin(), ordered.end());
  auto owners = MakeOwners(gateways, ordered.size());
  std::set<TargetId> owned;
  for (const auto& [key, target] : ordered) {
    auto* owner = ChooseOwner(owners, key, target->failure_domain);
    if (owner == nullptr) {
      continue;
    }
    --owner->room;
    if (owner->gateway->vm == self) {
      owned.insert(target->id);
    }
  }
  return owned;
}

}  // namespace flamingoyoke
