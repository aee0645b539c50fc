#include "decision/gateway/overload_limit.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Plays requests that come at a steady rate to a gateway that takes in all that
// wait in each turn. Returns the longest turn after the first.
auto LongestTurn(double per_second, Duration request, Duration refusal)
    -> Duration {
  Duration turn = milliseconds(100);
  Duration longest = Duration::zero();
  for (int i = 0; i < 100; ++i) {
    const auto waiting = static_cast<int>(per_second * ToSeconds(turn));
    Duration age = Duration::zero();
    for (int n = 0; n < waiting; ++n) {
      age += IsOverloaded(age, seconds(2)) ? refusal : request;
    }
    turn = std::max(age, Duration(milliseconds(1)));
    longest = std::max(longest, turn);
  }
  return longest;
}

}  // namespace

// Guards against changes, leavings and time limits that wait behind requests on
// a gateway without enough processor: twice what it can take.
Test(overload_limit, turns_stay_short_at_twice_the_load) {
  const auto longest = LongestTurn(200, milliseconds(10), milliseconds(2));
  cr_assert_leq(ToMilliseconds(longest), 500);
}

// Guards against refusals by a gateway that keeps up.
Test(overload_limit, refuses_nothing_that_the_processor_can_take) {
  cr_assert_not(IsOverloaded(milliseconds(100), seconds(2)));
  cr_assert(IsOverloaded(milliseconds(300), seconds(2)));
  cr_assert(IsOverloaded(milliseconds(100), milliseconds(300)));
}

}  // namespace flamingoyoke
