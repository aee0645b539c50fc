#include "decision/gateway/overload_limit.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Simulates requests that arrive at a steady rate at a gateway that handles all
// waiting requests in each event loop iteration. Returns the longest iteration
// after the first.
auto LongestIteration(double per_second, Duration request, Duration refusal)
    -> Duration {
  Duration iteration = milliseconds(100);
  Duration longest = Duration::zero();
  for (int i = 0; i < 100; ++i) {
    const auto waiting = static_cast<int>(per_second * ToSeconds(iteration));
    Duration age = Duration::zero();
    for (int n = 0; n < waiting; ++n) {
      age += IsOverloaded(age, seconds(2)) ? refusal : request;
    }
    iteration = std::max(age, Duration(milliseconds(1)));
    longest = std::max(longest, iteration);
  }
  return longest;
}

}  // namespace

// Guards against configuration changes, shutdowns and timeouts that are delayed
// behind requests when a gateway gets twice the load its processor can handle.
Test(overload_limit, iterations_stay_short_at_twice_the_load) {
  const auto longest = LongestIteration(200, milliseconds(10), milliseconds(2));
  cr_assert_leq(ToMilliseconds(longest), 500);
}

// Guards against rejected requests on a gateway that keeps up.
Test(overload_limit, accepts_what_the_processor_can_handle) {
  cr_assert_not(IsOverloaded(milliseconds(100), seconds(2)));
  cr_assert(IsOverloaded(milliseconds(300), seconds(2)));
  cr_assert(IsOverloaded(milliseconds(100), milliseconds(300)));
}

}  // namespace flamingoyoke
