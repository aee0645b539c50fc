#include "decision/shutdown/shutdown_schedule.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

}  // namespace

// Guards against requests that are taken late in a shutdown and cut off at its
// end: for every arrival and time left, an admitted request ends before it.
Test(shutdown_schedule, admitted_requests_end_before_the_hard_stop) {
  constexpr auto kHardLimit = milliseconds(5600);
  ShutdownSchedule schedule(kHardLimit);
  schedule.Start(kStart);
  for (auto after = milliseconds(0); after <= kHardLimit;
       after += milliseconds(100)) {
    for (auto left = milliseconds(100); left <= milliseconds(8000);
         left += milliseconds(100)) {
      const auto deadline = kStart + after + left;
      const auto latest_end = deadline + ShutdownSchedule::kFinalResponseTime;
      cr_assert_eq(schedule.Admits(deadline),
                   latest_end <= kStart + kHardLimit);
    }
  }
}

// Guards against a VM that refuses requests while it is not shutting down, or
// that postpones its end on a repeated signal.
Test(shutdown_schedule, admits_all_requests_until_it_starts) {
  ShutdownSchedule schedule(seconds(5));
  cr_assert(schedule.Admits(kStart + std::chrono::hours(1)));
  schedule.Start(kStart);
  schedule.Start(kStart + seconds(4));
  cr_assert(schedule.Admits(kStart + seconds(4)));
  cr_assert_not(schedule.Admits(kStart + seconds(6)));
}

}  // namespace flamingoyoke
