#include "decision/gateway/target_ownership.h"

#include <criterion/criterion.h>

#include <string>

namespace flamingoyoke {
namespace {

auto MakeGateways(std::size_t count) -> std::vector<PoolGateway> {
  std::vector<PoolGateway> gateways;
  for (std::size_t i = 0; i < count; ++i) {
    gateways.push_back({VmId("g" + std::to_string(i)),
                        FailureDomainId("d" + std::to_string(i % 3))});
  }
  return gateways;
}

auto MakeTargets(std::size_t count) -> std::vector<RegisteredTarget> {
  std::vector<RegisteredTarget> targets;
  for (std::size_t i = 0; i < count; ++i) {
    RegisteredTarget target;
    target.id = TargetId("t" + std::to_string(i));
    target.failure_domain = FailureDomainId("d" + std::to_string(i % 3));
    targets.push_back(target);
  }
  return targets;
}

auto MakeEntry(std::size_t index) -> EntryVm {
  return {VmId("g" + std::to_string(index)), 100};
}

auto MakeMember(std::size_t index, std::uint32_t load) -> Member {
  Member member;
  member.id = VmId("g" + std::to_string(index));
  member.load.processor_millicores = load;
  return member;
}

}  // namespace

// Guards against targets that no gateway tries again, and against several
// gateways that try the same one.
Test(target_ownership, each_target_has_one_owner) {
  const auto gateways = MakeGateways(13);
  const auto targets = MakeTargets(574);
  std::set<TargetId> owned;
  std::size_t count = 0;
  for (const auto& gateway : gateways) {
    const auto own = OwnedTargets(gateway.vm, targets, gateways);
    cr_assert_leq(own.size(), 574 / 13 + 1);
    count += own.size();
    owned.insert(own.begin(), own.end());
  }
  cr_assert_eq(count, 574U);
  cr_assert_eq(owned.size(), 574U);
}

// Guards against gateways that get more targets than their share of the
// callers, and against bytes that cross failure domains without need.
Test(target_ownership, follows_weights_and_failure_domains) {
  auto gateways = MakeGateways(6);
  gateways[0].weight = 5;
  const auto targets = MakeTargets(60);
  cr_assert_eq(OwnedTargets(gateways[0].vm, targets, gateways).size(), 30U);
  gateways[0].weight = 1;
  for (const auto& gateway : gateways) {
    for (const auto& target : OwnedTargets(gateway.vm, targets, gateways)) {
      const auto index = std::stoul(target.value().substr(1));
      cr_assert(targets[index].failure_domain == gateway.failure_domain);
    }
  }
}

// Guards against targets that stay idle because their owner leaves or they do.
Test(target_ownership, passes_to_others_when_a_gateway_or_target_leaves) {
  auto gateways = MakeGateways(3);
  auto targets = MakeTargets(9);
  targets[0].leaving = true;
  gateways.pop_back();
  std::size_t count = 0;
  for (const auto& gateway : gateways) {
    count += OwnedTargets(gateway.vm, targets, gateways).size();
  }
  cr_assert_eq(count, 8U);
}

// Guards against idle targets of a gateway to which callers are not yet
// directed.
Test(target_ownership, an_entry_without_callers_owns_nothing) {
  const std::vector<EntryVm> entries = {MakeEntry(0), MakeEntry(1),
                                        MakeEntry(2)};
  const auto some = OwningGateways(
      entries, {MakeMember(0, 50), MakeMember(1, 0), MakeMember(2, 50)});
  cr_assert_eq(some.size(), 2U);
  cr_assert(some[0].vm == VmId("g0") && some[1].vm == VmId("g2"));
  // Before the first callers, and while only a few have arrived.
  const auto first = OwningGateways(
      entries, {MakeMember(0, 50), MakeMember(1, 0), MakeMember(2, 0)});
  cr_assert_eq(first.size(), 3U);
}

}  // namespace flamingoyoke
