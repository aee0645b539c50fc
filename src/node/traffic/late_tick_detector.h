#ifndef FLAMINGOYOKE_NODE_TRAFFIC_LATE_TICK_DETECTOR_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_LATE_TICK_DETECTOR_H_

#include <optional>

#include "core/time.h"

namespace flamingoyoke {

// Notices that the process was paused, from a tick that came too late. Not
// thread-safe.
class LateTickDetector {
 public:
  // A tick later than this means a pause; a busy loop is late by far less.
  static constexpr Duration kPauseThreshold = std::chrono::seconds(1);

  // The next tick is due at `due`.
  auto ExpectTick(TimePoint due) -> void { due_ = due; }

  // Returns whether the process was paused since the tick was ordered. True
  // once per pause.
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
