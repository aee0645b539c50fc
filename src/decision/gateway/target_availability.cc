#include "decision/gateway/target_availability.h"

#include <algorithm>

namespace flamingoyoke {

auto TargetAvailability::OnRest(Duration rest, Duration delay, TimePoint now)
    -> void {
  rests_until_ = std::max(rests_until_, now + rest + delay);
  is_reopening_ = true;
}

auto TargetAvailability::OnReported(Duration avoid, TimePoint now) -> void {
  avoided_until_ =
      std::max(avoided_until_, now + std::min(avoid, kMaxReportedTime));
}

auto TargetAvailability::OnSucceeded(TimePoint now) -> void {
  avoided_until_ = TimePoint::min();
  if (now >= rests_until_) {
    is_reopening_ = false;
  }
}

auto TargetAvailability::At(TimePoint now) const -> Availability {
  if (has_left_) {
    return Availability::kLeaving;
  }
  if (now < rests_until_) {
    return Availability::kResting;
  }
  if (is_reopening_) {
    return Availability::kReopening;
  }
  return now < avoided_until_ ? Availability::kAvoided : Availability::kOpen;
}

auto TargetAvailability::OpensAt(TimePoint now) const -> TimePoint {
  return std::max(now, rests_until_);
}

auto TargetAvailability::AvoidTime(TimePoint now) const -> Duration {
  if (has_left_) {
    return kMaxReportedTime;
  }
  return now < rests_until_ ? std::min(rests_until_ - now, kMaxReportedTime)
                            : Duration::zero();
}

}  // namespace flamingoyoke
