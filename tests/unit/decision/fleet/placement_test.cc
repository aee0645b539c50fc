#include "decision/fleet/placement.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <set>

#include "unit/decision/fleet/fleet_fixture.h"

namespace flamingoyoke {
namespace {

auto LoadOf(const Placement& placement) -> std::map<VmId, std::size_t> {
  std::map<VmId, std::size_t> load;
  for (const auto& owner : placement.owners) {
    ++load[owner];
  }
  return load;
}

auto MovedTargets(const Placement& before, const Placement& after)
    -> std::size_t {
  std::size_t moved = 0;
  for (std::size_t i = 0; i < before.owners.size(); ++i) {
    moved += before.owners[i] != after.owners[i] ? 1 : 0;
  }
  return moved;
}

// Guards against a home set that is lost with one failure domain.
Test(placement, spreads_the_home_set_over_failure_domains) {
  const auto members = MakeServingMembers(40);
  for (int i = 0; i < 50; ++i) {
    const auto row = MakeRow("service-" + std::to_string(i), 8);
    std::set<std::string> domains;
    for (const auto& vm : PlacementOf(row, members).home) {
      const auto member =
          std::find_if(members.begin(), members.end(),
                       [&](const Member& each) { return each.id == vm; });
      domains.insert(member->failure_domain.value());
    }
    cr_assert_eq(domains.size(), 4);
  }
}

// Guards against placing work on VMs that cannot serve it.
Test(placement, uses_only_serving_vms) {
  auto members = MakeServingMembers(7);
  members[0].liveness = Liveness::kSuspect;
  members[1].liveness = Liveness::kDead;
  members[2].liveness = Liveness::kUnproven;
  members[3].leaving = true;
  members[4].ready = false;
  const auto placement = PlacementOf(MakeRow("s", 9, 7), members);
  cr_assert_eq(placement.home.size(), 2);
  for (const auto& vm : placement.home) {
    cr_assert(vm == members[5].id || vm == members[6].id);
  }
}

// Guards against targets without an owner, and against one owner with most of
// the slots of a service.
Test(placement, balances_targets_to_floor_or_ceil) {
  const auto members = MakeServingMembers(40);
  for (std::uint32_t home = 1; home <= 6; ++home) {
    for (std::size_t targets = 1; targets <= 31; ++targets) {
      const auto row = MakeRow("s", targets, home);
      const auto placement = PlacementOf(row, members);
      cr_assert_eq(placement.home.size(), home);
      for (const auto& vm : placement.home) {
        const auto load = LoadOf(placement)[vm];
        cr_assert_geq(load, targets / home);
        cr_assert_leq(load, (targets + home - 1) / home);
      }
    }
  }
}

// Guards against a placement that depends on the order of the member list,
// which differs between nodes.
Test(placement, does_not_depend_on_the_order_of_members) {
  auto members = MakeServingMembers(40);
  const auto row = MakeRow("s", 14);
  const auto expected = PlacementOf(row, members);
  std::reverse(members.begin(), members.end());
  cr_assert(PlacementOf(row, members) == expected);
}

// Guards against reordering a home set, which discards connections and detector
// state.
Test(placement, keeps_other_home_members_when_one_dies) {
  for (int i = 0; i < 50; ++i) {
    auto members = MakeServingMembers(40);
    const auto row = MakeRow("service-" + std::to_string(i), 14);
    const auto before = PlacementOf(row, members);
    const auto dead_vm = before.home[static_cast<std::size_t>(i) % 4];
    std::find_if(members.begin(), members.end(), [&](const Member& each) {
      return each.id == dead_vm;
    })->liveness = Liveness::kDead;
    const auto after = PlacementOf(row, members);
    for (const auto& vm : before.home) {
      const auto stays =
          std::count(after.home.begin(), after.home.end(), vm) == 1;
      cr_assert_eq(stays, vm != dead_vm);
    }
  }
}

// Guards against a change of the home set that moves most targets. The targets
// of the removed VM must move; independent rendezvous hashing moves about twice
// as many when another VM takes its place. A target that has moved cannot move
// again, hence the bound of twice the mean.
Test(placement, moves_few_targets_when_a_member_dies) {
  std::size_t moved = 0;
  std::size_t owned = 0;
  for (int i = 0; i < 200; ++i) {
    auto members = MakeServingMembers(40);
    const auto row = MakeRow("service-" + std::to_string(i), 14);
    const auto before = PlacementOf(row, members);
    const auto dead_vm = before.home[static_cast<std::size_t>(i) % 4];
    std::find_if(members.begin(), members.end(), [&](const Member& each) {
      return each.id == dead_vm;
    })->liveness = Liveness::kDead;
    moved += MovedTargets(before, PlacementOf(row, members));
    owned += LoadOf(before)[dead_vm];
  }
  cr_assert_leq(moved, 2 * owned, "%zu moved, %zu had to", moved, owned);
}

// Guards against a crash while no VM is serving, as at the start of a fleet.
Test(placement, leaves_targets_without_owner_when_no_vm_serves) {
  const auto placement = PlacementOf(MakeRow("s", 3), {});
  cr_assert(placement.home.empty());
  cr_assert_eq(placement.owners.size(), 3);
  cr_assert(placement.owners[0].empty());
}

}  // namespace
}  // namespace flamingoyoke
