#include "decision/dispatch/adaptive_limit.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(50)};

// Guards against a limit that stays high although the target sheds, and against
// several decreases for one burst of sheds.
Test(adaptive_limit, a_burst_of_sheds_halves_the_limit_once) {
  AdaptiveLimit limit(4);
  limit.OnShed(kNow);
  limit.OnShed(kNow + Duration(1));
  cr_assert_eq(limit.Current(), 2);
  limit.OnShed(kNow + AdaptiveLimit::kDecreaseInterval);
  limit.OnShed(kNow + 2 * AdaptiveLimit::kDecreaseInterval);
  cr_assert_eq(limit.Current(), 1);
}

// Guards against a limit that never recovers, or that exceeds the slots of the
// target.
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
