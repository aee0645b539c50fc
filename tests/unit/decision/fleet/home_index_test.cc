#include "decision/fleet/home_index.h"

#include <criterion/criterion.h>

#include "core/random.h"
#include "decision/fleet/placement.h"
#include "unit/decision/fleet/fleet_fixture.h"

namespace flamingoyoke {
namespace {

// Guards against an index that diverges from the placement rule shared by all
// nodes: after random changes of VMs and rows, it gives the same home sets as
// PlacementOf.
Test(home_index, agrees_with_placement_after_any_change) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Random random(seed);
    auto members = MakeServingMembers(30, 5);
    std::vector<ServiceRow> rows;
    rows.reserve(12);
    for (int i = 0; i < 12; ++i) {
      rows.push_back(MakeRow("service-" + std::to_string(i), 9));
    }
    HomeIndex index;
    for (int step = 0; step < 60; ++step) {
      for (auto changes = random.Below(4); changes > 0; --changes) {
        auto& member = members[random.Below(members.size())];
        member.ready = !member.ready;
      }
      rows[random.Below(rows.size())].home =
          static_cast<std::uint32_t>(1 + random.Below(6));
      index.Update(members, rows);
      for (const auto& row : rows) {
        cr_assert(index.HomeOf(row.service) == PlacementOf(row, members).home,
                  "seed %lu step %d", static_cast<unsigned long>(seed), step);
      }
      const auto placements = index.PlacementsOf(members[0].id, rows);
      for (const auto& [service, placement] : placements) {
        cr_assert_eq(placement.owners.size(), 9);
      }
    }
  }
}

}  // namespace
}  // namespace flamingoyoke
