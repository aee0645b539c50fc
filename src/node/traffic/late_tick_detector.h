#ifndef FLAMINGOYOKE_NODE_TRAFFIC_LATE_TICK_DETECTOR_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_LATE_TICK_DETECTOR_H_

#include <optional>

#include "core/time.h"

namespace flamingoyoke {

// Detects that the process was suspended, by a timer tick that fires too late.
// Not thread-safe.
class LateTickDetector {
 public:
  // A tick that is later than this indicates a pause. A busy event loop delays
  // ticks by far less.
  static constexpr Duration kPauseThreshold = std::chrono::seconds(1);

  // Sets the time at which the next tick is due.
  auto ExpectTick(TimePoint due) -> void { due_ = due; }

  // Returns whether the process was paused since the tick was scheduled.
  // Returns true once per pause.
  auto DetectPause(TimePoint now) -> bool {
    if (!due_ || now - *due_ <= kPauseThreshold) {
      return false;
    }
    due_.reset();
    return true;
  }

 private:
  std::optional<TimePoint> due_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_LATE_TICK_DETECTOR_H_
