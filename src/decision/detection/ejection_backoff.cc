#include "decision/detection/ejection_backoff.h"

#include <algorithm>

namespace flamingoyoke {

auto EjectionBackoff::StartEjection(TimePoint now) -> Duration {
  if (is_healthy_) {
    const auto halvings = (now - healthy_since_) / kHalvingInterval;
    for (auto i = halvings; i > 0 && next_duration_ > kInitialDuration; --i) {
      next_duration_ = std::max(next_duration_ / 2, kInitialDuration);
    }
  }
  is_healthy_ = false;
  const auto duration = next_duration_;
  next_duration_ = std::min(next_duration_ * 2, kMaxDuration);
  return duration;
}

auto EjectionBackoff::MarkHealthy(TimePoint now) -> void {
  if (!is_healthy_) {
    healthy_since_ = now;
  }
  is_healthy_ = true;
}

}  // namespace flamingoyoke
