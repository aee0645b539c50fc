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

// Guards against callers that are sent outside the home set, where they would
// have to wait for borrowed slots.
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

// Guards against sending all callers of an unknown domain to one vm.
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

// Guards against handing out a vm that is known to be a bad choice.
Test(address_selection, leaves_out_vms_that_do_not_serve) {
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

// Guards against an empty answer while a vm might still help.
Test(address_selection, falls_back_to_suspects_but_never_to_the_dead) {
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

// Guards against a crash on a service that the table does not have.
Test(address_selection, returns_nothing_for_an_unknown_service) {
  Random random(1);
  cr_assert(SelectAddresses(MakeView(MakeServingMembers(4)), ServiceId("t"),
                            FailureDomainId("fd-0"), random)
                .empty());
}

}  // namespace
}  // namespace flamingoyoke
