#include "decision/fleet/address_selection.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

#include "decision/fleet/placement.h"
#include "unit/decision/fleet/fleet_fixture.h"

namespace flamingoyoke {
namespace {

auto MakeView(std::vector<Member> members) -> FleetView {
  FleetView view;
  view.members = std::move(members);
  Table table;
  table.revision = Revision(1);
  table.rows.push_back(MakeRow("s", 8));
  view.table = std::make_shared<const Table>(std::move(table));
  return view;
}

// Guards against addresses outside the home set, whose VMs would have to borrow
// slots.
Test(address_selection, returns_the_home_set_with_the_callers_domain_first) {
  const auto view = MakeView(MakeServingMembers(40));
  const auto placement = PlacementOf(view.table->rows[0], view.members);
  Random random(1);
  for (int domain = 0; domain < 4; ++domain) {
    const FailureDomainId caller("fd-" + std::to_string(domain));
    const auto selected = SelectAddresses(view, ServiceId("s"), caller, random);
    cr_assert_eq(selected.size(), 4);
    cr_assert(selected.front().failure_domain == caller);
    for (const auto& member : selected) {
      cr_assert(std::count(placement.home.begin(), placement.home.end(),
                           member.id) == 1);
    }
  }
}

// Guards against directing all callers of an unknown domain to one VM.
Test(address_selection, spreads_callers_over_the_home_set) {
  const auto view = MakeView(MakeServingMembers(40));
  Random random(1);
  std::set<std::string> first;
  for (int i = 0; i < 64; ++i) {
    first.insert(
        SelectAddresses(view, ServiceId("s"), FailureDomainId("x"), random)
            .front()
            .id.value());
  }
  cr_assert_eq(first.size(), 4);
}

// Guards against addresses of VMs that are known not to serve.
Test(address_selection, excludes_vms_that_do_not_serve) {
  auto members = MakeServingMembers(6);
  members[0].leaving = true;
  members[1].liveness = Liveness::kSuspect;
  members[2].liveness = Liveness::kDead;
  members[3].liveness = Liveness::kUnproven;
  members[4].ready = false;
  Random random(1);
  const auto selected = SelectAddresses(MakeView(members), ServiceId("s"),
                                        FailureDomainId("fd-0"), random);
  cr_assert_eq(selected.size(), 1);
  cr_assert(selected[0].id == members[5].id);
}

// Guards against an empty result while a VM may still be able to serve.
Test(address_selection, falls_back_to_suspect_but_never_to_dead_vms) {
  auto members = MakeServingMembers(3);
  members[0].liveness = Liveness::kSuspect;
  members[1].liveness = Liveness::kDead;
  members[2].leaving = true;
  Random random(1);
  auto selected = SelectAddresses(MakeView(members), ServiceId("s"),
                                  FailureDomainId("fd-0"), random);
  cr_assert_eq(selected.size(), 1);
  cr_assert(selected[0].id == members[0].id);
  members[0].liveness = Liveness::kDead;
  members[2].liveness = Liveness::kDead;
  selected = SelectAddresses(MakeView(members), ServiceId("s"),
                             FailureDomainId("fd-0"), random);
  cr_assert(selected.empty());
}

// Guards against a crash on a service that is not in the table.
Test(address_selection, returns_nothing_for_an_unknown_service) {
  Random random(1);
  cr_assert(SelectAddresses(MakeView(MakeServingMembers(4)), ServiceId("t"),
                            FailureDomainId("fd-0"), random)
                .empty());
}

}  // namespace
}  // namespace flamingoyoke
