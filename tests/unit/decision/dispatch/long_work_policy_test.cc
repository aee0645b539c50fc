#include "decision/dispatch/long_work_policy.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

// Guards against long requests that occupy every slot of a node, or that never
// get one, for each policy that shares targets and a range of demands.
Test(long_work_policy, leaves_a_slot_for_each_class) {
  const LongWorkPolicy policies[] = {FixedCap{0.9}, AdaptiveCap(),
                                     AdaptiveCapWithDedicatedTargets()};
  for (const auto& policy : policies) {
    for (std::uint32_t usable = 2; usable <= 16; ++usable) {
      for (int step = 0; step < 29; ++step) {
        const double demand = 0.7 * step;
        const auto cap = LongSlotCap(policy, {.usable = usable,
                                              .targets = 2,
                                              .short_demand = demand / 3,
                                              .long_demand = demand,
                                              .members = 4,
                                              .member_index = 3});
        cr_assert_geq(cap, 1);
        cr_assert_lt(cap, usable);
      }
    }
  }
}

// Guards against a cap that exceeds the bound set by the operators.
Test(long_work_policy, respects_the_bound_of_the_table) {
  const LongWorkState state{.usable = 8, .long_demand = 8, .max_share = 0.5};
  cr_assert_leq(LongSlotCap(AdaptiveCap(), state), 4);
}

// Guards against a home set whose members all round in the same direction: with
// 2.5 slots for each of four members, long requests get ten slots in total.
Test(long_work_policy, rounding_is_spread_over_the_members) {
  std::uint32_t total = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    total += LongSlotCap(
        FixedCap{0.625},
        {.usable = 4, .targets = 2, .members = 4, .member_index = i});
  }
  cr_assert_eq(total, 10);
}

// Guards against a work class that uses targets dedicated to the other one.
Test(long_work_policy, dedicated_targets_do_not_overlap) {
  const LongWorkState state{.usable = 8, .targets = 4};
  const auto long_range =
      PickRangeFor(DedicatedTargets{0.5}, state, WorkClass::kLong);
  const auto short_range =
      PickRangeFor(DedicatedTargets{0.5}, state, WorkClass::kShort);
  cr_assert_eq(long_range.end, short_range.begin);
  cr_assert_eq(long_range.end, 2);
}

}  // namespace
}  // namespace flamingoyoke
