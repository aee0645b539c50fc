#include "decision/detection/ejection_backoff.h"

#include <algorithm>

namespace flamingoyoke {

auto EjectionBackoff::Eject(TimePoint now) -> Duration {
  if (is_healthy_) {
    const auto halvings = (now - healthy_since_) / kHalving;
    for (auto i = halvings; i > 0 && next_ > kFirst; --i) {
      next_ = std::max(next_ / 2, kFirst);
    }
  }
  is_healthy_ = false;
  const auto duration = next_;
  next_ = std::min(next_ * 2, kLongest);
  return duration;
}

auto EjectionBackoff::Recover(TimePoint now) -> void {
  if (!is_healthy_) {
    healthy_since_ = now;
  }
  is_healthy_ = true;
}

}  // namespace flamingoyoke
