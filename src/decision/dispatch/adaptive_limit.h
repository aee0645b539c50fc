#ifndef FLAMINGOYOKE_DECISION_DISPATCH_ADAPTIVE_LIMIT_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_ADAPTIVE_LIMIT_H_

#include <cstdint>

#include "core/time.h"

namespace flamingoyoke {

// Limit on the attempts that run on one target at a time, between 1 and the
// slots of the row. A shed answer halves it; each answer raises it a little
// (additive increase, multiplicative decrease). Not thread-safe.
class AdaptiveLimit {
 public:
  // `slots` must be positive.
  explicit AdaptiveLimit(std::uint32_t slots);

  // Changes the upper bound.
  auto SetSlots(std::uint32_t slots) -> void;

  // Raises the limit after a complete answer.
  auto OnAnswer() -> void;

  // Halves the limit after a shed answer, at most once in
  // kDecreaseInterval, since one burst sheds several attempts.
  auto OnShed(TimePoint now) -> void;

  // Current limit, 1 to slots.
  [[nodiscard]] auto Current() const -> double { return limit_; }

  static constexpr Duration kDecreaseInterval = std::chrono::milliseconds(100);

 private:
  double slots_;
  double limit_;
  TimePoint last_decrease_ = TimePoint::min();
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_ADAPTIVE_LIMIT_H_
