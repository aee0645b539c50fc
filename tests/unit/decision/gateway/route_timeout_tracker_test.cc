#include "decision/gateway/route_timeout_tracker.h"

#include <criterion/criterion.h>

namespace flamingoyoke {

// Guards against ignoring a target's timeout after a single slow answer.
Test(route_timeout_tracker, requires_three_timeouts_in_a_row) {
  RouteTimeoutTracker tracker;
  tracker.Add("r", true);
  tracker.Add("r", true);
  cr_assert(!tracker.IsTimeoutTooShort("r"));
  tracker.Add("r", true);
  cr_assert(tracker.IsTimeoutTooShort("r"));
}

// Guards against ignoring timeouts after the route's timeout was corrected.
Test(route_timeout_tracker, recovers_after_answers_in_time) {
  RouteTimeoutTracker tracker;
  for (int i = 0; i < 20; ++i) {
    tracker.Add("r", true);
  }
  for (int i = 0; i < 3; ++i) {
    tracker.Add("r", false);
  }
  cr_assert(!tracker.IsTimeoutTooShort("r"));
}

Test(route_timeout_tracker, tracks_routes_independently) {
  RouteTimeoutTracker tracker;
  for (int i = 0; i < 5; ++i) {
    tracker.Add("r", true);
  }
  cr_assert(!tracker.IsTimeoutTooShort("s"));
}

}  // namespace flamingoyoke
