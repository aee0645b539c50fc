#include "decision/gateway/route_expiry.h"

#include <criterion/criterion.h>

namespace flamingoyoke {

// Guards against excusing targets after one slow answer.
Test(route_expiry, needs_three_ends_at_the_deadline_in_a_row) {
  RouteExpiry expiry;
  expiry.Add("r", true);
  expiry.Add("r", true);
  cr_assert(!expiry.IsTooShort("r"));
  expiry.Add("r", true);
  cr_assert(expiry.IsTooShort("r"));
}

// Guards against a verdict that outlasts a corrected configuration.
Test(route_expiry, answers_in_time_take_the_verdict_back) {
  RouteExpiry expiry;
  for (int i = 0; i < 20; ++i) {
    expiry.Add("r", true);
  }
  for (int i = 0; i < 3; ++i) {
    expiry.Add("r", false);
  }
  cr_assert(!expiry.IsTooShort("r"));
}

Test(route_expiry, one_route_says_nothing_about_another) {
  RouteExpiry expiry;
  for (int i = 0; i < 5; ++i) {
    expiry.Add("r", true);
  }
  cr_assert(!expiry.IsTooShort("s"));
}

}  // namespace flamingoyoke
