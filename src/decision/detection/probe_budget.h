#ifndef FLAMINGOYOKE_DECISION_DETECTION_PROBE_BUDGET_H_
#define FLAMINGOYOKE_DECISION_DETECTION_PROBE_BUDGET_H_

#include <cstddef>
#include <optional>

#include "core/time.h"

namespace flamingoyoke {

// Limits the rate at which this node probes one target, as owner and as
// verifier together. Each home member gets an equal part of the fleet-wide
// limit, so the limit holds even if members disagree about the owner. Not
// thread-safe.
class ProbeBudget {
 public:
  // A probe occupies a slot for 25 ms. A higher rate would take over 2.5% of
  // the capacity of a target with two slots.
  static constexpr double kFleetProbesPerSecond = 2;
  // A probe without a result after this time no longer counts as running.
  static constexpr Duration kMaxProbeDuration = std::chrono::seconds(2);

  // Sets the number of home members, at least 1.
  auto SetMemberCount(std::size_t members) -> void;

  // Returns whether the caller may use a probe: one that is running, or a new
  // one that the limit allows at `now`, which is then counted. Sets `*is_new`
  // if the caller has to start the probe.
  auto TryStart(TimePoint now, bool* is_new) -> bool;

  // Marks the running probe as ended.
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
