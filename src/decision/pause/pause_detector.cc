#include "decision/pause/pause_detector.h"

namespace flamingoyoke {

auto PauseDetector::OnEvent(const PauseEvent& event, TimePoint now)
    -> std::vector<PauseAction> {
  std::vector<PauseAction> actions;
  if (next_tick_at_ && now - *next_tick_at_ > kPauseThreshold) {
    actions.emplace_back(PauseDetected{now - *next_tick_at_});
    // The overdue tick, which is still to come, must not report the same pause
    // again.
    next_tick_at_ = now;
  }
  if (const auto* tick = std::get_if<PauseTick>(&event)) {
    next_tick_at_ = now + (tick->busy ? kBusyTickInterval : kIdleTickInterval);
    actions.emplace_back(WakePauseDetectorAt{*next_tick_at_});
  }
  return actions;
}

}  // namespace flamingoyoke
