#include "decision/dispatch/adaptive_limit.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(50)};

// Guards against load that stays high on a target that sheds.
Test(adaptive_limit, a_burst_of_sheds_halves_the_limit_once) {
  AdaptiveLimit limit(4);
  limit.OnShed(kNow);
  limit.OnShed(kNow + Duration(1));
  cr_assert_eq(limit.Current(), 2);
  limit.OnShed(kNow + AdaptiveLimit::kDecreaseInterval);
  limit.OnShed(kNow + 2 * AdaptiveLimit::kDecreaseInterval);
  cr_assert_eq(limit.Current(), 1);
}

// Guards against a target that never gets its slots back.
Test(adaptive_limit, answers_restore_all_slots_and_no_more) {
  AdaptiveLimit limit(2);
  limit.OnShed(kNow);
  for (int i = 0; i < 100; ++i) {
    limit.OnAnswer();
  }
  cr_assert_eq(limit.Current(), 2);
}

}  // namespace
}  // namespace flamingoyoke
