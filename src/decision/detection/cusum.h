#ifndef FLAMINGOYOKE_DECISION_DETECTION_CUSUM_H_
#define FLAMINGOYOKE_DECISION_DETECTION_CUSUM_H_

#include "core/time.h"
#include "decision/detection/rate_window.h"

namespace flamingoyoke {

// Weights of one outcome in a test of an ill target against a healthy one.
struct LogLikelihoodRatios {
  double on_success = 0;
  double on_failure = 0;
};

// Least failure rate that counts as healthy. Without it, one failure of a
// service that never fails would weigh without limit.
inline constexpr double kMinHealthyFailureRate = 0.005;

// Failure rate of an ill target where healthy ones hardly ever fail.
inline constexpr double kUnhealthyFailureRate = 0.3;

// Returns the log-likelihood ratios of an ill target against one that fails
// with `healthy_failure_rate`. Thread-safe.
auto LogLikelihoodRatiosFor(double healthy_failure_rate) -> LogLikelihoodRatios;

// Cumulative sum test: adds up the evidence that a target fails more often
// than its peers and starts afresh whenever the evidence is below zero. Not
// thread-safe.
class Cusum {
 public:
  // One false alarm in more than ten days over 24 targets with 20 requests/s
  // each (bench detection, "false alarms of the plain test").
  static constexpr double kThreshold = 17.5;
  // The evidence is kept below this, so that a target that recovers while an
  // ejection is refused is forgiven soon.
  static constexpr double kMaxValue = 2 * kThreshold;

  // Adds one outcome, with the weights of the healthy rate at that time.
  auto Add(bool failed, const LogLikelihoodRatios& ratios, TimePoint now)
      -> void;

  // Starts afresh at `now` with a head start, below `kThreshold`, for a target
  // that was ill before, or 0.
  auto Reset(double head_start, TimePoint now) -> void;

  [[nodiscard]] auto value() const -> double { return value_; }
  [[nodiscard]] auto IsAlarmed() const -> bool { return value_ >= kThreshold; }

  // Returns when the evidence last rose from zero.
  [[nodiscard]] auto onset() const -> TimePoint { return onset_; }

  // Returns the outcomes since onset().
  [[nodiscard]] auto counts() const -> const OutcomeCounts& { return counts_; }

  // Returns the evidence of counts() against another healthy rate. May be
  // negative.
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
