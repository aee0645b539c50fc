#ifndef FLAMINGOYOKE_DECISION_DETECTION_EJECTION_BACKOFF_H_
#define FLAMINGOYOKE_DECISION_DETECTION_EJECTION_BACKOFF_H_

#include "core/time.h"

namespace flamingoyoke {

// Duration of the next ejection of one target: grows while the target flaps
// and shrinks while it is in good health. Not thread-safe.
class EjectionBackoff {
 public:
  static constexpr Duration kInitialDuration = std::chrono::seconds(5);
  static constexpr Duration kMaxDuration = std::chrono::seconds(300);
  // Time of good health that halves the duration.
  static constexpr Duration kHalvingInterval = std::chrono::minutes(10);

  // Returns how long an ejection that starts at `now` lasts; the next one
  // lasts twice as long.
  auto StartEjection(TimePoint now) -> Duration;

  // Says that the target is in good health since `now`.
  auto MarkHealthy(TimePoint now) -> void;

 private:
  Duration next_duration_ = kInitialDuration;
  TimePoint healthy_since_;
  bool is_healthy_ = false;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_EJECTION_BACKOFF_H_
