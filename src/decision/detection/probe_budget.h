#ifndef FLAMINGOYOKE_DECISION_DETECTION_PROBE_BUDGET_H_
#define FLAMINGOYOKE_DECISION_DETECTION_PROBE_BUDGET_H_

#include <cstddef>
#include <optional>

#include "core/time.h"

namespace flamingoyoke {

// Bounds the probes of one target by this node, as owner and as verifier
// together. Each home member has an equal part of the fleet's bound, so the
// bound holds even when members disagree about the owner. Not thread-safe.
class ProbeBudget {
 public:
  // A probe takes 25 ms of a slot; more than this would cost a target with
  // two slots over 2.5% of its capacity.
  static constexpr double kFleetProbesPerSecond = 2;
  // A probe whose end is not heard for this long is forgotten.
  static constexpr Duration kMaxProbeDuration = std::chrono::seconds(2);

  // Sets the size of the home set, at least 1.
  auto SetMemberCount(std::size_t members) -> void;

  // Counts a probe and returns true if one may start at `now`, or true if one
  // is running. `*is_new` says whether the caller has to start it.
  auto TryStart(TimePoint now, bool* is_new) -> bool;

  // Says that the probe ended.
  auto End() -> void { running_since_.reset(); }

  // Returns when the next probe may start.
  [[nodiscard]] auto NextStartAt() const -> TimePoint { return next_at_; }

 private:
  Duration interval_ = std::chrono::seconds(1);
  TimePoint next_at_;
  std::optional<TimePoint> running_since_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_PROBE_BUDGET_H_
