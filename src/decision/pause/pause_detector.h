#ifndef FLAMINGOYOKE_DECISION_PAUSE_PAUSE_DETECTOR_H_
#define FLAMINGOYOKE_DECISION_PAUSE_PAUSE_DETECTOR_H_

#include <chrono>
#include <optional>
#include <vector>

#include "core/time.h"
#include "decision/pause/pause_event.h"

namespace flamingoyoke {

// Tick intervals: busy while the process holds requests or loans, idle
// otherwise. The longer interval avoids wake-ups of an idle process.
inline constexpr Duration kBusyTickInterval = std::chrono::milliseconds(100);
inline constexpr Duration kIdleTickInterval = std::chrono::seconds(1);
// A tick that is late by more than this means that the process was paused. CPU
// load alone delays a thread by only tens of milliseconds.
inline constexpr Duration kPauseThreshold = std::chrono::seconds(1);

// Detects that the process was paused or the machine suspended, by a periodic
// tick that arrives late on a clock that also advances during a suspend. The
// first PauseTick starts the detector. Not thread-safe.
class PauseDetector {
 public:
  // Handles an event at `now`. A pause is reported once, as the first action;
  // after a PauseTick, the last action schedules the next one.
  auto OnEvent(const PauseEvent& event, TimePoint now)
      -> std::vector<PauseAction>;

 private:
  std::optional<TimePoint> next_tick_at_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_PAUSE_PAUSE_DETECTOR_H_
