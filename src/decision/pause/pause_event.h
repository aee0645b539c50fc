#ifndef FLAMINGOYOKE_DECISION_PAUSE_PAUSE_EVENT_H_
#define FLAMINGOYOKE_DECISION_PAUSE_PAUSE_EVENT_H_

#include <variant>
#include <vector>

#include "core/time.h"

namespace flamingoyoke {

// Events of the pause detector.

// The timer that the detector asked for ran. `busy` tells whether work or
// loans are held.
struct PauseTick {
  bool busy = false;
};

// The process is about to act on something else than the timer.
struct PauseCheck {};

using PauseEvent = std::variant<PauseTick, PauseCheck>;

// Actions of the pause detector.

// The process did not run for `gap` beyond the tick that was due.
struct PauseDetected {
  Duration duration = Duration::zero();
};

// Deliver a PauseTick at `at`; replaces an earlier order.
struct WakePauseDetectorAt {
  TimePoint at;
};

using PauseAction = std::variant<PauseDetected, WakePauseDetectorAt>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_PAUSE_PAUSE_EVENT_H_
