#include "decision/dispatch/adaptive_limit.h"

#include <algorithm>

namespace flamingoyoke {
namespace {

// Adds one slot after about ten responses per slot in use: a target with two
// slots and 20 ms service time regains a slot in about 0.2 s.
constexpr double kIncreasePerAnswer = 0.1;
constexpr double kDecreaseFactor = 0.5;

}  // namespace

AdaptiveLimit::AdaptiveLimit(std::uint32_t slots)
    : slots_(std::max(slots, 1U)), limit_(slots_) {}

auto AdaptiveLimit::SetSlots(std::uint32_t slots) -> void {
  const bool was_full = limit_ >= slots_;
  slots_ = std::max(slots, 1U);
  limit_ = was_full ? slots_ : std::min(limit_, slots_);
}

auto AdaptiveLimit::OnAnswer() -> void {
  limit_ = std::min(slots_, limit_ + kIncreasePerAnswer / limit_);
}

auto AdaptiveLimit::OnShed(TimePoint now) -> void {
  if (last_decrease_ != TimePoint::min() &&
      now - last_decrease_ < kDecreaseInterval) {
    return;
  }
  last_decrease_ = now;
  limit_ = std::max(1.0, limit_ * kDecreaseFactor);
}

}  // namespace flamingoyoke
