#ifndef FLAMINGOYOKE_DECISION_DISPATCH_ADAPTIVE_LIMIT_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_ADAPTIVE_LIMIT_H_

#include <cstdint>

#include "core/time.h"

namespace flamingoyoke {

// Concurrency limit of one target, between 1 and the number of slots in the
// service row. Additive increase, multiplicative decrease: a shed attempt
// halves the limit, each complete response raises it slightly. Not thread-safe.
class AdaptiveLimit {
 public:
  // `slots` must be positive.
  explicit AdaptiveLimit(std::uint32_t slots);

  // Sets the upper bound. A limit that was at the old bound moves to the new
  // one.
  auto SetSlots(std::uint32_t slots) -> void;

  // Raises the limit after a complete response.
  auto OnAnswer() -> void;

  // Halves the limit after a shed attempt, at most once per kDecreaseInterval,
  // because one burst can shed several attempts.
  auto OnShed(TimePoint now) -> void;

  // Current limit, from 1 to the number of slots.
  [[nodiscard]] auto Current() const -> double { return limit_; }

  static constexpr Duration kDecreaseInterval = std::chrono::milliseconds(100);

 private:
  double slots_;
  double limit_;
  TimePoint last_decrease_ = TimePoint::min();
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_ADAPTIVE_LIMIT_H_
