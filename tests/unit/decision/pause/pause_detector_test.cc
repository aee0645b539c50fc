#include "decision/pause/pause_detector.h"

#include <criterion/criterion.h>

#include <variant>

namespace flamingoyoke {
namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::seconds(100));

auto ReportedPause(const std::vector<PauseAction>& actions) -> Duration {
  const auto* pause =
      actions.empty() ? nullptr : std::get_if<PauseDetected>(&actions.front());
  return pause == nullptr ? Duration::zero() : pause->duration;
}

// Guards against false pause reports on a loaded machine, where ticks are late
// by no more than kPauseThreshold.
Test(pause_detector, ignores_a_late_tick) {
  PauseDetector detector;
  detector.OnEvent(PauseTick{true}, kStart);
  const auto late = kStart + kBusyTickInterval + kPauseThreshold;
  cr_assert(ReportedPause(detector.OnEvent(PauseTick{true}, late)) ==
            Duration::zero());
}

// Guards against acting on stale state after a pause: the check before handling
// a message reports the pause before the timer runs, and only once.
Test(pause_detector, reports_a_pause_once_before_the_timer_runs) {
  PauseDetector detector;
  detector.OnEvent(PauseTick{true}, kStart);
  const auto resumed = kStart + std::chrono::seconds(5);
  cr_assert(ReportedPause(detector.OnEvent(PauseCheck{}, resumed)) ==
            std::chrono::milliseconds(4900));
  cr_assert(detector.OnEvent(PauseCheck{}, resumed).empty());
  cr_assert(ReportedPause(detector.OnEvent(PauseTick{true}, resumed)) ==
            Duration::zero());
}

// Guards against ten wake-ups per second of an idle process.
Test(pause_detector, ticks_slowly_while_idle) {
  PauseDetector detector;
  const auto idle = detector.OnEvent(PauseTick{false}, kStart);
  const auto busy = detector.OnEvent(PauseTick{true}, kStart);
  cr_assert(std::get<WakePauseDetectorAt>(idle.back()).at ==
            kStart + kIdleTickInterval);
  cr_assert(std::get<WakePauseDetectorAt>(busy.back()).at ==
            kStart + kBusyTickInterval);
}

}  // namespace
}  // namespace flamingoyoke
