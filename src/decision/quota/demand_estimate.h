#ifndef FLAMINGOYOKE_DECISION_QUOTA_DEMAND_ESTIMATE_H_
#define FLAMINGOYOKE_DECISION_QUOTA_DEMAND_ESTIMATE_H_

#include "core/time.h"

namespace flamingoyoke {

// Rate of the requests of one team at one gateway, from an average over a few
// seconds, and over a fraction of a second to notice large changes. Not
// thread-safe.
class DemandEstimate {
 public:
  explicit DemandEstimate(TimePoint now) : since_(now), last_(now) {}

  // Adds one request.
  auto Add(TimePoint now) -> void;

  // Returns the rate in requests per second.
  [[nodiscard]] auto Rate(TimePoint now) const -> double {
    return Rate(now, kStoppedGaps);
  }
  // The same for a keeper that has another use for the lease. Takes a shorter
  // gap as the end of the requests: it is wrong in one of twenty gaps, after
  // which the next request asks again.
  [[nodiscard]] auto RateIfNeeded(TimePoint now) const -> double {
    return Rate(now, kStoppedGapsIfNeeded);
  }
  [[nodiscard]] auto last() const -> TimePoint { return last_; }

 private:
  // Gap, in mean gaps, after which the requests have stopped.
  static constexpr double kStoppedGaps = 6;
  static constexpr double kStoppedGapsIfNeeded = 3;

  [[nodiscard]] auto Rate(TimePoint now, double stopped_gaps) const -> double;

  TimePoint since_;
  TimePoint last_;
  // At `last_`.
  double fast_ = 0;
  double slow_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_QUOTA_DEMAND_ESTIMATE_H_
