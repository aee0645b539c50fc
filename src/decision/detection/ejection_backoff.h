#ifndef FLAMINGOYOKE_DECISION_DETECTION_EJECTION_BACKOFF_H_
#define FLAMINGOYOKE_DECISION_DETECTION_EJECTION_BACKOFF_H_

#include "core/time.h"

namespace flamingoyoke {

// Duration of the next ejection of one target: grows while the target flaps
// and shrinks while it is in good health. Not thread-safe.
class EjectionBackoff {
 public:
  static constexpr Duration kFirst = std::chrono::seconds(5);
  static constexpr Duration kLongest = std::chrono::seconds(300);
  // Time of good health that halves the duration.
  static constexpr Duration kHalving = std::chrono::minutes(10);

  // Returns how long an ejection that starts at `now` lasts; the next one
  // lasts twice as long.
  auto Eject(TimePoint now) -> Duration;

  // Says that the target is in good health since `now`.
  auto Recover(TimePoint now) -> void;

 private:
  Duration next_ = kFirst;
  TimePoint healthy_since_;
  bool is_healthy_ = false;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_EJECTION_BACKOFF_H_
