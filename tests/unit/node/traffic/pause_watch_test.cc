#include "node/traffic/pause_watch.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

// A late tick of a busy loop is no pause; a suspended process is, once.
Test(pause_watch, only_a_long_gap_is_a_pause) {
  PauseWatch watch;
  const TimePoint start{std::chrono::seconds(100)};
  cr_assert_not(watch.WasPaused(start));
  watch.ExpectTick(start);
  cr_assert_not(watch.WasPaused(start + std::chrono::seconds(1)));
  const auto late = start + std::chrono::milliseconds(1001);
  cr_assert(watch.WasPaused(late));
  cr_assert_not(watch.WasPaused(late));
  watch.ExpectTick(late);
  cr_assert_not(watch.WasPaused(late + std::chrono::milliseconds(500)));
}

}  // namespace
}  // namespace flamingoyoke
