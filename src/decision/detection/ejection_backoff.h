#ifndef FLAMINGOYOKE_DECISION_DETECTION_EJECTION_BACKOFF_H_
#define FLAMINGOYOKE_DECISION_DETECTION_EJECTION_BACKOFF_H_

#include "core/time.h"

namespace flamingoyoke {

// Exponential backoff for the ejections of one target: the duration doubles
// with each ejection and halves over time while the target is healthy. Not
// thread-safe.
class EjectionBackoff {
 public:
  static constexpr Duration kInitialDuration = std::chrono::seconds(5);
  static constexpr Duration kMaxDuration = std::chrono::seconds(300);
  // The duration halves each time the target stays healthy for this long.
  static constexpr Duration kHalvingInterval = std::chrono::minutes(10);

  // Returns the duration of an ejection that starts at `now`, and doubles the
  // duration of the next one.
  auto StartEjection(TimePoint now) -> Duration;

  // Marks the target as healthy since `now`, unless it already was.
  auto MarkHealthy(TimePoint now) -> void;

 private:
  Duration next_duration_ = kInitialDuration;
  TimePoint healthy_since_;
  bool is_healthy_ = false;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_EJECTION_BACKOFF_H_
