#include "decision/pause/pause_detector.h"

namespace flamingoyoke {

auto PauseDetector::OnEvent(const PauseEvent& event, TimePoint now)
    -> std::vector<PauseAction> {
  std::vector<PauseAction> actions;
  if (due_ && now - *due_ > kPauseGap) {
    actions.emplace_back(PauseDetected{now - *due_});
    // A late tick that is still to come must not report the pause again.
    due_ = now;
  }
  if (const auto* tick = std::get_if<PauseTick>(&event)) {
    due_ = now + (tick->busy ? kBusyPauseTick : kIdlePauseTick);
    actions.emplace_back(WakePauseDetectorAt{*due_});
  }
  return actions;
}

}  // namespace flamingoyoke
