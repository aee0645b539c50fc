#ifndef FLAMINGOYOKE_DECISION_DETECTION_CUSUM_H_
#define FLAMINGOYOKE_DECISION_DETECTION_CUSUM_H_

#include "core/time.h"
#include "decision/detection/rate_window.h"

namespace flamingoyoke {

// Log-likelihood ratios of an unhealthy target against a healthy one, for a
// successful and a failed outcome.
struct LogLikelihoodRatios {
  double on_success = 0;
  double on_failure = 0;
};

// Lower bound of the failure rate of healthy targets. Without it, a single
// failure of a service that never fails would have unbounded weight.
inline constexpr double kMinHealthyFailureRate = 0.005;

// Failure rate of an unhealthy target in a service that rarely fails.
inline constexpr double kUnhealthyFailureRate = 0.3;

// Returns the log-likelihood ratios of an unhealthy target against one that
// fails at `healthy_failure_rate`. Thread-safe.
auto LogLikelihoodRatiosFor(double healthy_failure_rate) -> LogLikelihoodRatios;

// Cumulative sum (CUSUM) test: sums the log-likelihood ratios of the outcomes
// of a target against the failure rate of its peers. The sum restarts when it
// falls below zero. Not thread-safe.
class Cusum {
 public:
  // One false alarm in more than ten days over 24 targets with 20 requests/s
  // each (bench detection, "false alarms of the plain test").
  static constexpr double kThreshold = 17.5;
  // Upper bound of the sum, so that the alarm clears soon if the target
  // recovers while an ejection is refused.
  static constexpr double kMaxValue = 2 * kThreshold;

  // Adds one outcome. `ratios` belong to the healthy failure rate at `now`.
  auto Add(bool failed, const LogLikelihoodRatios& ratios, TimePoint now)
      -> void;

  // Restarts the test at `now`. `head_start` is the initial sum, below
  // `kThreshold`: positive for a target that was unhealthy before, otherwise 0.
  auto Reset(double head_start, TimePoint now) -> void;

  [[nodiscard]] auto value() const -> double { return value_; }
  [[nodiscard]] auto IsAlarmed() const -> bool { return value_ >= kThreshold; }

  // Returns when the sum last rose from zero.
  [[nodiscard]] auto onset() const -> TimePoint { return onset_; }

  // Returns the outcomes since onset().
  [[nodiscard]] auto counts() const -> const OutcomeCounts& { return counts_; }

  // Returns the sum that counts() give with another healthy failure rate. May
  // be negative.
  [[nodiscard]] auto ValueForHealthyRate(double healthy_failure_rate) const
      -> double;

 private:
  double value_ = 0;
  double head_start_ = 0;
  TimePoint onset_;
  OutcomeCounts counts_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_CUSUM_H_
