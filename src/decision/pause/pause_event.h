#ifndef FLAMINGOYOKE_DECISION_PAUSE_PAUSE_EVENT_H_
#define FLAMINGOYOKE_DECISION_PAUSE_PAUSE_EVENT_H_

#include <variant>
#include <vector>

#include "core/time.h"

namespace flamingoyoke {

// Input events of PauseDetector.

// The scheduled timer expired. `busy` tells whether the process holds requests
// or loans.
struct PauseTick {
  bool busy = false;
};

// The process is about to handle something other than the timer.
struct PauseCheck {};

using PauseEvent = std::variant<PauseTick, PauseCheck>;

// Actions that PauseDetector returns.

// The process was paused: the tick was overdue by `duration`.
struct PauseDetected {
  Duration duration = Duration::zero();
};

// Delivers a PauseTick at `at`; replaces any earlier timer.
struct WakePauseDetectorAt {
  TimePoint at;
};

using PauseAction = std::variant<PauseDetected, WakePauseDetectorAt>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_PAUSE_PAUSE_EVENT_H_
