#ifndef FLAMINGOYOKE_DECISION_PAUSE_PAUSE_DETECTOR_H_
#define FLAMINGOYOKE_DECISION_PAUSE_PAUSE_DETECTOR_H_

#include <chrono>
#include <optional>
#include <vector>

#include "core/time.h"
#include "decision/pause/pause_event.h"

namespace flamingoyoke {

// Tick while the process holds work or loans, and otherwise. Rare ticks keep
// an idle process asleep.
inline constexpr Duration kBusyTickInterval = std::chrono::milliseconds(100);
inline constexpr Duration kIdleTickInterval = std::chrono::seconds(1);
// A tick that is later than this means that the process was paused: a loaded
// machine delays a thread by tens of milliseconds.
inline constexpr Duration kPauseThreshold = std::chrono::seconds(1);

// Notices that the process was paused or the machine suspended, by a tick that
// runs late on a clock that goes on meanwhile. The first event starts it. Not
// thread-safe.
class PauseDetector {
 public:
  // Takes an event at `now`. A pause is reported once, before anything else is
  // done; after a PauseTick, the last action asks for the next one.
  auto OnEvent(const PauseEvent& event, TimePoint now)
      -> std::vector<PauseAction>;

 private:
  std::optional<TimePoint> next_tick_at_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_PAUSE_PAUSE_DETECTOR_H_
