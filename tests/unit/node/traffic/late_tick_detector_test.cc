#include "node/traffic/late_tick_detector.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

// A slightly late tick of a busy event loop must not count as a pause. A longer
// gap must be reported exactly once.
Test(late_tick_detector, only_a_long_gap_is_a_pause) {
  LateTickDetector detector;
  const TimePoint start{std::chrono::seconds(100)};
  cr_assert_not(detector.DetectPause(start));
  detector.ExpectTick(start);
  cr_assert_not(detector.DetectPause(start + std::chrono::seconds(1)));
  const auto late = start + std::chrono::milliseconds(1001);
  cr_assert(detector.DetectPause(late));
  cr_assert_not(detector.DetectPause(late));
  detector.ExpectTick(late);
  cr_assert_not(detector.DetectPause(late + std::chrono::milliseconds(500)));
}

}  // namespace
}  // namespace flamingoyoke
